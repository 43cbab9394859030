//! Notes when a VM that started knows enough to take requests.

use std::time::Duration;

use crate::{
    traffic::{Context, Tables, system::tell, table::timer::Timer},
    view::Target,
};

/// Time after which the word of a home is no longer waited for: a home that
/// lives tells all that it holds within this time.
const LIMIT: Duration = tell::INTERVAL.saturating_add(Duration::from_secs(1));

/// Looks whether the home of every listed shard has said what it holds. Before
/// that, the answers of this VM would lack shards that other VMs can read.
pub fn run(tables: &mut Tables, cx: &Context) {
    if tables.informed || !cx.view.ready {
        return;
    }
    let due = *tables.inform_by.get_or_insert_with(|| {
        let due = cx.now + LIMIT;
        tables.timers.set(due, Timer::Inform);
        due
    });
    let is_known = |target: &Target| {
        let index = tables.indexes.get(&target.index);
        index.is_some_and(|index| index.shards.contains_key(&target.shard))
    };
    tables.informed = cx.now >= due || cx.view.targets.values().all(is_known);
}
