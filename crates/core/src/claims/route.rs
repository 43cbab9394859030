//! Sends the claims and outcomes of this VM to the homes of their buckets.

use std::{collections::BTreeMap, time::Duration};

use crate::{name::Name, rank, time::Instant, view::State};

use super::{
    Context, Message, Outbox, Replies, intake, layout,
    message::{Claim, Record},
    table::Tables,
};

/// The shortest time before a claim is sent again.
const MIN_CLAIM_RETRY: Duration = Duration::from_millis(50);
/// The time before an outcome is sent again.
const REPORT_RETRY: Duration = Duration::from_millis(1500);

/// Sends everything that is due, in one message of each kind for each home. What
/// this VM is home of is queued directly.
pub fn run(tables: &mut Tables, context: &Context<'_>, replies: &mut Replies, out: &mut Outbox) {
    for (home, claims) in due_claims(tables, context) {
        if home != *context.vm {
            out.messages.push((home, Message::Claims(claims)));
            continue;
        }
        for claim in claims {
            intake::enqueue_claim(tables, context, context.vm, claim, replies, out);
        }
    }
    for (home, records) in due_records(tables, context) {
        if home != *context.vm {
            out.messages.push((home, Message::Records(records)));
            continue;
        }
        for record in records {
            intake::enqueue_record(tables, context, context.vm, record, out);
        }
    }
}

fn due_claims(tables: &mut Tables, context: &Context<'_>) -> BTreeMap<Name, Vec<Claim>> {
    let mut out: BTreeMap<Name, Vec<Claim>> = BTreeMap::new();
    let unreachable = &tables.unreachable;
    for row in tables.operations.values_mut().filter(|row| row.next_send <= context.now) {
        let Some(bucket) = context.limits.layout.bucket(&row.request.key) else { continue };
        let remaining = row.deadline.remaining(context.now);
        let home = select_home(context, unreachable, bucket.partition, row.home.as_ref());
        row.home = Some(home.clone());
        row.tries += 1;
        let last = row.tries >= context.limits.tries;
        let wait = (remaining / 3).max(MIN_CLAIM_RETRY);
        row.next_send = if last { Instant(u64::MAX) } else { context.now + wait };
        let claim = Claim { request: row.request.clone(), remaining };
        out.entry(home).or_default().push(claim);
    }
    out
}

fn due_records(tables: &mut Tables, context: &Context<'_>) -> BTreeMap<Name, Vec<Record>> {
    let mut out: BTreeMap<Name, Vec<Record>> = BTreeMap::new();
    let unreachable = &tables.unreachable;
    for row in tables.reports.values_mut().filter(|row| row.next_send <= context.now) {
        let Some(bucket) = context.limits.layout.bucket(&row.request.key) else { continue };
        let home = select_home(context, unreachable, bucket.partition, row.home.as_ref());
        row.home = Some(home.clone());
        row.next_send = context.now + REPORT_RETRY;
        let record = Record { request: row.request.clone(), outcome: row.outcome.clone() };
        out.entry(home).or_default().push(record);
    }
    out
}

/// Selects the home of a partition: the first live VM in rank that is reachable
/// and is not the one that was sent to last, or else this VM. A wrong choice is
/// safe and costs only conflicts on the compare-and-swap.
fn select_home(
    context: &Context<'_>,
    unreachable: &BTreeMap<Name, Instant>,
    partition: u16,
    last: Option<&Name>,
) -> Name {
    let vms = context.vms.values();
    let live = vms.filter(|vm| vm.state == State::Live && !unreachable.contains_key(&vm.name));
    let others = live.map(|vm| &vm.name).filter(|vm| Some(*vm) != last);
    rank::first(layout::partition_seed(partition), others).unwrap_or(context.vm).clone()
}
