//! A randomized fault soak: relays as processes of their own against stand-ins,
//! with faults from outside that are drawn from a seed. See `docs/SOAK.md`.

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
mod bed;
mod check;
mod play;

use std::time::Duration;

use crate::{fault::Fault, plan::Step, target::Manner};

/// When the only fault of a case begins.
const SOON: Duration = Duration::from_millis(500);

/// Most requests fail at the targets of every shard.
fn failing() -> Vec<Step> {
    let (manner, span) = (Manner::Fails, Duration::from_secs(5));
    let fault = |target| Fault::Manner { target, manner, share: 0.8, span };
    (0..6).map(|target| Step { at: SOON, fault: fault(target) }).collect()
}

/// Targets of shards and of operations spoil their answers, each in its way.
fn spoilt() -> Vec<Step> {
    let (share, span) = (0.4, Duration::from_secs(5));
    let ways = [(0, Manner::Cuts), (2, Manner::Crosses), (4, Manner::Doubles)];
    let operations = [(10, Manner::Cuts), (11, Manner::Unframed)];
    let steps = ways.into_iter().chain(operations).map(|(target, manner)| {
        let fault = Fault::Manner { target, manner, share, span };
        Step { at: SOON, fault }
    });
    steps.collect()
}

cases! {
    seed_1 => play::seed(1);
    seed_2 => play::seed(2);
    // VMs refused each other's requests where their stores had two addresses.
    nothing_fails_without_a_fault => play::steps("calm", &[]);
    // A target of the soak did not come back after the poison.
    poison => play::steps("poison", &[Step { at: SOON, fault: Fault::Poison }]);
    // A VM that had stood still told targets the time of requests that had waited.
    freeze => play::steps("freeze", &[
        Step { at: SOON, fault: Fault::Freeze { relay: 2, span: Duration::from_millis(1460) } },
    ]);
    a_target_leaves => play::steps("leaves", &[
        Step { at: SOON, fault: Fault::Replace { target: 0 } },
        Step { at: SOON, fault: Fault::Replace { target: 10 } },
    ]);
    answers_are_spoilt => play::steps("spoilt", &spoilt());
    most_targets_fail => play::steps("fail", &failing());
    relays_end_in_turn => play::steps("turn", &[0, 1, 2].map(|relay| {
        Step { at: SOON * (1 + 4 * relay as u32), fault: Fault::Restart { relay } }
    }));
    versions_follow_each_other => play::steps("versions", &[1, 3, 9].map(|n| {
        Step { at: SOON * n, fault: Fault::Change }
    }));
    fresh_seeds => play::fresh();
}
