//! The calls that claims cost, counted by the stand-in store.

use std::time::Duration;

use laburnum_core::claims::Limits;

use crate::{
    store::Calls,
    world::{Plan, World},
};

const VMS: usize = 19;
const WARM_UP: u64 = 2;
const MEASURED: u64 = 8;
const DEADLINE: Duration = Duration::from_secs(1);

/// What a run of a rate cost.
#[derive(Debug)]
struct Cost {
    granted: usize,
    writes: u64,
    reads: u64,
    bytes: u64,
    median: u64,
    slow: u64,
}

/// Runs `rate` operations a second through all VMs; each ends with an outcome.
fn measure(rate: u64, limits: Limits) -> Cost {
    let mut world = World::new(VMS, limits, rate);
    offer(&mut world, rate, WARM_UP);
    world.store.calls = Calls::default();
    world.latencies.clear();
    offer(&mut world, rate, MEASURED);
    world.latencies.sort_unstable();
    let at = |percent: usize| world.latencies[(world.latencies.len() - 1) * percent / 100];
    let calls = world.store.calls;
    Cost {
        granted: world.latencies.len(),
        writes: calls.writes / MEASURED,
        reads: calls.reads / MEASURED,
        bytes: calls.bytes / MEASURED,
        median: at(50),
        slow: at(99),
    }
}

fn offer(world: &mut World, rate: u64, seconds: u64) {
    let gap = 1_000_000 / rate;
    for _ in 0..rate * seconds {
        let vm = world.random.below(VMS as u64) as usize;
        let key = world.key();
        let plan = Plan::Run { before: 200, run: 20_000 };
        world.operate(vm, key, DEADLINE, plan);
        world.run(Duration::from_micros(gap));
    }
}

fn report(rate: u64, limits: Limits) -> Cost {
    let cost = measure(rate, limits);
    println!(
        "offered {rate}/s: granted {}/s, writes {}/s, reads {}/s, {} bytes/s written, \
         claim p50 {} us, p99 {} us",
        cost.granted as u64 / MEASURED,
        cost.writes,
        cost.reads,
        cost.bytes,
        cost.median,
        cost.slow,
    );
    assert!(cost.granted as u64 >= rate * MEASURED * 99 / 100, "{cost:?}");
    assert!(cost.writes <= 300, "{cost:?}");
    assert!(cost.reads <= 2000, "{cost:?}");
    cost
}

cases! {
    a_hundred_operations_a_second_wait_for_one_write => {
        let cost = report(100, Limits::default());
        assert!(cost.median < 15_000, "{cost:?}");
    };
    a_thousand_operations_a_second_stay_within_the_calls => {
        report(1000, Limits::default());
    };
    removals_fit_beside_five_thousand_operations_a_second => {
        let window = Duration::from_secs(1);
        let sweep_interval = Duration::from_secs(1);
        report(5000, Limits { window, sweep_interval, ..Limits::default() });
    };
    five_thousand_operations_a_second_stay_within_the_calls => {
        let cost = report(5000, Limits::default());
        assert!(cost.slow < 150_000, "{cost:?}");
    };
}
