//! Merges the replies of homes into the queries.

use crate::{
    claim::{self, Outcome as Recorded},
    count::{Count, Drop, Retry},
    digest::{self, Fingerprint},
    fault::{Fault, Kind, Ran},
    key::Range,
    message::{Outcome, Reply},
    notice::Report,
    profile::WHOLE_PPM,
    target::Row,
    traffic::{
        Context, Outbox, Tables,
        system::leg,
        table::{
            Leg,
            index::Backlog,
            query::{Search, Settled, Stage, Task},
        },
    },
};

/// The number of trials that ran and failed after which a search is not tried
/// at another shard.
const MAX_RUN_TRIALS: u32 = 2;

/// Merges the replies in the order of their arrival.
pub fn run(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    for reply in std::mem::take(&mut tables.replies) {
        merge_reply(tables, cx, reply, out);
    }
}

fn merge_reply(tables: &mut Tables, cx: &mut Context, reply: Reply, out: &mut Outbox) {
    if leg::is_home_refusal(&reply) {
        out.count(Count::Retried(Retry::HomeUnreachable));
        leg::resend(tables, cx, reply.leg, out);
        return;
    }
    let Some(leg) = leg::remove(tables, reply.leg) else {
        out.count(Count::Dropped(Drop::Late));
        return;
    };
    record_backlog(tables, cx, &leg, &reply);
    if let Some(query) = tables.queries.get_mut(&leg.query) {
        query.attempts += reply.attempts;
        query.ran = query.ran.max(ran_of(&reply.outcome));
    }
    if leg.version.is_some() {
        merge_search(tables, cx, &leg, reply.outcome, out);
    } else {
        settle_operation(tables, &leg, reply.outcome, out);
    }
    finish_if_idle(tables, &leg);
}

fn ran_of(outcome: &Outcome) -> Ran {
    match outcome {
        Outcome::Rows { .. } | Outcome::Done { .. } => Ran::Yes,
        Outcome::Moved { ran } | Outcome::Failed { ran, .. } => *ran,
        Outcome::Lost { .. } => Ran::Unknown,
    }
}

fn record_backlog(tables: &mut Tables, cx: &Context, leg: &Leg, reply: &Reply) {
    let index = tables.indexes.get_mut(&leg.message.index);
    if let Some(holding) = index.and_then(|index| index.shards.get_mut(&leg.shard)) {
        let backlog = Backlog { wait: reply.backlog, received: cx.now };
        holding.backlogs.insert(leg.message.profile.clone(), backlog);
    }
}

fn merge_search(tables: &mut Tables, cx: &Context, leg: &Leg, outcome: Outcome, out: &mut Outbox) {
    let Some(query) = tables.queries.get_mut(&leg.query) else { return };
    let Task::Search(search) = &mut query.task else { return };
    if leg.version != search.version {
        // The search was restarted at another version after the leg was sent.
        out.count(Count::Dropped(Drop::WrongVersion));
        return;
    }
    let next = match outcome {
        Outcome::Rows { version, range, rows, digest } => {
            let is_asked = Some(version) == search.version && range == leg.range;
            let is_whole = is_asked && digest::rows(&rows) == digest;
            take_rows(search, range, rows, is_whole, out)
        }
        Outcome::Moved { .. } => Next::Plan,
        Outcome::Lost { target } => {
            search.crashed.insert(target, leg.shard.clone());
            target_lost(search, query.fingerprint, cx, out)
        }
        Outcome::Failed { kind: Kind::Quarantined, ran, detail } => {
            search.fault = Some(Fault { kind: Kind::Quarantined, ran, detail });
            Next::Answer
        }
        Outcome::Failed { ran, .. } if may_retry_trial(search, ran) => Next::Plan,
        Outcome::Failed { .. } | Outcome::Done { .. } => {
            search.failed_keys.insert(leg.range);
            range_failed(search, query.pinned_profile.coverage)
        }
    };
    match next {
        Next::Wait => false,
        Next::Plan => tables.to_plan.insert(leg.query),
        Next::Answer => tables.to_answer.insert(leg.query),
    };
}

/// The next step of a search after one of its legs has ended.
enum Next {
    /// Wait for the other legs.
    Wait,
    /// Plan the keys that were not read yet.
    Plan,
    /// Answer the caller.
    Answer,
}

fn take_rows(
    search: &mut Search,
    range: Range,
    rows: Vec<Row>,
    is_whole: bool,
    out: &mut Outbox,
) -> Next {
    if !is_whole {
        out.count(Count::Dropped(Drop::Cut));
        return Next::Wait;
    }
    search.covered.insert(range);
    search.rows.extend(rows);
    // After a successful trial, the search goes to the other shards.
    if search.trial.take().is_some() { Next::Plan } else { Next::Wait }
}

/// Handles the loss of a target that ran a search on trial: the search is tried
/// elsewhere, or quarantined if it has lost too many targets.
fn target_lost(
    search: &mut Search,
    fingerprint: Fingerprint,
    cx: &Context,
    out: &mut Outbox,
) -> Next {
    if search.crashed.len() < cx.limits.lost_targets {
        return Next::Plan;
    }
    let detail = "the search was running when targets were lost";
    search.fault = Some(Fault::unknown(Kind::Quarantined, detail));
    out.reports.push(Report::Quarantined { fingerprint, origin: cx.ids.origin() });
    Next::Answer
}

/// Ends a search that cannot reach the required coverage any more. Its other
/// legs would only take slots from queries that can still be answered.
fn range_failed(search: &Search, coverage: u32) -> Next {
    let reachable = Range::ALL.size() - search.failed_keys.size();
    let is_enough = reachable * u128::from(WHOLE_PPM) >= Range::ALL.size() * u128::from(coverage);
    if is_enough { Next::Wait } else { Next::Answer }
}

/// Whether a search whose trial at one shard failed is tried at another. Only
/// trials that may have run are counted, because they may have crashed a
/// target.
fn may_retry_trial(search: &mut Search, ran: Ran) -> bool {
    let Some(trials) = &mut search.trial else { return false };
    if ran != Ran::No {
        *trials += 1;
    }
    *trials < MAX_RUN_TRIALS
}

fn settle_operation(tables: &mut Tables, leg: &Leg, outcome: Outcome, out: &mut Outbox) {
    let (recorded, settled) = split_outcome(outcome);
    if let Some(query) = tables.queries.get_mut(&leg.query) {
        let Task::Operation(operation) = &mut query.task else { return };
        let request = operation.claim(query.fingerprint);
        operation.stage = Stage::Settled(settled);
        tables.to_answer.insert(leg.query);
        report_outcome(request, recorded, out);
    } else if let Some(request) = tables.unsettled.remove(&leg.query) {
        report_outcome(request, recorded, out);
    }
}

fn report_outcome(request: claim::Request, recorded: Option<Recorded>, out: &mut Outbox) {
    if let Some(outcome) = recorded {
        out.reports.push(Report::Outcome { request, outcome });
    }
}

/// Splits the outcome of an operation into what is recorded with its claim, if
/// anything, and the answer for its caller.
fn split_outcome(outcome: Outcome) -> (Option<Recorded>, Result<Settled, Fault>) {
    match outcome {
        Outcome::Done { result } => {
            let recorded = Recorded::Done { result: result.clone() };
            (Some(recorded), Ok(Settled { result, replayed: false }))
        }
        Outcome::Failed { kind, ran, detail } => {
            let recorded = (ran == Ran::No).then_some(Recorded::NotRun);
            (recorded, Err(Fault { kind, ran, detail }))
        }
        Outcome::Lost { .. } => {
            let detail = "the target was lost while it may have run the operation";
            (None, Err(Fault::unknown(Kind::TargetFailed, detail)))
        }
        Outcome::Moved { .. } | Outcome::Rows { .. } => {
            let detail = "no target holds the subject of the operation";
            (Some(Recorded::NotRun), Err(Fault::not_run(Kind::Unavailable, detail)))
        }
    }
}

/// Answers a query that has no leg left, unless it is planned again.
pub fn finish_if_idle(tables: &mut Tables, leg: &Leg) {
    let Some(query) = tables.queries.get(&leg.query) else { return };
    let is_idle = query.legs.is_empty() && !tables.to_plan.contains(&leg.query);
    match &query.task {
        Task::Search(_) if is_idle => {
            tables.to_answer.insert(leg.query);
        }
        Task::Operation(operation) if is_idle && operation.stage == Stage::Sent => {
            settle_unreached(tables, leg);
        }
        _ => {}
    }
}

/// Ends an operation that every home refused, so that it did not run.
fn settle_unreached(tables: &mut Tables, leg: &Leg) {
    let Some(query) = tables.queries.get_mut(&leg.query) else { return };
    if let Task::Operation(operation) = &mut query.task {
        let detail = "no VM that serves the shard accepts requests";
        operation.stage = Stage::Settled(Err(Fault::not_run(Kind::Unavailable, detail)));
        tables.to_answer.insert(leg.query);
    }
}
