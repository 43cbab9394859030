//! The loads and faults under which a deployment is measured.

use std::time::Duration;

/// The fault that occurs during a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The rate is [`BURST_FACTOR`] times higher for a fifth of the run.
    Burst,
    /// One target in [`TARGETS_PER_STRAGGLER`] is [`STRAGGLER_FACTOR`] times slower.
    Straggler,
    /// One target of each index crashes for the rest of the run.
    ReplicaLost,
    /// One target of each index always reports that it is idle.
    FalseLoad,
    /// Two VMs leave, one after the other, and new ones take their places.
    VmsReplaced,
}

/// A combination of load and fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scene {
    /// The name on the command line.
    pub name: &'static str,
    /// The fraction of the slots that the queries need.
    pub load: f64,
    pub fault: Fault,
}

/// All scenes.
pub const SCENES: &[Scene] = &[
    Scene { name: "steady-30", load: 0.30, fault: Fault::None },
    Scene { name: "steady-60", load: 0.60, fault: Fault::None },
    Scene { name: "steady-85", load: 0.85, fault: Fault::None },
    Scene { name: "burst", load: 0.60, fault: Fault::Burst },
    Scene { name: "straggler", load: 0.60, fault: Fault::Straggler },
    Scene { name: "straggler-30", load: 0.30, fault: Fault::Straggler },
    Scene { name: "replica-lost", load: 0.30, fault: Fault::ReplicaLost },
    Scene { name: "load-lies", load: 0.60, fault: Fault::FalseLoad },
    Scene { name: "vms-replaced", load: 0.60, fault: Fault::VmsReplaced },
];

/// The factor by which the rate rises in a burst.
pub const BURST_FACTOR: f64 = 3.0;

/// The number of targets among which one is a straggler.
pub const TARGETS_PER_STRAGGLER: usize = 20;

/// How many times longer a straggler takes.
pub const STRAGGLER_FACTOR: f64 = 10.0;

/// The time within which latency must recover after a burst.
pub const RECOVERY_TIME: Duration = Duration::from_secs(2);

impl Scene {
    /// Finds a scene by its name.
    pub fn named(name: &str) -> Option<Scene> {
        SCENES.iter().find(|scene| scene.name == name).copied()
    }

    /// The start and end of the burst in a run of `duration`.
    pub fn burst_window(duration: Duration) -> (Duration, Duration) {
        (duration.mul_f64(0.3), duration.mul_f64(0.5))
    }

    /// The factor of the rate at the time `at` of a run of `duration`.
    pub fn rate_factor(&self, at: Duration, duration: Duration) -> f64 {
        let (start, end) = Scene::burst_window(duration);
        let is_burst = self.fault == Fault::Burst && (start..end).contains(&at);
        if is_burst { BURST_FACTOR } else { 1.0 }
    }

    /// The highest factor of the rate during the run.
    pub fn max_rate_factor(&self) -> f64 {
        if self.fault == Fault::Burst { BURST_FACTOR } else { 1.0 }
    }
}
