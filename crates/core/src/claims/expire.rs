//! Ends operations, claims and outcomes whose deadline has passed.

use uuid::Uuid;

use crate::{
    claim::{Outcome, Verdict},
    log,
};

use super::{
    Count, Outbox, Replies, Scope, intake,
    table::{Operation, Pending, Tables},
};

/// Runs the system.
pub fn run(tables: &mut Tables, scope: &Scope<'_>, replies: &mut Replies, out: &mut Outbox) {
    operations(tables, scope, out);
    claims(tables, scope, replies, out);
    reports(tables, scope, out);
    tables.unreachable.retain(|_, until| *until > scope.now);
}

/// Gives up the operations of this VM. Once the row is gone no verdict reaches
/// the operation, so nothing of it runs and its claim is released.
fn operations(tables: &mut Tables, scope: &Scope<'_>, out: &mut Outbox) {
    let due = tables.operations.iter().filter(|(_, row)| row.deadline <= scope.now);
    let tokens: Vec<Uuid> = due.map(|(&token, _)| token).collect();
    for token in tokens {
        let Some(row) = tables.operations.remove(&token) else { continue };
        let Operation { operation, request, tries, .. } = row;
        out.count(Count::Unsettled);
        let fields = vec![("key", request.key.0.to_string())];
        out.lines.push(log::Line::for_query(operation, log::Event::ClaimUnsettled, fields));
        if tries > 0 {
            intake::report(tables, scope, request, Outcome::NotRun, out);
        }
        let detail = "the claim was not settled before the deadline".to_owned();
        out.claimed.push((operation, Verdict::Unsettled { detail }));
    }
}

/// Gives up the claims at this home that are not in flight.
fn claims(tables: &mut Tables, scope: &Scope<'_>, replies: &mut Replies, out: &mut Outbox) {
    let mut late: Vec<Pending> = Vec::new();
    let horizon = scope.limits.report;
    for row in tables.buckets.values_mut() {
        row.records.retain(|record| record.since + horizon > scope.now);
        late.extend(row.claims.extract_if(.., |pending| pending.deadline <= scope.now));
    }
    let grants = tables.grants.extract_if(.., |grant| grant.pending.deadline <= scope.now);
    late.extend(grants.map(|grant| grant.pending));
    for pending in late {
        out.count(Count::Unsettled);
        let verdict = Verdict::Unsettled { detail: "the claim was not stored in time".to_owned() };
        intake::answer(replies, &pending.requester, pending.request.token, verdict, true);
    }
}

fn reports(tables: &mut Tables, scope: &Scope<'_>, out: &mut Outbox) {
    let before = tables.reports.len();
    tables.reports.retain(|_, row| row.deadline > scope.now);
    for _ in tables.reports.len()..before {
        out.count(Count::OutcomeDropped);
    }
}
