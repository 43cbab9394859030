//! Decides when a VM that has started knows enough to take requests.

use std::time::Duration;

use crate::{
    traffic::{Context, Tables, system::advertise, table::timer::Timer},
    view::Target,
};

/// The time after which missing advertisements are no longer awaited. A home
/// that is alive advertises all that it holds within this time.
const HOLDINGS_TIMEOUT: Duration = advertise::INTERVAL.saturating_add(Duration::from_secs(1));

/// Checks whether the homes of all listed shards have advertised what they
/// hold. Before that, the answers of this VM would lack shards that other VMs
/// can read.
pub fn run(tables: &mut Tables, cx: &Context) {
    if tables.has_holdings || !cx.view.ready {
        return;
    }
    let due = *tables.holdings_deadline.get_or_insert_with(|| {
        let due = cx.now + HOLDINGS_TIMEOUT;
        tables.timers.set(due, Timer::Holdings);
        due
    });
    let is_known = |target: &Target| {
        let index = tables.indexes.get(&target.index);
        index.is_some_and(|index| index.shards.contains_key(&target.shard))
    };
    tables.has_holdings = cx.now >= due || cx.view.targets.values().all(is_known);
}
