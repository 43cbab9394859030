//! Handles the verdicts on claims. An operation whose claim is granted may be
//! sent.

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

/// The number of operations whose outcome is awaited after their caller was
/// answered. Beyond it the oldest one is dropped.
const MAX_UNSETTLED: usize = 4096;

/// Handles the verdicts in the order of their arrival. A verdict that comes
/// after the deadline of its request must not start the operation.
pub fn run(
    tables: &mut Tables,
    cx: &mut Context,
    verdicts: Vec<(id::Query, Verdict)>,
    out: &mut Outbox,
) {
    for (id, verdict) in verdicts {
        let is_waiting = tables.queries.get(&id).is_some_and(|query| query.deadline > cx.now);
        if is_waiting {
            apply_verdict(tables, id, verdict);
        } else {
            release_late_claim(tables, id, &verdict, out);
        }
    }
}

fn apply_verdict(tables: &mut Tables, id: id::Query, verdict: Verdict) {
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
            "an earlier request with the same idempotency key has no known outcome",
        ),
        Verdict::Reused => Fault::not_run(
            Kind::KeyReused,
            "the idempotency key was used with other content; use a new key",
        ),
        Verdict::Expired => Fault::not_run(
            Kind::KeyExpired,
            "the time of issue of the idempotency key is outside the accepted window",
        ),
        Verdict::Full => Fault::not_run(
            Kind::ClaimFull,
            "the time slot of the idempotency key is full; use a new key",
        ),
        // An earlier request with the key may have run.
        Verdict::Unsettled { detail } => Fault::unknown(Kind::ClaimUnsettled, detail),
        Verdict::Granted | Verdict::Recorded { .. } => {
            Fault::not_run(Kind::Internal, "a verdict that is no refusal was handled as one")
        }
    }
}

/// Reports a claim that was granted too late to be used as not run, so that the
/// caller can send the operation again with the same key.
fn release_late_claim(tables: &mut Tables, id: id::Query, verdict: &Verdict, out: &mut Outbox) {
    if *verdict != Verdict::Granted {
        tables.unsettled.remove(&id);
        return;
    }
    let request = match tables.queries.get_mut(&id) {
        Some(query) => {
            // The query is answered in this tick. Its answer must not count the
            // claim as still open.
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

/// Remembers a claim whose verdict or outcome is still awaited.
pub fn await_outcome(tables: &mut Tables, id: id::Query, request: Request) {
    if tables.unsettled.len() >= MAX_UNSETTLED {
        tables.unsettled.pop_first();
    }
    tables.unsettled.insert(id, request);
}
