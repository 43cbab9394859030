//! Decides when this VM reads from the platform's service.
//!
//! A few VMs, the watchers, read on behalf of all, so that the number of calls
//! does not grow with the number of VMs. Every other VM reads at its start, and
//! when what it received from other VMs is too old.

use std::time::Duration;

use rand::RngExt;

use super::call;
use crate::{
    control::{
        Limits,
        codec::CURRENT_KEY,
        engine::Context,
        message::Health,
        table::{Tables, age::Age, call::Purpose, reader::Reader},
    },
    name::Name,
    rank,
    store::Call,
    time::Instant,
};

/// The longest delay between two tries of a watcher.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The least time between two reads of a VM that is no watcher, for each VM that
/// there is, so that the total rate stays bounded when all VMs must read for
/// themselves.
const READ_INTERVAL_PER_VM: Duration = Duration::from_millis(20);

/// The additional time that a change takes to reach twice as many VMs if only
/// probes carry it.
const SPREAD_TIME_PER_DOUBLING: Duration = Duration::from_millis(500);

/// Starts the reads that are due.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    if std::mem::take(&mut tables.vms.rerank) {
        rank(tables, cx);
    }
    let stale = stale_age(tables, cx.limits);
    if profiles_due(tables, stale).is_some_and(|at| at <= cx.now) {
        read_profiles(tables, cx);
    }
    if list_due(tables, stale).is_some_and(|at| at <= cx.now) {
        let id = call::make(tables, cx, Purpose::List, Call::List, Duration::ZERO);
        tables.list.call = Some(id);
    }
}

/// The age from which a VM reads for itself. It grows with the number of VMs:
/// what the watchers read takes longer to reach all of them, and must not count
/// as stale before.
pub fn stale_age(tables: &Tables, limits: &Limits) -> Duration {
    limits.stale_after + SPREAD_TIME_PER_DOUBLING * tables.vms.count().ilog2()
}

fn rank(tables: &mut Tables, cx: &Context<'_>) {
    let own = &tables.own.vm.name;
    let others = tables.vms.rows.iter().filter(|(_, row)| row.is_active()).map(|(name, _)| name);
    let all = others.chain((!tables.own.leaving()).then_some(own));
    let order: Vec<&Name> = rank::order(rank::seed(&["watchers"]), all);
    let live = tables.vms.rows.iter().filter(|(_, row)| row.member.health == Health::Live);
    let live = live.map(|(name, _)| name.clone()).collect();
    let watcher = order.iter().take(cx.limits.watchers).any(|&name| name == own);
    tables.vms.live = live;
    if watcher && !tables.vms.watcher {
        tables.profiles.next = cx.now;
        tables.list.next = cx.now;
    }
    tables.vms.watcher = watcher;
}

fn read_profiles(tables: &mut Tables, cx: &mut Context<'_>) {
    // A position of an ended era says nothing about the changes of the present one.
    let era = tables.calls.epoch.era();
    let position = tables.profiles.position.filter(|after| Some(after.era) == era);
    let may_watch = tables.vms.watcher && tables.own.learnt && !tables.in_force.is_ahead();
    let watch = position.filter(|_| may_watch);
    let (call, wait) = match watch {
        Some(after) => {
            let wait = cx.limits.watch_timeout;
            (Call::Watch { prefix: CURRENT_KEY.to_owned(), after, wait }, wait)
        }
        None => (Call::Get { key: CURRENT_KEY.to_owned() }, Duration::ZERO),
    };
    tables.profiles.call = Some(call::make(tables, cx, Purpose::Profiles, call, wait));
}

/// When the profiles are next read from the service; `None` while a read is
/// under way.
pub fn profiles_due(tables: &Tables, stale: Duration) -> Option<Instant> {
    let always = tables.vms.watcher || !tables.own.learnt;
    due(&tables.profiles, always, tables.in_force.confirmed, stale)
}

/// When the list is next read from the service; `None` while a read is under
/// way.
pub fn list_due(tables: &Tables, stale: Duration) -> Option<Instant> {
    due(&tables.list, tables.vms.watcher, tables.targets.list_age, stale)
}

fn due(reader: &Reader, always: bool, age: Option<Age>, stale: Duration) -> Option<Instant> {
    match (reader.call, age) {
        (Some(_), _) => None,
        (None, Some(age)) if !always => Some(age.reaches(stale).max(reader.next)),
        _ => Some(reader.next),
    }
}

/// The delay after a successful read of the profiles. A watcher goes on at once, unless it
/// waits until the service holds the document in force again.
pub fn profiles_delay(tables: &Tables, limits: &Limits) -> Duration {
    let watcher = if tables.in_force.is_ahead() { limits.retry_delay } else { Duration::ZERO };
    read_delay(tables, watcher, limits.stale_after)
}

/// The delay after a successful read: `watcher` for a watcher, at least `stale`
/// for any other VM.
pub fn read_delay(tables: &Tables, watcher: Duration, stale: Duration) -> Duration {
    if tables.vms.watcher { watcher } else { stale.max(read_interval(tables)) }
}

/// The delay after a failed read. It grows with each failure and has a random
/// part, so that not all VMs retry at the same time.
pub fn back_off(tables: &mut Tables, cx: &Context<'_>, failures: u32) -> Duration {
    let delay = (cx.limits.retry_delay * 2u32.pow(failures.min(6))).min(MAX_RETRY_DELAY);
    let delay = if tables.vms.watcher { delay } else { delay.max(read_interval(tables)) };
    delay / 2 + delay.mul_f64(tables.rng.random_range(0.0..0.5))
}

fn read_interval(tables: &Tables) -> Duration {
    READ_INTERVAL_PER_VM * u32::try_from(tables.vms.count()).unwrap_or(u32::MAX)
}
