//! Soak tests with injected faults. Relays run as separate processes against
//! stand-ins of the store, the targets and the callers; the faults are drawn from a
//! seed. See `docs/SOAK.md`.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
#[path = "../process/child.rs"]
mod child;
#[path = "../process/port.rs"]
mod port;
#[path = "../../platform/tests/standin/entries.rs"]
mod entries;
mod ledger;
mod message;
mod proxy;
mod target;
mod caller;
mod store;
mod relay;
mod fault;
mod plan;
mod deployment;
mod check;
mod runner;

use std::time::Duration;

use crate::{fault::Fault, plan::Step, target::Behaviour};

/// The time at which a case with fixed faults injects the first of them.
const FIRST_FAULT: Duration = Duration::from_millis(500);

/// Returns faults that make most requests fail at the targets of every shard of the
/// first version.
fn failing_targets() -> Vec<Step> {
    let (behaviour, span) = (Behaviour::Fails, Duration::from_secs(5));
    let fault = |target| Fault::Behaviour { target, behaviour, share: 0.8, span };
    (0..6).map(|target| Step { at: FIRST_FAULT, fault: fault(target) }).collect()
}

/// Returns faults that make targets of shards and of operations corrupt their
/// answers, each in a different way.
fn corrupt_answers() -> Vec<Step> {
    let (share, span) = (0.4, Duration::from_secs(5));
    let shards = [(0, Behaviour::Cuts), (2, Behaviour::Crosses), (4, Behaviour::Doubles)];
    let operations = [(10, Behaviour::Cuts), (11, Behaviour::Unframed)];
    let steps = shards.into_iter().chain(operations).map(|(target, behaviour)| {
        let fault = Fault::Behaviour { target, behaviour, share, span };
        Step { at: FIRST_FAULT, fault }
    });
    steps.collect()
}

/// Returns the faults of a store that returns from a copy, with a version that is written
/// long enough after it for the checks of versions to apply.
fn return_from_copy() -> Vec<Step> {
    let (age, away) = (Duration::from_secs(2), Duration::from_millis(300));
    let restore = Fault::Return { open: "hang", age, away };
    vec![
        Step { at: FIRST_FAULT, fault: restore },
        Step { at: 2 * FIRST_FAULT, fault: Fault::Reconfigure },
        Step { at: 20 * FIRST_FAULT, fault: Fault::Reconfigure },
    ]
}

cases! {
    drawn_faults_of_seed_1 => runner::run_seed(1);
    drawn_faults_of_seed_2 => runner::run_seed(2);
    // VMs refused each other's requests when they reached the store at different
    // addresses.
    nothing_fails_without_a_fault => runner::run_steps("calm", &[]);
    // A target of the soak did not restart after the request that crashes targets.
    poison => runner::run_steps("poison", &[Step { at: FIRST_FAULT, fault: Fault::Poison }]);
    // A VM that had been stopped sent waiting requests to targets with a deadline that
    // ignored the time they had waited.
    freeze => runner::run_steps("freeze", &[
        Step {
            at: FIRST_FAULT,
            fault: Fault::Freeze { relay: 2, span: Duration::from_millis(1460) },
        },
    ]);
    a_target_leaves => runner::run_steps("leaves", &[
        Step { at: FIRST_FAULT, fault: Fault::Replace { target: 0 } },
        Step { at: FIRST_FAULT, fault: Fault::Replace { target: 10 } },
    ]);
    answers_are_corrupted => runner::run_steps("corrupted", &corrupt_answers());
    most_targets_fail => runner::run_steps("fail", &failing_targets());
    relays_end_in_turn => runner::run_steps("turn", &[0, 1, 2].map(|relay| {
        Step { at: FIRST_FAULT * (1 + 4 * relay as u32), fault: Fault::Restart { relay } }
    }));
    versions_follow_each_other => runner::run_steps("versions", &[1, 3, 9].map(|n| {
        Step { at: FIRST_FAULT * n, fault: Fault::Reconfigure }
    }));
    // After the return, numbers of changes are lower than those that VMs have read.
    the_store_returns_from_a_copy => runner::run_steps("return", &return_from_copy());
    fresh_seeds => runner::run_fresh_seeds();
}
