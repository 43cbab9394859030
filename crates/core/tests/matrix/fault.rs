//! The faults and how they are injected into the simulated world.

use std::time::Duration;

use crate::world::{
    ANY_COVERAGE, World, name,
    platform::{Drill, Mode, Open},
};

const MS: Duration = Duration::from_millis(1);

pub const SHARD_COUNT: u64 = 3;

/// The number of replicas of each shard.
pub const REPLICA_COUNT: u64 = 3;

/// The text of the search that crashes the targets of one shard.
pub const POISON: &str = "poison";

/// The length of a pause that exceeds all time limits.
const LONG_PAUSE: Duration = Duration::from_secs(12);

/// The age of the copy from which the platform's service comes back.
const COPY_AGE: Duration = Duration::from_secs(1);

/// A fault, a row of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One replica of each shard takes longer than the deadline.
    Straggler,
    /// One replica of each shard crashes.
    ReplicaLost,
    /// Two shards exchange their ranges.
    Repartition,
    /// The platform's service does not answer.
    StoreDown,
    /// The platform's service answers slowly.
    StoreSlow,
    /// Writes to the platform's service take effect, but their replies are lost.
    AnswerLost,
    /// The acting VM is paused for longer than any lease.
    LeaseLapsed,
    /// The platform's service goes away, and comes back from a copy of before the process.
    StoreRestored,
    /// Two operators publish through two VMs at the same time.
    OperatorsRacing,
    /// A search crashes its targets and is sent again.
    Poison,
    /// One replica of each shard stops responding on its connections.
    SilentConnection,
    /// A VM is killed.
    VmKilled,
    /// A VM is paused.
    VmPaused,
    /// A VM is killed and another one starts under its name.
    VmReplaced,
    /// One replica of each shard drains.
    TargetDraining,
    /// One replica of each shard sheds all work.
    TargetShedding,
    /// One replica of each shard restarts with a cold cache.
    ColdStart,
    /// Two VMs cannot reach each other.
    CutBothWays,
    /// One VM cannot reach another one, which still reaches it.
    CutOneWay,
}

/// The VMs that take part in a cell.
#[derive(Clone, Debug)]
pub struct Roles {
    /// The VM that received the request, or that joins or leaves.
    pub actor: String,
    /// The VM that a fault of a VM affects.
    pub faulty: String,
    /// The VM at the other end of a cut.
    pub other: String,
}

/// Injects a fault into the world.
pub fn inject(world: &mut World, fault: Fault, roles: &Roles) {
    match fault {
        Fault::StoreDown => world.platform().mode = Mode::Down,
        Fault::StoreSlow => world.platform().delay = 400 * MS,
        Fault::AnswerLost => world.platform().mode = Mode::ReplyLost,
        Fault::StoreRestored => {
            let (away, age, rewrite) = (500 * MS, COPY_AGE, 2000 * MS);
            world.drill(Drill { open: Open::Ends, away, age, rewrite });
            assert!(world.platform().is_away, "the copy has no floor of the claims");
        }
        Fault::OperatorsRacing => {
            world.publish_profiles(&roles.other, None);
            world.publish_profiles(&roles.actor, None);
        }
        Fault::Poison => {
            world.search(&roles.other, ANY_COVERAGE, POISON);
        }
        Fault::LeaseLapsed => world.pause_vm(&roles.actor, LONG_PAUSE),
        Fault::VmKilled => {
            world.kill_vm(&roles.faulty);
            world.report_lost_lane(&name(&roles.faulty));
        }
        Fault::VmPaused => world.pause_vm(&roles.faulty, 1500 * MS),
        Fault::VmReplaced => world.replace_vm(&roles.faulty),
        Fault::CutBothWays => {
            let (actor, other) = (name(&roles.actor), name(&roles.other));
            world.network.cut(&actor, &other);
            world.network.cut(&other, &actor);
        }
        Fault::CutOneWay => {
            world.network.cut(&name(&roles.other), &name(&roles.actor));
        }
        Fault::Repartition => world.swap_shards(0, 1),
        fault => (0..SHARD_COUNT).for_each(|shard| inject_into_shard(world, fault, shard)),
    }
}

/// Injects a fault of a target into the first replica of a shard that runs an attempt,
/// or into the first replica if none does.
fn inject_into_shard(world: &mut World, fault: Fault, shard: u64) {
    let is_busy =
        |world: &mut World, replica| !world.targets.get(shard, replica).running.is_empty();
    let replica = (0..REPLICA_COUNT).find(|&replica| is_busy(world, replica)).unwrap_or(0);
    let target = world.targets.get(shard, replica);
    match fault {
        Fault::Straggler => target.service = 5000 * MS,
        Fault::SilentConnection => target.go_silent(),
        Fault::TargetDraining => target.status.draining = true,
        Fault::TargetShedding => target.sheds = true,
        Fault::ReplicaLost => world.crash_target(shard, replica),
        Fault::ColdStart => world.restart_target(shard, replica),
        fault => panic!("{fault:?} is no fault of a target"),
    }
}
