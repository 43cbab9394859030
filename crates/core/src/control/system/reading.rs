//! Decides which VMs read from the platform's service, and when.
//!
//! A few watchers read for all, so that the number of calls does not grow with
//! the number of VMs. Every other VM reads at its start and when what it heard
//! from VMs is too old.

use std::time::Duration;

use rand::RngExt;

use super::call;
use crate::{
    control::{
        Limits,
        codec::CURRENT,
        engine::Step,
        message::Health,
        table::{Tables, age::Age, call::Purpose, source::Reader},
    },
    name::Name,
    rank,
    store::Call,
    time::Instant,
};

/// The longest pause between two tries of a watcher.
const MAX_RETRY: Duration = Duration::from_secs(2);

/// The share of the service's reads that each VM takes when all must read
/// themselves: the pause between two reads for each VM that there is.
const PAUSE_PER_VM: Duration = Duration::from_millis(20);

/// The time that a change takes to reach twice as many VMs by probes alone.
const DOUBLING: Duration = Duration::from_millis(500);

/// Reads what is due.
pub fn run(tables: &mut Tables, step: &mut Step<'_>) {
    if std::mem::take(&mut tables.vms.rerank) {
        rank(tables, step);
    }
    let stale = stale(tables, step.limits);
    if profiles_due(tables, stale).is_some_and(|at| at <= step.now) {
        read_profiles(tables, step);
    }
    if list_due(tables, stale).is_some_and(|at| at <= step.now) {
        let id = call::make(tables, step, Purpose::List, Call::List, Duration::ZERO);
        tables.list.call = Some(id);
    }
}

/// The age from which a VM reads itself: what the watchers read takes longer to
/// come round among more VMs, and must not count as stale before that.
pub fn stale(tables: &Tables, limits: &Limits) -> Duration {
    limits.stale_after + DOUBLING * tables.vms.count().ilog2()
}

fn rank(tables: &mut Tables, step: &Step<'_>) {
    let own = &tables.own.vm.name;
    let others = tables.vms.rows.iter().filter(|(_, row)| row.steady()).map(|(name, _)| name);
    let all = others.chain((!tables.own.leaving()).then_some(own));
    let order: Vec<&Name> = rank::order(rank::seed(&["watchers"]), all);
    let live = tables.vms.rows.iter().filter(|(_, row)| row.member.health == Health::Live);
    let live = live.map(|(name, _)| name.clone()).collect();
    let watcher = order.iter().take(step.limits.watchers).any(|&name| name == own);
    tables.vms.live = live;
    if watcher && !tables.vms.watcher {
        tables.profiles.next = step.now;
        tables.list.next = step.now;
    }
    tables.vms.watcher = watcher;
}

fn read_profiles(tables: &mut Tables, step: &mut Step<'_>) {
    let watch = tables.profiles.change.filter(|_| tables.vms.watcher && tables.own.learnt);
    let (call, wait) = match watch {
        Some(after) => {
            let wait = step.limits.watch_timeout;
            (Call::Watch { prefix: CURRENT.to_owned(), after, wait }, wait)
        }
        None => (Call::Get { key: CURRENT.to_owned() }, Duration::ZERO),
    };
    tables.profiles.call = Some(call::make(tables, step, Purpose::Profiles, call, wait));
}

/// When the profiles are next read from the service.
pub fn profiles_due(tables: &Tables, stale: Duration) -> Option<Instant> {
    let now = tables.vms.watcher || !tables.own.learnt;
    due(&tables.profiles, now, tables.in_force.confirmed, stale)
}

/// When the list is next read from the service.
pub fn list_due(tables: &Tables, stale: Duration) -> Option<Instant> {
    due(&tables.list, tables.vms.watcher, tables.targets.list_age, stale)
}

fn due(reader: &Reader, now: bool, age: Option<Age>, stale: Duration) -> Option<Instant> {
    match (reader.call, age) {
        (Some(_), _) => None,
        (None, Some(age)) if !now => Some(age.reaches(stale).max(reader.next)),
        _ => Some(reader.next),
    }
}

/// The pause after a read that succeeded.
pub fn pause(tables: &Tables, watcher: Duration, stale: Duration) -> Duration {
    if tables.vms.watcher { watcher } else { stale.max(share(tables)) }
}

/// The pause after a read that failed; it grows with each failure and has a
/// random part, so that VMs do not come back all at once.
pub fn back_off(tables: &mut Tables, step: &Step<'_>, failures: u32) -> Duration {
    let most = (step.limits.retry_delay * 2u32.pow(failures.min(6))).min(MAX_RETRY);
    let most = if tables.vms.watcher { most } else { most.max(share(tables)) };
    most / 2 + most.mul_f64(tables.rng.random_range(0.0..0.5))
}

fn share(tables: &Tables) -> Duration {
    PAUSE_PER_VM * u32::try_from(tables.vms.count()).unwrap_or(u32::MAX)
}
