//! Advertises to entries what the shards of this home hold.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    message::{HeldRange, Holding, Message},
    traffic::{
        Context, Outbox, Tables,
        system::{connect, receive, refresh::lanes_of},
        table::{shard, timer::Timer},
    },
    view::Lane,
};

/// The interval at which all holdings are advertised again, for entries that
/// missed an advertisement.
pub const INTERVAL: Duration = Duration::from_secs(2);

/// Advertises the holdings that have changed.
pub fn run(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    let mut changed = Vec::new();
    for key in std::mem::take(&mut tables.to_advertise) {
        let Some(ranges) = holdings_of(tables, &key) else { continue };
        let Some(shard) = tables.shards.get_mut(&key) else { continue };
        if shard.advertised == ranges {
            continue;
        }
        shard.advertised = ranges.clone();
        changed.push(Holding { index: key.index, shard: key.shard, ranges });
    }
    if !changed.is_empty() {
        broadcast(tables, cx, changed, out);
    }
}

/// Makes the next run advertise all holdings again, and sets the timer for the
/// next repeat.
pub fn repeat(tables: &mut Tables, cx: &Context) {
    for (key, shard) in &mut tables.shards {
        if shard.home {
            shard.advertised.clear();
            tables.to_advertise.insert(key.clone());
        }
    }
    tables.timers.set(cx.now + INTERVAL, Timer::Advertise);
}

/// Sends one lane all that the shards of this home hold.
pub fn send_all(tables: &Tables, lane: &Lane, out: &mut Outbox) {
    let holdings: Vec<Holding> = tables
        .shards
        .keys()
        .filter_map(|key| {
            let ranges = holdings_of(tables, key)?;
            Some(Holding { index: key.index.clone(), shard: key.shard.clone(), ranges })
        })
        .collect();
    if !holdings.is_empty() {
        out.send(lane.clone(), Message::Holdings(holdings));
    }
}

/// What the targets of a shard hold, or none if this thread is not its first
/// home or nothing is known of its targets yet.
fn holdings_of(tables: &Tables, key: &shard::Key) -> Option<Vec<HeldRange>> {
    let shard = tables.shards.get(key)?;
    if !shard.home {
        return None;
    }
    let mut replicas = BTreeMap::new();
    let mut is_known = false;
    for target in shard.targets.iter().filter_map(|name| tables.targets.get(name)) {
        is_known |= target.status.is_some() || target.failures >= connect::LOST_FAILURES;
        if target.is_draining() || target.failures >= connect::LOST_FAILURES {
            continue;
        }
        for (&version, &range) in target.holdings().into_iter().flatten() {
            *replicas.entry((version, range)).or_insert(0) += 1;
        }
    }
    let ranges = replicas.into_iter().map(|((version, range), replicas)| HeldRange {
        version,
        range,
        replicas,
    });
    is_known.then(|| ranges.collect())
}

fn broadcast(tables: &mut Tables, cx: &mut Context, changed: Vec<Holding>, out: &mut Outbox) {
    let lanes: Vec<Lane> = cx.view.vms.values().flat_map(lanes_of).collect();
    for lane in lanes {
        if lane != cx.lane {
            out.send(lane, Message::Holdings(changed.clone()));
        }
    }
    for holding in changed {
        receive::apply_holding(tables, cx, holding);
    }
}
