//! Starts waiting jobs on free slots, and hedges slow attempts.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    count::Count,
    id,
    message::Outcome,
    name::Name,
    target::{Command, Request, Work},
    traffic::{
        Context, Outbox, Tables,
        policy::Candidate,
        system::{connect, job},
        table::{Attempt, Job, Target, shard, timer::Timer},
    },
};

/// The time without work after which a slow target is probed with a job, to
/// find out whether it has recovered.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// The jobs that a target gets at a time until enough of its latency is known.
const NEW_TARGET_SLOTS: u32 = 1;

/// Starts jobs of the shards at which a slot was freed or a job was queued.
pub fn run(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    for key in std::mem::take(&mut tables.to_dispatch) {
        start_waiting(tables, cx, &key, out);
    }
}

/// Starts the jobs of one shard in the order of its queue.
fn start_waiting(tables: &mut Tables, cx: &mut Context, key: &shard::Key, out: &mut Outbox) {
    let mut after = None;
    let mut ahead = 0;
    while let Some(position) = next_waiting(tables, key, after) {
        after = Some(position);
        let id = position.1;
        let Some(row) = tables.jobs.get(&id) else { continue };
        if job::is_quarantined(tables, cx, row) {
            finish_quarantined(tables, cx, id, out);
            continue;
        }
        let is_suspect = is_suspect(tables, cx, row);
        if is_suspect && runs_elsewhere(tables, row) {
            continue;
        }
        let Some(row) = tables.jobs.get_mut(&id) else { continue };
        row.suspect = is_suspect;
        let Some(row) = tables.jobs.get(&id) else { continue };
        match choose(tables, cx, row, ahead) {
            Pick::Target(name) => start(tables, cx, id, &name, out),
            Pick::Moved => job::finish_moved(tables, cx, id, out),
            Pick::Busy => {
                ahead += 1;
                if !may_overtake(tables, key) {
                    break;
                }
            }
        }
    }
    connect_waiting(tables, cx, key, out);
}

/// Whether any target was lost while it ran the request of the job.
fn is_suspect(tables: &Tables, cx: &Context, job: &Job) -> bool {
    job.suspect || job::is_suspect(tables, cx, job)
}

/// Whether another query with the same request has an attempt in flight. Copies
/// of a suspect request run one after another, so that they cannot crash
/// several targets before the first loss is known.
fn runs_elsewhere(tables: &Tables, job: &Job) -> bool {
    let fingerprint = job.leg.fingerprint;
    let others = tables.attempts.values().filter_map(|attempt| tables.jobs.get(&attempt.job));
    others
        .filter(|other| other.leg.query != job.leg.query)
        .any(|other| other.leg.fingerprint == fingerprint)
}

fn next_waiting(
    tables: &Tables,
    key: &shard::Key,
    after: Option<shard::QueuePosition>,
) -> Option<shard::QueuePosition> {
    use std::ops::Bound;
    let queue = &tables.shards.get(key)?.queue;
    let start = after.map_or(Bound::Unbounded, Bound::Excluded);
    queue.range((start, Bound::Unbounded)).next().copied()
}

/// Whether a job behind one that must wait may still find a free slot, which is
/// possible when the targets of the shard hold different versions or ranges.
fn may_overtake(tables: &Tables, key: &shard::Key) -> bool {
    let Some(shard) = tables.shards.get(key) else { return false };
    shard
        .targets
        .iter()
        .filter_map(|name| tables.targets.get(name))
        .any(|target| !target.is_draining() && target.in_use < target.slots && !target.reserved)
}

/// The result of choosing a target for a job.
enum Pick {
    /// The job runs at this target.
    Target(Name),
    /// The job waits for a slot.
    Busy,
    /// No target of the shard holds what the job asks for.
    Moved,
}

/// Chooses a target for a job that has `ahead` waiting jobs before it.
fn choose(tables: &Tables, cx: &Context, job: &Job, ahead: usize) -> Pick {
    let Some(shard) = tables.shards.get(&job.shard) else { return Pick::Moved };
    let index_mean = index_mean(tables, job);
    let mut best: Option<Ranked<'_>> = None;
    let mut any_may_hold = false;
    for name in &shard.targets {
        let Some(target) = tables.targets.get(name) else { continue };
        if !may_hold(target, &job.leg.work) {
            continue;
        }
        any_may_hold = true;
        if !target.takes_work(cx.now, cx.limits.status_max_age) || !has_connection(tables, target) {
            continue;
        }
        let is_free = is_free(cx, name, target, job);
        if is_free && is_probe_due(cx, target, job) {
            return Pick::Target(name.clone());
        }
        let jobs_ahead = (!is_free).then_some(ahead);
        let cost = cx.policies.choice.cost(Candidate { target, index_mean, jobs_ahead });
        let ranked = Ranked { avoided: job.avoid.contains(name), cost, is_free, name };
        if best.as_ref().is_none_or(|own| ranked.rank() < own.rank()) {
            best = Some(ranked);
        }
    }
    match best {
        Some(Ranked { is_free: true, name, .. }) => Pick::Target(name.clone()),
        None if !any_may_hold => Pick::Moved,
        Some(_) | None => Pick::Busy,
    }
}

/// A target that may run a job now or after a wait, with its cost.
struct Ranked<'a> {
    avoided: bool,
    cost: Duration,
    is_free: bool,
    name: &'a Name,
}

impl Ranked<'_> {
    fn rank(&self) -> (bool, Duration, &Name) {
        (self.avoided, self.cost, self.name)
    }
}

/// The mean latency over all targets of the job's index.
fn index_mean(tables: &Tables, job: &Job) -> Duration {
    tables.indexes.get(&job.leg.index).map_or(Duration::ZERO, |index| index.latency.mean())
}

/// Whether a target that got no work for a while is probed with this job. Only
/// a search that was not attempted yet and is not suspect serves as a probe.
fn is_probe_due(cx: &Context, target: &Target, job: &Job) -> bool {
    job.is_idempotent()
        && !job.suspect
        && job.tries == 0
        && target.in_use == 0
        && cx.now.since(target.last_used) >= PROBE_INTERVAL
}

/// Whether the target holds what the job asks for, or may do so because it has
/// not reported its status yet.
fn may_hold(target: &Target, work: &Work) -> bool {
    if target.is_draining() || target.failures >= connect::LOST_FAILURES {
        return false;
    }
    if target.status.is_none() {
        return true;
    }
    match work {
        Work::Search { version, range, .. } => target.holds(*version, *range),
        Work::Operate { subject, .. } => target
            .holdings()
            .and_then(|held| held.values().next_back())
            .is_some_and(|range| range.contains(*subject)),
    }
}

/// Whether the target has a free slot for the job.
fn is_free(cx: &Context, name: &Name, target: &Target, job: &Job) -> bool {
    if !target.takes_work(cx.now, cx.limits.status_max_age) || target.reserved {
        return false;
    }
    if job.suspect {
        // The job runs alone, so that a crash fails no other request.
        return target.in_use == 0;
    }
    // A new target is slow at first, and its latency is not known yet.
    let max = if target.latency.has_enough_values() { u32::MAX } else { NEW_TARGET_SLOTS };
    target.in_use < cx.policies.slots.limit(&cx.view, name, target).min(max)
}

fn has_connection(tables: &Tables, target: &Target) -> bool {
    open_connection(tables, target, &BTreeSet::new()).is_some()
}

/// The open connection with the fewest attempts that is not in `avoid`.
/// Connections with an unanswered status read come last.
fn open_connection(
    tables: &Tables,
    target: &Target,
    avoid: &BTreeSet<id::Connection>,
) -> Option<id::Connection> {
    target
        .connections
        .iter()
        .filter(|id| !avoid.contains(id))
        .filter_map(|id| tables.connections.get(id).map(|row| (id, row)))
        .filter(|(_, row)| row.open)
        .min_by_key(|(id, row)| (row.status_requested.is_some(), row.attempts.len(), **id))
        .map(|(id, _)| *id)
}

fn finish_quarantined(tables: &mut Tables, cx: &mut Context, id: id::Leg, out: &mut Outbox) {
    let Some(row) = tables.jobs.get(&id) else { return };
    let ran = if row.ran { crate::fault::Ran::Yes } else { crate::fault::Ran::No };
    let detail = "the request is quarantined because it crashed targets".to_owned();
    let kind = crate::fault::Kind::Quarantined;
    job::finish(tables, cx, id, Outcome::Failed { kind, ran, detail }, out);
}

/// Starts a waiting job at a target.
fn start(tables: &mut Tables, cx: &mut Context, id: id::Leg, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get(name) else { return };
    let Some(connection) = open_connection(tables, target, &BTreeSet::new()) else { return };
    let Some(row) = tables.jobs.get_mut(&id) else { return };
    let is_first = row.tries == 0;
    if let (Some(position), Some(shard)) = (row.position.take(), tables.shards.get_mut(&row.shard))
    {
        shard.dequeue(position);
    }
    if is_first {
        out.count(Count::FirstAttempts);
        deposit_budget(tables, cx, id);
    }
    send_attempt(tables, cx, id, name, connection, out);
}

/// Credits the retry budget of the job's profile for a first attempt.
fn deposit_budget(tables: &mut Tables, cx: &Context, id: id::Leg) {
    let Some(row) = tables.jobs.get(&id) else { return };
    let name = row.leg.profile.clone();
    let extra = cx.view.document.profiles.get(&name).map_or(0, |profile| profile.extra_load);
    tables.usages.entry(name).or_default().deposit(extra, cx.limits.retry_burst);
}

fn send_attempt(
    tables: &mut Tables,
    cx: &mut Context,
    id: id::Leg,
    name: &Name,
    connection: id::Connection,
    out: &mut Outbox,
) {
    let attempt = cx.ids.attempt();
    let hedge_at = hedge_time(tables, cx, id);
    let Some(row) = tables.jobs.get_mut(&id) else { return };
    row.tries += 1;
    row.attempts.insert(attempt);
    let remaining = row.deadline.remaining(cx.now);
    let request = Request { attempt, work: row.leg.work.clone(), remaining };
    if let Some(target) = tables.targets.get_mut(name) {
        target.in_use += 1;
        target.last_used = cx.now;
        target.reserved = row.suspect;
    }
    if let Some(row) = tables.connections.get_mut(&connection) {
        row.attempts.insert(attempt);
    }
    let target = name.clone();
    let row =
        Attempt { job: id, target, connection, sent: cx.now, hedge_at, hedge_deferred: false };
    tables.attempts.insert(attempt, row);
    tables.timers.set(hedge_at, Timer::Hedge(attempt));
    out.count(Count::Attempts);
    out.commands.push(Command::Send { connection, request });
}

/// When an attempt of the job counts as slow. Its connection is then checked,
/// and a search is hedged if the policy allows.
fn hedge_time(tables: &Tables, cx: &Context, id: id::Leg) -> crate::time::Instant {
    let Some(row) = tables.jobs.get(&id) else { return cx.now };
    let profile = cx.view.document.profiles.get(&row.leg.profile);
    let tail = profile.map_or(cx.limits.status_timeout, |profile| profile.tail);
    let latency = tables.indexes.get(&row.leg.index).map(|index| &index.latency);
    let delay = latency.and_then(|latency| cx.policies.hedge.delay(latency, tail));
    cx.now + delay.unwrap_or(tail)
}

/// Hedges a slow attempt of a search at a second target, if the policy, the
/// budget of its profile and a free slot allow.
///
/// A hedge that is not possible now is tried once more after half of the
/// remaining time, and may then take a retry from the budget: a straggler must
/// not cost an answer while another target is free.
pub fn hedge(tables: &mut Tables, cx: &mut Context, slow: id::Attempt, out: &mut Outbox) {
    let Some(&Attempt { job: id, hedge_deferred, .. }) = tables.attempts.get(&slow) else { return };
    let Some(row) = tables.jobs.get(&id) else { return };
    let is_suspect = is_suspect(tables, cx, row);
    if !row.is_idempotent()
        || is_suspect
        || row.attempts.len() != 1
        || !hedging_allowed(tables, cx, row)
    {
        return;
    }
    let profile = row.leg.profile.clone();
    let free = second_target(tables, cx, row);
    let target = free.filter(|_| {
        let usage = tables.usages.entry(profile.clone()).or_default();
        usage.take_hedge() || (hedge_deferred && job::take_retry(tables, cx, &profile))
    });
    let Some((name, connection)) = target else {
        out.count(Count::BudgetSpent);
        defer_hedge(tables, cx, slow);
        return;
    };
    out.count(Count::Hedges);
    send_attempt(tables, cx, id, &name, connection, out);
}

/// Defers the hedge of an attempt by half of the remaining time, at most once.
fn defer_hedge(tables: &mut Tables, cx: &Context, slow: id::Attempt) {
    let Some(row) = tables.attempts.get_mut(&slow) else { return };
    let Some(job) = tables.jobs.get(&row.job) else { return };
    if !std::mem::replace(&mut row.hedge_deferred, true) {
        row.hedge_at = cx.now + job.deadline.remaining(cx.now) / 2;
        tables.timers.set(row.hedge_at, Timer::Hedge(slow));
    }
}

fn hedging_allowed(tables: &Tables, cx: &Context, job: &Job) -> bool {
    let latency = tables.indexes.get(&job.leg.index).map(|index| &index.latency);
    let tail = Duration::MAX;
    latency.is_some_and(|latency| cx.policies.hedge.delay(latency, tail).is_some())
}

/// The best target with a free slot that the job does not run at or avoid.
fn second_target(tables: &Tables, cx: &Context, job: &Job) -> Option<(Name, id::Connection)> {
    let busy: BTreeSet<&Name> = job
        .attempts
        .iter()
        .filter_map(|id| tables.attempts.get(id))
        .map(|attempt| &attempt.target)
        .collect();
    let shard = tables.shards.get(&job.shard)?;
    shard
        .targets
        .iter()
        .filter(|name| !busy.contains(name) && !job.avoid.contains(*name))
        .filter_map(|name| tables.targets.get(name).map(|target| (name, target)))
        .filter(|(_, target)| may_hold(target, &job.leg.work))
        .filter(|(name, target)| is_free(cx, name, target, job))
        .filter_map(|(name, target)| {
            let connection = open_connection(tables, target, &BTreeSet::new())?;
            let candidate =
                Candidate { target, index_mean: index_mean(tables, job), jobs_ahead: None };
            Some((cx.policies.choice.cost(candidate), name, connection))
        })
        .min()
        .map(|(_, name, connection)| (name.clone(), connection))
}

/// Opens connections to the targets of a shard with waiting jobs, also where
/// this thread is not the first home of the shard.
fn connect_waiting(tables: &mut Tables, cx: &mut Context, key: &shard::Key, out: &mut Outbox) {
    let Some(shard) = tables.shards.get(key) else { return };
    if shard.queue.is_empty() {
        return;
    }
    if !shard.home {
        tables.timers.set(cx.now + cx.limits.idle_timeout, Timer::Idle(key.clone()));
    }
    let names: Vec<Name> = shard.targets.iter().cloned().collect();
    for name in names {
        connect::ensure(tables, cx, &name, out);
    }
}
