//! Decides what a new era of the store ends.
//!
//! A store that comes back from an older copy has lost changes that it acknowledged,
//! and gives their versions out again. Nothing that was read or written in an ended era
//! is therefore taken for a fact about the store: cached values are read again, claims
//! that wait for the floor are settled once more, and the sweep starts over. A store may
//! count its eras anew, so what belongs to an era is kept with its epoch. See
//! `docs/design/claims.md`.

use std::time::Duration;

use crate::store::{Epoch, Era, Reply, Statement};

use super::{
    Context, Message, Outbox, intake, memory, spread,
    table::{Cache, Call, Grant, Purpose, Tables},
    tenure,
    value::{Floor, Loss},
};

/// The time over which the homes check a lower era that was announced, so that not all of
/// them read at once.
const CHECK_SPREAD: Duration = Duration::from_secs(1);

/// Takes note of the era that the answer to `call` stated, and returns the reply as it
/// counts in the era that is known then.
///
/// A reply to a call of an ended epoch says nothing about the store as it is. A write or
/// removal that was made in an ended era and answered in the next one compared versions of
/// two histories, so only a read shows what the store holds. Both count as lost.
pub fn receive(
    tables: &mut Tables,
    context: &Context<'_>,
    call: &Call,
    era: Option<Era>,
    reply: Reply,
    out: &mut Outbox,
) -> Reply {
    let Some(era) = era else { return reply };
    let before = tables.history.epoch;
    let is_first = before.era().is_none();
    let is_read = matches!(call.purpose, Purpose::Read { .. } | Purpose::Confirm { .. });
    let is_of_epoch = call.epoch == before || call.epoch.era().is_none();
    let counts = match observe(tables, context, call.epoch, era, out) {
        Statement::Current => is_of_epoch,
        Statement::New => is_of_epoch && (is_first || is_read),
        Statement::Late => false,
    };
    if counts {
        return reply;
    }
    Reply::Lost { detail: "the era of the store ended during the call".to_owned() }
}

/// Takes note of the era in the answer to a call that was started in the epoch `started`.
fn observe(
    tables: &mut Tables,
    context: &Context<'_>,
    started: Epoch,
    era: Era,
    out: &mut Outbox,
) -> Statement {
    let before = tables.history.epoch;
    let statement = tables.history.epoch.observe(started, era);
    let is_first = before.era().is_none();
    if statement == Statement::New && !is_first {
        announce(context, era, out);
        end_era(tables, context);
    } else if is_first || started == before {
        tables.history.answered_at = Some(context.now);
        memory::expire(tables, context);
    }
    statement
}

/// Takes note of an era that the store states to another part of this VM, which has
/// decided that it is the present one.
pub fn learn(tables: &mut Tables, context: &Context<'_>, era: Era, out: &mut Outbox) {
    let known = tables.history.epoch.era();
    if known == Some(era) {
        return;
    }
    tables.history.epoch.begin(era);
    if known.is_none() {
        tables.history.answered_at = Some(context.now);
    } else {
        announce(context, era, out);
        end_era(tables, context);
    }
}

/// Tells the other VMs of a new era: a home without calls learns of it in no other way.
fn announce(context: &Context<'_>, era: Era, out: &mut Outbox) {
    let others = context.vms.keys().filter(|vm| *vm != context.vm);
    out.messages.extend(others.map(|vm| (vm.clone(), Message::Era(era))));
}

/// Takes note of the era that another VM announced. It is not announced further. A lower
/// era than the known one may come late or show that the store counts anew, which a home
/// finds out by a read.
pub fn hear(tables: &mut Tables, context: &Context<'_>, era: Era) {
    let Some(known) = tables.history.epoch.era() else { return };
    if known < era {
        tables.history.epoch.begin(era);
        end_era(tables, context);
    } else if era < known && !tables.tenure.since.is_empty() {
        let check = context.now + spread::delay(context.vm.as_str(), CHECK_SPREAD);
        let next = tables.tenure.next_read;
        tables.tenure.next_read = Some(next.map_or(check, |next| next.min(check)));
        tables.sweep.next_check = tables.sweep.next_check.min(check);
    }
}

/// Ends the era that was known before the present epoch.
fn end_era(tables: &mut Tables, context: &Context<'_>) {
    tenure::end_era(tables, context);
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
/// that start later. A recorded loss of another era, also of a later one, is of a history
/// that is over. Returns none if the store states no era.
pub fn loss(tables: &Tables, context: &Context<'_>, floor: Floor) -> Option<Loss> {
    let epoch = tables.history.epoch;
    let era = epoch.era()?;
    let ended_below = tables.history.ended_below;
    let below = match floor.loss {
        None => ended_below.unwrap_or(0),
        Some(loss) if loss.era != era => ended_below.unwrap_or_else(|| present_slot(context)),
        // The loss may have been recorded in an earlier history of the same era.
        Some(loss) if epoch.may_repeat() => loss.below.max(ended_below.unwrap_or(0)),
        Some(loss) => loss.below,
    };
    Some(Loss { era, below })
}

/// Queues a claim again that was stored in an era which has ended, because the store may
/// have lost it before its grant.
pub fn settle(tables: &mut Tables, context: &Context<'_>, grant: Grant) {
    intake::bucket_row(tables, context, grant.bucket).claims.push(grant.pending);
}
