//! Takes the answers to claims: an operation that was granted may be sent.

use crate::{
    claim::{Outcome, Request, Verdict},
    fault::{Fault, Kind},
    id,
    notice::Report,
    traffic::{
        Context, Outbox, Tables,
        table::query::{Settled, Stage, Task},
    },
};

/// The number of operations whose late outcome is awaited.
const MAX_UNSETTLED: usize = 4096;

/// Takes the verdicts in the order in which they came.
pub fn run(
    tables: &mut Tables,
    cx: &mut Context,
    verdicts: Vec<(id::Query, Verdict)>,
    out: &mut Outbox,
) {
    for (id, verdict) in verdicts {
        let is_waiting = tables.queries.get(&id).is_some_and(|query| query.deadline > cx.now);
        if is_waiting {
            take(tables, id, verdict);
        } else {
            decline(tables, id, &verdict, out);
        }
    }
}

fn take(tables: &mut Tables, id: id::Query, verdict: Verdict) {
    let Some(query) = tables.queries.get_mut(&id) else { return };
    let Task::Operation(operation) = &mut query.task else { return };
    if operation.stage != Stage::Claiming {
        return;
    }
    match verdict {
        Verdict::Granted => {
            operation.stage = Stage::Granted;
            tables.to_plan.insert(id);
        }
        Verdict::Recorded { result } => {
            operation.stage = Stage::Settled(Ok(Settled { result, replayed: true }));
            tables.to_answer.insert(id);
        }
        other => {
            operation.stage = Stage::Settled(Err(fault_of(other)));
            tables.to_answer.insert(id);
        }
    }
}

fn fault_of(verdict: Verdict) -> Fault {
    match verdict {
        Verdict::Unknown => Fault::unknown(
            Kind::OutcomeUnknown,
            "the idempotency key was claimed by an earlier request without a known outcome",
        ),
        Verdict::Reused => Fault::not_run(
            Kind::KeyReused,
            "the idempotency key was used with other content; make a new key",
        ),
        Verdict::Expired => Fault::not_run(
            Kind::KeyExpired,
            "the time of issue of the idempotency key lies outside the window",
        ),
        Verdict::Full => Fault::not_run(
            Kind::ClaimFull,
            "the time slot of the idempotency key is full; make a new key",
        ),
        Verdict::Unsettled { detail } => Fault::not_run(Kind::ClaimUnsettled, detail),
        Verdict::Granted | Verdict::Recorded { .. } => {
            Fault::not_run(Kind::Internal, "a claim was answered out of turn")
        }
    }
}

/// Gives back a claim that was granted too late to be used.
fn decline(tables: &mut Tables, id: id::Query, verdict: &Verdict, out: &mut Outbox) {
    if *verdict != Verdict::Granted {
        tables.unsettled.remove(&id);
        return;
    }
    let request = match tables.queries.get_mut(&id) {
        Some(query) => {
            // The answer is due in this tick; it must not find the claim open.
            let Task::Operation(operation) = &mut query.task else { return };
            if operation.stage != Stage::Claiming {
                return;
            }
            let late = Fault::not_run(Kind::ClaimUnsettled, "the claim was settled too late");
            operation.stage = Stage::Settled(Err(late));
            operation.claim(query.fingerprint)
        }
        None => match tables.unsettled.remove(&id) {
            Some(request) => request,
            None => return,
        },
    };
    out.reports.push(Report::Outcome { request, outcome: Outcome::NotRun });
}

/// Remembers a claim whose verdict or outcome is still to come.
pub fn await_outcome(tables: &mut Tables, id: id::Query, request: Request) {
    if tables.unsettled.len() >= MAX_UNSETTLED {
        tables.unsettled.pop_first();
    }
    tables.unsettled.insert(id, request);
}
