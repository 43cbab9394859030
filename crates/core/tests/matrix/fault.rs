//! The faults: how each is put into the world.

use std::time::Duration;

use crate::world::{ANY_COVERAGE, World, name, platform::Mode};

const MS: Duration = Duration::from_millis(1);

/// The number of shards.
pub const SHARDS: u64 = 3;

/// The number of replicas of each shard.
pub const REPLICAS: u64 = 3;

/// The text that crashes the targets of one shard.
pub const POISON: &str = "poison";

/// A pause that is longer than any time limit.
const LONG_PAUSE: Duration = Duration::from_secs(12);

/// A fault, in the words of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One replica of each shard is slower than the deadline.
    Straggler,
    /// One replica of each shard ends.
    ReplicaLost,
    /// Two shards change their ranges.
    Repartition,
    /// The platform's service does not answer.
    StoreDown,
    /// The platform's service takes long.
    StoreSlow,
    /// Writes take effect and their answers are lost.
    AnswerLost,
    /// The VM that acts is stopped for longer than any lease.
    LeaseLapsed,
    /// Two operators publish through two VMs.
    OperatorsRacing,
    /// A request crashes its targets and is sent again.
    Poison,
    /// The connections of one replica of each shard go silent.
    SilentConnection,
    /// A VM ends.
    VmKilled,
    /// A VM is stopped for a while.
    VmPaused,
    /// A VM ends and another takes its name.
    VmReplaced,
    /// One replica of each shard drains.
    TargetDraining,
    /// One replica of each shard sheds all work.
    TargetShedding,
    /// One replica of each shard starts anew, cold.
    ColdStart,
    /// Two VMs do not reach each other.
    CutBothWays,
    /// One VM does not reach another one, which reaches it.
    CutOneWay,
}

/// The VMs that a fault concerns.
#[derive(Clone, Debug)]
pub struct Parties {
    /// The VM that acts: it took the request or joins or leaves.
    pub actor: String,
    /// The VM that a fault of VMs strikes.
    pub struck: String,
    /// A VM at the other end of a cut.
    pub other: String,
}

/// Puts a fault into the world.
pub fn inject(world: &mut World, fault: Fault, parties: &Parties) {
    match fault {
        Fault::StoreDown => world.platform().mode = Mode::Down,
        Fault::StoreSlow => world.platform().delay = 400 * MS,
        Fault::AnswerLost => world.platform().mode = Mode::Deaf,
        Fault::OperatorsRacing => {
            world.publish_profiles(&parties.other, None);
            world.publish_profiles(&parties.actor, None);
        }
        Fault::Poison => {
            world.search(&parties.other, ANY_COVERAGE, POISON);
        }
        Fault::LeaseLapsed => world.pause_vm(&parties.actor, LONG_PAUSE),
        Fault::VmKilled => {
            world.kill_vm(&parties.struck);
            world.report_lost_lane(&name(&parties.struck));
        }
        Fault::VmPaused => world.pause_vm(&parties.struck, 1500 * MS),
        Fault::VmReplaced => world.replace_vm(&parties.struck),
        Fault::CutBothWays => {
            let (actor, other) = (name(&parties.actor), name(&parties.other));
            world.network.cut(&actor, &other);
            world.network.cut(&other, &actor);
        }
        Fault::CutOneWay => {
            world.network.cut(&name(&parties.other), &name(&parties.actor));
        }
        Fault::Repartition => world.swap_shards(0, 1),
        fault => (0..SHARDS).for_each(|shard| strike(world, fault, shard)),
    }
}

/// Puts a fault of targets into the first replica of a shard that is at work,
/// or the first of all.
fn strike(world: &mut World, fault: Fault, shard: u64) {
    let is_busy =
        |world: &mut World, replica| !world.targets.get(shard, replica).running.is_empty();
    let replica = (0..REPLICAS).find(|&replica| is_busy(world, replica)).unwrap_or(0);
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
