//! Removes operations, claims and outcomes whose deadline has passed.

use uuid::Uuid;

use crate::{
    claim::{Outcome, Verdict},
    log,
};

use super::{
    Context, Count, Outbox, Replies, intake,
    table::{Operation, Pending, Tables},
};

/// Answers expired operations and claims, and drops expired outcomes.
pub fn run(tables: &mut Tables, context: &Context<'_>, replies: &mut Replies, out: &mut Outbox) {
    expire_operations(tables, context, out);
    expire_claims(tables, context, replies, out);
    expire_reports(tables, context, out);
    tables.unreachable.retain(|_, until| *until > context.now);
}

/// Ends the expired operations of this VM as unsettled. Without its row no later
/// verdict reaches the operation, so it never runs and its claim can be released.
fn expire_operations(tables: &mut Tables, context: &Context<'_>, out: &mut Outbox) {
    let due = tables.operations.iter().filter(|(_, row)| row.deadline <= context.now);
    let tokens: Vec<Uuid> = due.map(|(&token, _)| token).collect();
    for token in tokens {
        let Some(row) = tables.operations.remove(&token) else { continue };
        let Operation { operation, request, tries, .. } = row;
        out.count(Count::Unsettled);
        let fields = vec![("key", request.key.0.to_string())];
        out.lines.push(log::Line::for_query(operation, log::Event::ClaimUnsettled, fields));
        if tries > 0 {
            intake::add_report(tables, context, request, Outcome::NotRun, out);
        }
        let detail = "the claim was not settled before the deadline".to_owned();
        out.verdicts.push((operation, Verdict::Unsettled { detail }));
    }
}

/// Answers the expired claims at this home that no call in flight contains, and
/// drops outcomes that waited for longer than `report_timeout`.
fn expire_claims(
    tables: &mut Tables,
    context: &Context<'_>,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let mut expired: Vec<Pending> = Vec::new();
    let timeout = context.limits.report_timeout;
    for row in tables.buckets.values_mut() {
        row.records.retain(|record| record.queued_at + timeout > context.now);
        for claims in [&mut row.claims, &mut row.held] {
            expired.extend(claims.extract_if(.., |pending| pending.deadline <= context.now));
        }
    }
    let grants = tables.grants.extract_if(.., |grant| grant.pending.deadline <= context.now);
    expired.extend(grants.map(|grant| grant.pending));
    for pending in expired {
        out.count(Count::Unsettled);
        let verdict = Verdict::Unsettled { detail: "the claim was not stored in time".to_owned() };
        intake::push_answer(replies, &pending.requester, pending.request.token, verdict, true);
    }
}

/// Drops the outcomes of this VM that were not recorded in time.
fn expire_reports(tables: &mut Tables, context: &Context<'_>, out: &mut Outbox) {
    let before = tables.reports.len();
    tables.reports.retain(|_, row| row.deadline > context.now);
    for _ in tables.reports.len()..before {
        out.count(Count::OutcomeDropped);
    }
}
