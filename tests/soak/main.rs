//! A randomized fault soak: relays as processes of their own against stand-ins,
//! with faults from outside that are drawn from a seed. See `docs/SOAK.md`.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
#[path = "../process/child.rs"]
mod child;
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

cases! {
    seed_1 => play::seed(1);
    seed_2 => play::seed(2);
    // VMs refused each other's requests where their stores had two addresses.
    seed_101 => play::seed(101);
    // A target of the soak did not come back after the poison.
    seed_115 => play::seed(115);
    // A VM that had stood still told targets the time of requests that had waited.
    seed_123 => play::seed(123);
    fresh_seeds => play::fresh();
}
