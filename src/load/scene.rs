//! The loads and faults under which a deployment is measured.

use std::time::Duration;

/// What happens during a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The rate is three times higher for a time.
    Burst,
    /// One target in 20 takes ten times longer.
    Straggler,
    /// One target of each index is lost.
    Lost,
    /// One target of each index reports that it is idle.
    Liar,
    /// Two VMs leave and new ones take their places.
    Replaced,
}

/// A load and a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scene {
    /// The name on the command line.
    pub name: &'static str,
    /// The part of the slots that the queries need.
    pub load: f64,
    /// What happens.
    pub fault: Fault,
}

/// Every scene.
pub const SCENES: &[Scene] = &[
    Scene { name: "steady-30", load: 0.30, fault: Fault::None },
    Scene { name: "steady-60", load: 0.60, fault: Fault::None },
    Scene { name: "steady-85", load: 0.85, fault: Fault::None },
    Scene { name: "burst", load: 0.60, fault: Fault::Burst },
    Scene { name: "straggler", load: 0.60, fault: Fault::Straggler },
    Scene { name: "straggler-30", load: 0.30, fault: Fault::Straggler },
    Scene { name: "replica-lost", load: 0.30, fault: Fault::Lost },
    Scene { name: "load-lies", load: 0.60, fault: Fault::Liar },
    Scene { name: "vms-replaced", load: 0.60, fault: Fault::Replaced },
];

/// The factor of the rate in a burst.
pub const BURST_FACTOR: f64 = 3.0;

/// The targets of which one is slow.
pub const STRAGGLER_IN: usize = 20;

/// How many times longer the slow one takes.
pub const STRAGGLER_FACTOR: f64 = 10.0;

/// The time within which latency must be back after a burst.
pub const RECOVERY: Duration = Duration::from_secs(2);

impl Scene {
    /// The scene with this name.
    pub fn named(name: &str) -> Option<Scene> {
        SCENES.iter().find(|scene| scene.name == name).copied()
    }

    /// When a burst starts and ends in a run of `length`.
    pub fn burst(length: Duration) -> (Duration, Duration) {
        (length.mul_f64(0.3), length.mul_f64(0.5))
    }

    /// The factor of the rate at a time of the run.
    pub fn factor(&self, at: Duration, length: Duration) -> f64 {
        let (start, end) = Scene::burst(length);
        let is_burst = self.fault == Fault::Burst && (start..end).contains(&at);
        if is_burst { BURST_FACTOR } else { 1.0 }
    }

    /// The highest factor of the rate.
    pub fn highest_factor(&self) -> f64 {
        if self.fault == Fault::Burst { BURST_FACTOR } else { 1.0 }
    }
}
