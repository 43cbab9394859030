//! Decides what a new era of the store ends.
//!
//! A store that comes back from an older copy has lost changes that it acknowledged,
//! and gives their versions out again. Nothing that was read or written in an ended era
//! is therefore taken for a fact about the store: cached values are read again, claims
//! that wait for the floor are settled once more, and the sweep starts over. See
//! `docs/design/claims.md`.

use crate::store::{Era, Reply};

use super::{
    Context, Message, Outbox, intake, memory,
    table::{Cache, Call, Grant, Purpose, Tables},
    tenure,
    value::{Floor, Loss},
};

/// Takes note of the era that an answer stated. A new one ends the earlier one here,
/// and is announced to the other VMs: a home without calls learns of it in no other way.
pub fn observe(tables: &mut Tables, context: &Context<'_>, era: Era, out: &mut Outbox) {
    let known = tables.history.era.unwrap_or(era);
    if era == known {
        tables.history.era = Some(era);
        tables.history.answered_at = Some(context.now);
        memory::expire(tables, context);
    }
    if era > known {
        let others = context.vms.keys().filter(|vm| *vm != context.vm);
        out.messages.extend(others.map(|vm| (vm.clone(), Message::Era(era))));
        end_era(tables, context, era);
    }
}

/// Takes note of the era that another VM announced. It is not announced further.
pub fn hear(tables: &mut Tables, context: &Context<'_>, era: Era) {
    if tables.history.era.is_some_and(|known| known < era) {
        end_era(tables, context, era);
    }
}

fn end_era(tables: &mut Tables, context: &Context<'_>, era: Era) {
    tenure::end_era(tables, context);
    tables.history.era = Some(era);
    tables.history.ended_below = Some(present_slot(context));
    for row in tables.buckets.values_mut() {
        row.cache = Cache::Stale;
    }
    for grant in std::mem::take(&mut tables.grants) {
        settle(tables, context, grant);
    }
    memory::schedule_restore(tables, context);
    tables.sweep.stored = None;
    tables.sweep.entries.clear();
    tables.sweep.next_check = context.now;
}

/// Returns the slot above those of all keys that were issued up to now, by any clock that
/// is no further ahead than the skew.
fn present_slot(context: &Context<'_>) -> u64 {
    let skew = u64::try_from(context.limits.skew.as_millis()).unwrap_or(u64::MAX);
    context.limits.layout.slot_at(context.wall.0.saturating_add(skew)) + 1
}

/// Returns what the store may have lost when the present era began. The VM that first
/// reads a floor of an earlier era decides this, and records it in the floor for those
/// that start later. Returns none if the store states no era.
pub fn loss(tables: &Tables, context: &Context<'_>, floor: Floor) -> Option<Loss> {
    let era = tables.history.era?;
    let ended_below = tables.history.ended_below;
    let below = match floor.loss {
        Some(loss) if loss.era >= era => return Some(loss),
        Some(_) => ended_below.unwrap_or_else(|| present_slot(context)),
        None => ended_below.unwrap_or(0),
    };
    Some(Loss { era, below })
}

/// Queues a claim again that was stored in an era which has ended, because the store may
/// have lost it before its grant.
pub fn settle(tables: &mut Tables, context: &Context<'_>, grant: Grant) {
    intake::bucket_row(tables, context, grant.bucket).claims.push(grant.pending);
}

/// Returns the reply to `call` as it counts in the era that is known now.
///
/// A reply of an ended era says nothing about the store as it is. A write or removal
/// that was made in an ended era and answered in a later one compared versions of two
/// histories, so only a read shows what the store holds. Both count as lost.
pub fn check(tables: &Tables, call: &Call, era: Option<Era>, reply: Reply) -> Reply {
    let is_ended = era.is_some_and(|era| Some(era) < tables.history.era);
    let is_read = matches!(call.purpose, Purpose::Read { .. } | Purpose::Confirm { .. });
    let is_crossing = !is_read && call.era.is_some() && era.is_some() && call.era != era;
    if is_ended || is_crossing {
        return Reply::Lost { detail: "the era of the store ended during the call".to_owned() };
    }
    reply
}
