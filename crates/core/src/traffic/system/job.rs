//! The lifecycle of a job: it is accepted, retried and finished.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    count::{Count, Retry},
    digest::Fingerprint,
    fault::{Kind, Ran},
    id,
    log::{Event, Line},
    message::{self, Outcome},
    name::Name,
    target::Command,
    traffic::{
        Context, Outbox, Tables,
        system::coalesce,
        table::{Attempt, Job, Suspect, shard, timer::Timer},
    },
    view::Lane,
};

/// The priority of a profile that this VM does not know yet.
const DEFAULT_PRIORITY: u32 = 10;

/// Accepts a leg as a job: it follows an equal job, or is queued. A leg that
/// must not run is refused with a reply.
pub fn accept(
    tables: &mut Tables,
    cx: &mut Context,
    from: Lane,
    leg: message::Leg,
    out: &mut Outbox,
) {
    if tables.jobs.contains_key(&leg.leg) {
        return;
    }
    let shard = shard::Key { index: leg.index.clone(), shard: leg.shard.clone() };
    let deadline = cx.now + leg.remaining;
    let suspect = tables.suspects.get(&leg.fingerprint);
    let mut job = Job {
        from,
        shard,
        deadline,
        position: None,
        attempts: BTreeSet::new(),
        tries: 0,
        avoid: suspect.map(targets_to_avoid).unwrap_or_default(),
        suspect: false,
        overdue: false,
        ran: false,
        follows: None,
        followers: BTreeSet::new(),
        leg,
    };
    if let Some(outcome) = refusal(tables, cx, &job) {
        reply(tables, cx, &job, outcome, out);
        return;
    }
    job.follows = coalesce::leader(tables, cx, &job);
    if let Some(leader) = job.follows.and_then(|id| tables.jobs.get_mut(&id)) {
        let id = job.leg.leg;
        leader.followers.insert(id);
        tables.timers.set(deadline, Timer::Job(id));
        tables.jobs.insert(id, job);
        return;
    }
    coalesce::register_leader(tables, cx, &job);
    let priority = priority(cx, &job.leg.profile);
    let id = job.leg.leg;
    if let Some(row) = tables.shards.get_mut(&job.shard) {
        row.last_used = cx.now;
        job.position = Some(row.enqueue(id, &job.leg.profile, priority));
    }
    tables.to_dispatch.insert(job.shard.clone());
    tables.timers.set(deadline, Timer::Job(id));
    tables.jobs.insert(id, job);
}

/// The targets that were lost while they ran the same request before.
fn targets_to_avoid(suspect: &Suspect) -> BTreeSet<Name> {
    suspect.targets.iter().map(|(name, _)| name.clone()).collect()
}

fn refusal(tables: &Tables, cx: &Context, job: &Job) -> Option<Outcome> {
    let refused = |kind, detail: &str| {
        Some(Outcome::Failed { kind, ran: Ran::No, detail: detail.to_owned() })
    };
    if !tables.shards.contains_key(&job.shard) {
        // This VM may have started only just now. The entry tries the next
        // home.
        return refused(Kind::NotReady, "the home knows no target of the shard");
    }
    if cx.paused && !job.is_idempotent() {
        // The leg may have waited in a buffer for longer than its deadline.
        return refused(Kind::NotReady, "the home was paused");
    }
    if tables.jobs.len() >= cx.limits.jobs {
        return refused(Kind::Overloaded, "too many legs wait at the home");
    }
    if is_quarantined(tables, cx, job) {
        return refused(Kind::Quarantined, "the request is quarantined because it crashed targets");
    }
    if job.leg.trial
        && let Some(target) = lost_targets(tables, cx, job.leg.fingerprint, &job.shard).pop()
    {
        // This target was lost while it ran the same search on trial.
        return Some(Outcome::Lost { target });
    }
    if backlog(tables, cx, &job.shard, &job.leg.profile) >= job.leg.remaining {
        return refused(Kind::Overloaded, "the wait for a slot is longer than the deadline");
    }
    None
}

/// Whether the job's request must not be sent to another target, because too
/// many targets of this shard were lost with it or the view lists it as
/// quarantined.
///
/// Targets of other shards do not count. A rack failure takes targets of many
/// shards at once, and would quarantine every search that was running.
pub fn is_quarantined(tables: &Tables, cx: &Context, job: &Job) -> bool {
    lost_targets(tables, cx, job.leg.fingerprint, &job.shard).len() >= cx.limits.lost_targets
        || cx.view.quarantine.contains_key(&job.leg.fingerprint)
}

/// Whether any target was recently lost while it ran the job's request, for
/// this thread or another VM.
pub fn is_suspect(tables: &Tables, cx: &Context, job: &Job) -> bool {
    let own = tables.suspects.get(&job.leg.fingerprint);
    own.is_some_and(|suspect| suspect.until > cx.now)
        || cx.view.suspects.contains_key(&job.leg.fingerprint)
}

/// The targets of a shard that were lost while they ran a request, for this
/// thread or other VMs. A target that was lost in two incarnations is listed
/// twice.
pub fn lost_targets(
    tables: &Tables,
    cx: &Context,
    fingerprint: Fingerprint,
    shard: &shard::Key,
) -> Vec<Name> {
    let is_here =
        |name: &Name| tables.targets.get(name).is_some_and(|target| target.shard == *shard);
    let own = tables.suspects.get(&fingerprint).filter(|suspect| suspect.until > cx.now);
    let mut lost: Vec<Name> = own
        .into_iter()
        .flat_map(|suspect| suspect.targets.iter().map(|(name, _)| name))
        .filter(|name| is_here(name))
        .cloned()
        .collect();
    let others = cx.view.suspects.get(&fingerprint).into_iter().flatten();
    let new: Vec<&Name> = others.filter(|name| is_here(name) && !lost.contains(name)).collect();
    lost.extend(new.into_iter().cloned());
    lost
}

/// The time that a leg of a profile which arrives now is expected to wait for a
/// slot, or zero while the latency of a target is not known yet.
pub fn backlog(tables: &Tables, cx: &Context, key: &shard::Key, profile: &Name) -> Duration {
    let Some(shard) = tables.shards.get(key) else { return Duration::ZERO };
    let ahead = shard.ahead(profile, priority(cx, profile));
    if ahead == 0 {
        return Duration::ZERO;
    }
    let targets = shard.targets.iter().filter_map(|name| tables.targets.get(name));
    let mut rate = 0.0;
    for target in targets.filter(|target| target.takes_work(cx.now, cx.limits.status_max_age)) {
        // The median, because a single answer that was held up by a paused
        // process must not make the deadline of queries seem out of reach.
        let Some(median) = target.latency.quantile(500) else { return Duration::ZERO };
        rate += f64::from(target.slots) / median.as_secs_f64();
    }
    if rate == 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(ahead as f64 / rate)
}

fn priority(cx: &Context, profile: &Name) -> u32 {
    cx.view.document.profiles.get(profile).map_or(DEFAULT_PRIORITY, |profile| profile.priority)
}

/// Ends a job: replies with `outcome` to it and its followers, and cancels its
/// attempts.
pub fn finish(
    tables: &mut Tables,
    cx: &mut Context,
    id: id::Leg,
    outcome: Outcome,
    out: &mut Outbox,
) {
    record_slow(tables, cx, id);
    for follower in coalesce::take_followers(tables, id, &outcome) {
        let Some(mut job) = tables.jobs.remove(&follower) else { continue };
        tables.timers.cancel(job.deadline, Timer::Job(follower));
        job.follows = None;
        reply(tables, cx, &job, outcome.clone(), out);
    }
    let Some(job) = remove(tables, id, out) else { return };
    reply(tables, cx, &job, outcome, out);
}

/// Ends a job because no target of its shard holds what it asks for.
pub fn finish_moved(tables: &mut Tables, cx: &mut Context, id: id::Leg, out: &mut Outbox) {
    let ran = super::collect::ran_of(tables, id);
    finish(tables, cx, id, Outcome::Moved { ran }, out);
}

/// Records for the attempts that are no longer awaited how long they have taken
/// at least. Without this, a target that always loses against its hedge would
/// never count as slow.
fn record_slow(tables: &mut Tables, cx: &Context, id: id::Leg) {
    let Some(job) = tables.jobs.get(&id) else { return };
    for attempt in job.attempts.iter().filter_map(|attempt| tables.attempts.get(attempt)) {
        if let Some(target) = tables.targets.get_mut(&attempt.target) {
            target.latency.record_lower_bound(cx.now.since(attempt.sent));
        }
    }
}

/// Ends a job without a reply: cancels its attempts, or hands them to its first
/// follower.
pub fn remove(tables: &mut Tables, id: id::Leg, out: &mut Outbox) -> Option<Job> {
    let mut job = tables.jobs.remove(&id)?;
    coalesce::leave(tables, &mut job);
    tables.timers.cancel(job.deadline, Timer::Job(id));
    if let (Some(position), Some(shard)) = (job.position, tables.shards.get_mut(&job.shard)) {
        shard.queue.remove(&position);
    }
    for &attempt in &job.attempts {
        let Some(row) = release(tables, attempt) else { continue };
        out.count(Count::Cancelled);
        out.commands.push(Command::Cancel { connection: row.connection, attempt });
    }
    Some(job)
}

fn reply(tables: &mut Tables, cx: &Context, job: &Job, outcome: Outcome, out: &mut Outbox) {
    if let Outcome::Failed { kind, ran, .. } = &outcome {
        let fields = vec![
            ("shard", job.shard.shard.to_string()),
            ("kind", kind.to_string()),
            ("ran", ran.as_str().to_owned()),
        ];
        out.lines.push(Line::for_query(job.leg.query, Event::LegFailed, fields));
    }
    let reply = message::Reply {
        leg: job.leg.leg,
        outcome,
        attempts: job.tries,
        backlog: backlog(tables, cx, &job.shard, &job.leg.profile),
    };
    if job.from == cx.lane {
        tables.replies.push(reply);
    } else {
        out.reply(job.from.clone(), reply);
    }
}

/// Removes an attempt from the tables and frees its slot.
pub fn release(tables: &mut Tables, id: id::Attempt) -> Option<Attempt> {
    let attempt = tables.attempts.remove(&id)?;
    tables.timers.cancel(attempt.hedge_at, Timer::Hedge(id));
    if let Some(connection) = tables.connections.get_mut(&attempt.connection) {
        connection.attempts.remove(&id);
    }
    if let Some(target) = tables.targets.get_mut(&attempt.target) {
        target.in_use = target.in_use.saturating_sub(1);
        if target.in_use == 0 {
            target.reserved = false;
        }
        tables.to_dispatch.insert(target.shard.clone());
    }
    if let Some(job) = tables.jobs.get_mut(&attempt.job) {
        job.attempts.remove(&id);
    }
    if !tables.suspects.is_empty() {
        // A copy of a suspect request may have waited for this attempt to end.
        let waiting = tables.shards.iter().filter(|(_, shard)| !shard.queue.is_empty());
        tables.to_dispatch.extend(waiting.map(|(key, _)| key.clone()));
    }
    Some(attempt)
}

/// Queues a job again after an attempt ended without an answer, or ends the job
/// if it may not be retried.
pub fn retry(tables: &mut Tables, cx: &mut Context, id: id::Leg, reason: Retry, out: &mut Outbox) {
    if !may_retry(tables, cx, id, reason, out) {
        return;
    }
    let Some(job) = tables.jobs.get_mut(&id) else { return };
    if let Some(shard) = tables.shards.get_mut(&job.shard) {
        job.position = Some(shard.requeue(id));
        tables.to_dispatch.insert(job.shard.clone());
    }
}

/// Whether a job may be retried. If not, the job is ended, unless it has
/// another attempt in flight or is queued already.
fn may_retry(
    tables: &mut Tables,
    cx: &mut Context,
    id: id::Leg,
    reason: Retry,
    out: &mut Outbox,
) -> bool {
    let Some(job) = tables.jobs.get(&id) else { return false };
    if !job.attempts.is_empty() || job.position.is_some() {
        return false;
    }
    if job.ran && !job.is_idempotent() {
        let detail = "the target was lost while it may have run the operation".to_owned();
        let failed = Outcome::Failed { kind: Kind::TargetFailed, ran: Ran::Unknown, detail };
        finish(tables, cx, id, failed, out);
        return false;
    }
    if is_quarantined(tables, cx, job) {
        let detail = "the request was running when targets were lost".to_owned();
        let failed = Outcome::Failed { kind: Kind::Quarantined, ran: Ran::Yes, detail };
        finish(tables, cx, id, failed, out);
        return false;
    }
    let ran = if job.ran { Ran::Unknown } else { Ran::No };
    if costs_budget(reason) && !take_retry(tables, cx, &job.leg.profile.clone()) {
        out.count(Count::BudgetSpent);
        finish(tables, cx, id, budget_exhausted(reason, ran), out);
        return false;
    }
    out.count(Count::Retried(reason));
    let Some(job) = tables.jobs.get(&id) else { return false };
    let fields =
        vec![("shard", job.shard.shard.to_string()), ("reason", reason.as_str().to_owned())];
    out.lines.push(Line::for_query(job.leg.query, Event::Retried, fields));
    true
}

/// Whether a retry for this reason counts against the budget, because it puts
/// load on targets that the first attempt did not need. Attempts that were not
/// sent do not count, nor do refusals of a target that moved or leaves, because
/// it refuses each job at most once.
fn costs_budget(reason: Retry) -> bool {
    !matches!(reason, Retry::Unsent | Retry::Draining | Retry::VersionGone | Retry::RangeMoved)
}

fn budget_exhausted(reason: Retry, ran: Ran) -> Outcome {
    let detail = "the retry budget of the profile is used up".to_owned();
    let kind = if reason == Retry::Shed { Kind::Overloaded } else { Kind::TargetFailed };
    Outcome::Failed { kind, ran, detail }
}

/// Takes one retry from the budget of a profile and returns whether it is
/// allowed. A profile that allows no extra load gets none.
pub fn take_retry(tables: &mut Tables, cx: &Context, profile: &Name) -> bool {
    let extra = cx.view.document.profiles.get(profile).map_or(0, |profile| profile.extra_load);
    let max = if extra == 0 { 0 } else { cx.limits.retry_burst };
    tables.usages.entry(profile.clone()).or_default().take_retry(max)
}

/// Ends all waiting jobs of a shard that has no targets any more.
pub fn fail_queue(tables: &mut Tables, cx: &mut Context, key: &shard::Key, out: &mut Outbox) {
    let Some(shard) = tables.shards.get(key) else { return };
    let waiting: Vec<id::Leg> = shard.queue.iter().map(|&(_, id)| id).collect();
    for id in waiting {
        finish_moved(tables, cx, id, out);
    }
}
