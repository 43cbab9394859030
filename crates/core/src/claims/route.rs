//! Sends the claims and outcomes of this VM to the homes of their buckets.

use std::{collections::BTreeMap, time::Duration};

use crate::{name::Name, rank, time::Instant, view::State};

use super::{
    Message, Outbox, Replies, Scope, intake, layout,
    message::{Claim, Record},
    table::Tables,
};

/// The shortest time between two tries of a claim.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// The time between two tries of an outcome.
const REPORT_RETRY: Duration = Duration::from_millis(1500);

/// Runs the system.
pub fn run(tables: &mut Tables, scope: &Scope<'_>, replies: &mut Replies, out: &mut Outbox) {
    for (home, claims) in claims(tables, scope) {
        if home != *scope.vm {
            out.messages.push((home, Message::Claims(claims)));
            continue;
        }
        for claim in claims {
            intake::enqueue_claim(tables, scope, scope.vm, claim, replies, out);
        }
    }
    for (home, records) in records(tables, scope) {
        if home != *scope.vm {
            out.messages.push((home, Message::Records(records)));
            continue;
        }
        for record in records {
            intake::enqueue_record(tables, scope, scope.vm, record, out);
        }
    }
}

fn claims(tables: &mut Tables, scope: &Scope<'_>) -> BTreeMap<Name, Vec<Claim>> {
    let mut out: BTreeMap<Name, Vec<Claim>> = BTreeMap::new();
    let unreachable = &tables.unreachable;
    for row in tables.operations.values_mut().filter(|row| row.next <= scope.now) {
        let Some(bucket) = scope.limits.layout.bucket(&row.request.key) else { continue };
        let remaining = row.deadline.remaining(scope.now);
        let home = home(scope, unreachable, bucket.part, row.home.as_ref());
        row.home = Some(home.clone());
        row.tries += 1;
        let last = row.tries >= scope.limits.tries;
        let wait = (remaining / 3).max(MIN_RETRY);
        row.next = if last { Instant(u64::MAX) } else { scope.now + wait };
        let claim = Claim { request: row.request.clone(), remaining };
        out.entry(home).or_default().push(claim);
    }
    out
}

fn records(tables: &mut Tables, scope: &Scope<'_>) -> BTreeMap<Name, Vec<Record>> {
    let mut out: BTreeMap<Name, Vec<Record>> = BTreeMap::new();
    let unreachable = &tables.unreachable;
    for row in tables.reports.values_mut().filter(|row| row.next <= scope.now) {
        let Some(bucket) = scope.limits.layout.bucket(&row.request.key) else { continue };
        let home = home(scope, unreachable, bucket.part, row.home.as_ref());
        row.home = Some(home.clone());
        row.next = scope.now + REPORT_RETRY;
        let record = Record { request: row.request.clone(), outcome: row.outcome.clone() };
        out.entry(home).or_default().push(record);
    }
    out
}

/// The VM that a bucket's claims go to: the first in rank, and after it did not
/// answer the next. A wrong home costs a race on the compare-and-swap and
/// nothing else.
fn home(
    scope: &Scope<'_>,
    unreachable: &BTreeMap<Name, Instant>,
    part: u16,
    last: Option<&Name>,
) -> Name {
    let vms = scope.vms.values();
    let live = vms.filter(|vm| vm.state == State::Live && !unreachable.contains_key(&vm.name));
    let others = live.map(|vm| &vm.name).filter(|vm| Some(*vm) != last);
    rank::first(layout::part_seed(part), others).unwrap_or(scope.vm).clone()
}
