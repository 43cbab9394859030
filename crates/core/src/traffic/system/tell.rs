//! Tells entries what the shards of this home hold.

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

/// Time after which all holdings are told again, for entries that missed them.
pub const INTERVAL: Duration = Duration::from_secs(2);

/// Tells the holdings that have changed.
pub fn run(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    let mut changed = Vec::new();
    for key in std::mem::take(&mut tables.to_tell) {
        let Some(ranges) = holds(tables, &key) else { continue };
        let Some(shard) = tables.shards.get_mut(&key) else { continue };
        if shard.told == ranges {
            continue;
        }
        shard.told = ranges.clone();
        changed.push(Holding { index: key.index, shard: key.shard, ranges });
    }
    if !changed.is_empty() {
        spread(tables, cx, changed, out);
    }
}

/// Forgets what was told, so that all is told again, and sets the next time.
pub fn again(tables: &mut Tables, cx: &Context) {
    for (key, shard) in &mut tables.shards {
        if shard.home {
            shard.told.clear();
            tables.to_tell.insert(key.clone());
        }
    }
    tables.timers.set(cx.now + INTERVAL, Timer::Tell);
}

/// Tells one lane all that the shards of this home hold.
pub fn all(tables: &Tables, lane: &Lane, out: &mut Outbox) {
    let holdings: Vec<Holding> = tables
        .shards
        .keys()
        .filter_map(|key| {
            let ranges = holds(tables, key)?;
            Some(Holding { index: key.index.clone(), shard: key.shard.clone(), ranges })
        })
        .collect();
    if !holdings.is_empty() {
        out.send(lane.clone(), Message::Holdings(holdings));
    }
}

/// What the targets of a shard hold, or none if this VM is not its home or no
/// target has said anything yet.
fn holds(tables: &Tables, key: &shard::Key) -> Option<Vec<HeldRange>> {
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

fn spread(tables: &mut Tables, cx: &mut Context, changed: Vec<Holding>, out: &mut Outbox) {
    let lanes: Vec<Lane> = cx.view.vms.values().flat_map(lanes_of).collect();
    for lane in lanes {
        if lane != cx.lane {
            out.send(lane, Message::Holdings(changed.clone()));
        }
    }
    for holding in changed {
        receive::hold(tables, cx, holding);
    }
}
