//! Bounds on the rate of store calls and on the latency of claims under load. The
//! stand-in store counts the calls.

use std::time::Duration;

use laburnum_core::claims::Limits;

use crate::{
    store::Calls,
    world::{Plan, World},
};

const VMS: usize = 19;
const WARM_UP_SECS: u64 = 2;
const MEASURED_SECS: u64 = 8;
const OPERATION_TIMEOUT: Duration = Duration::from_secs(1);

/// The cost of the claims at one rate of operations; `writes`, `reads` and
/// `bytes` are per second.
#[derive(Debug)]
struct Cost {
    granted: usize,
    writes: u64,
    reads: u64,
    bytes: u64,
    p50_us: u64,
    p99_us: u64,
}

/// Runs `rate` operations a second through all VMs and measures their cost after
/// a warm-up. Every operation ends with an outcome.
fn measure(rate: u64, limits: Limits) -> Cost {
    let mut world = World::new(VMS, limits, rate);
    offer(&mut world, rate, WARM_UP_SECS);
    world.store.calls = Calls::default();
    world.latencies.clear();
    offer(&mut world, rate, MEASURED_SECS);
    world.latencies.sort_unstable();
    let percentile = |percent: usize| world.latencies[(world.latencies.len() - 1) * percent / 100];
    let calls = world.store.calls;
    Cost {
        granted: world.latencies.len(),
        writes: calls.writes / MEASURED_SECS,
        reads: calls.reads / MEASURED_SECS,
        bytes: calls.bytes / MEASURED_SECS,
        p50_us: percentile(50),
        p99_us: percentile(99),
    }
}

/// Submits `rate` operations a second at even intervals.
fn offer(world: &mut World, rate: u64, seconds: u64) {
    let interval_micros = 1_000_000 / rate;
    for _ in 0..rate * seconds {
        let vm = world.random.below(VMS as u64) as usize;
        let key = world.key();
        let plan = Plan::Run { delay: 200, duration: 20_000 };
        world.submit(vm, key, OPERATION_TIMEOUT, plan);
        world.run(Duration::from_micros(interval_micros));
    }
}

/// Prints the cost at a rate and checks the bounds that hold at every rate.
fn check_cost(rate: u64, limits: Limits) -> Cost {
    let cost = measure(rate, limits);
    println!(
        "offered {rate}/s: granted {}/s, writes {}/s, reads {}/s, {} bytes/s written, \
         claim p50 {} us, p99 {} us",
        cost.granted as u64 / MEASURED_SECS,
        cost.writes,
        cost.reads,
        cost.bytes,
        cost.p50_us,
        cost.p99_us,
    );
    assert!(cost.granted as u64 >= rate * MEASURED_SECS * 99 / 100, "{cost:?}");
    assert!(cost.writes <= 300, "{cost:?}");
    assert!(cost.reads <= 2000, "{cost:?}");
    cost
}

cases! {
    a_hundred_operations_a_second_wait_for_one_write => {
        let cost = check_cost(100, Limits::default());
        assert!(cost.p50_us < 15_000, "{cost:?}");
    };
    a_thousand_operations_a_second_stay_within_the_calls => {
        check_cost(1000, Limits::default());
    };
    removals_fit_beside_five_thousand_operations_a_second => {
        let window = Duration::from_secs(1);
        let sweep_interval = Duration::from_secs(1);
        check_cost(5000, Limits { window, sweep_interval, ..Limits::default() });
    };
    five_thousand_operations_a_second_stay_within_the_calls => {
        let cost = check_cost(5000, Limits::default());
        assert!(cost.p99_us < 150_000, "{cost:?}");
    };
}
