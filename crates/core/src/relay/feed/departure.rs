//! Targets that left or started anew, and that a store which comes back from an older copy
//! lists again as they were.
//!
//! The store removes the entry of a target that left once more when it has been silent for some
//! of its intervals, and one that started anew writes its entry again. Until then the entry is
//! held back. What it says is used after all when that time is over. See
//! `docs/design/platform.md`.

use std::{sync::Arc, time::Duration};

use super::{context::Context, table::Tables};
use crate::{name::Name, relay::view::Target, time::Instant};

/// How long it is remembered that a target left. It exceeds the age of a copy.
const MEMORY: Duration = Duration::from_secs(60);

/// How long after the begin of an era the entry of a target that left is held back. It
/// exceeds the time after which the store removes the entry of a silent target.
const HOLD: Duration = Duration::from_secs(5);

/// A target that left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// The start of the target that left; a later start may be used.
    born: u64,
    at: Instant,
}

/// Records that a target left.
pub fn record(tables: &mut Tables, id: &Name, target: &Target, cx: &Context<'_>) {
    tables.departed.retain(|_, departure| cx.now.since(departure.at) < MEMORY);
    tables.departed.insert(id.clone(), Departure { born: target.born, at: cx.now });
}

/// Holds entries of targets that left back from now on, as a new era has begun.
pub fn begin_era(tables: &mut Tables, cx: &Context<'_>) {
    tables.held_until = cx.now + HOLD;
}

/// Holds an entry that a scan has found back if its target left before the era began, or if a
/// later start of it is in use. Returns whether it does.
pub fn hold_back(tables: &mut Tables, id: &Name, target: &Target, cx: &Context<'_>) -> bool {
    let departed = tables.departed.get(id).is_some_and(|departure| departure.born == target.born);
    let replaced = tables.view.targets.get(id).is_some_and(|known| known.born > target.born);
    let is_held = (departed || replaced) && cx.now < tables.held_until;
    if is_held {
        tables.held_back.insert(id.clone(), Arc::new(target.clone()));
    }
    is_held
}

/// Records that an entry was written anew or removed in this era.
pub fn forget(tables: &mut Tables, id: &Name) {
    tables.departed.remove(id);
    tables.held_back.remove(id);
}

/// Returns the targets whose entries the store still has when the time is over.
pub fn take_due(tables: &mut Tables, cx: &Context<'_>) -> Vec<(Name, Arc<Target>)> {
    if cx.now < tables.held_until {
        return Vec::new();
    }
    std::mem::take(&mut tables.held_back).into_iter().collect()
}

/// Returns when entries that are held back are used.
pub fn due(tables: &Tables) -> Option<Instant> {
    (!tables.held_back.is_empty()).then_some(tables.held_until)
}
