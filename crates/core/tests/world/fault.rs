//! Faults of VMs and targets.

use std::time::Duration;

use laburnum_core::{
    control,
    id::Origin,
    name::Name,
    target::Version,
    traffic::Event,
    view::{Lane, State},
};

use super::{World, name, vm::Vm};

/// The time within which a VM that starts or goes on learns what others know.
const NEW: Duration = Duration::from_secs(1);

impl World {
    /// Starts a VM, or starts it again after it was killed.
    pub fn start_vm(&mut self, vm: &str) {
        let vm = name(vm);
        let start = self.vms.get(&vm).map_or(1, |old| old.start + 1);
        self.starts += 1;
        let origin = Origin(self.starts);
        let control = self.new_control(&vm);
        let skew = self.vms.get(&vm).map_or(0, |old| old.skew);
        self.vms.insert(
            vm.clone(),
            Vm { control, skew, started: self.now, ..Vm::new(vm.clone(), start, origin) },
        );
        self.targets.forget(&vm);
        self.publish();
    }

    /// Ends a VM without a word; the other VMs' views keep it until
    /// [`World::unlist_vm`].
    pub fn kill_vm(&mut self, vm: &str) {
        let vm = name(vm);
        self.vms.get_mut(&vm).unwrap().alive = false;
        self.targets.forget(&vm);
    }

    /// Ends a VM and starts another one under its name.
    pub fn replace_vm(&mut self, vm: &str) {
        self.kill_vm(vm);
        self.report_lost_lane(&name(vm));
        self.start_vm(vm);
    }

    /// Takes a VM out of every view and reports the lost connections.
    pub fn unlist_vm(&mut self, vm: &str) {
        let gone = name(vm);
        self.vms.get_mut(&gone).unwrap().listed = None;
        self.publish();
        self.report_lost_lane(&gone);
    }

    /// Tells every VM that messages to `vm` are lost.
    pub fn report_lost_lane(&mut self, vm: &Name) {
        let lane = Lane { vm: vm.clone(), thread: 0 };
        let others: Vec<Name> = self.vms.keys().filter(|other| *other != vm).cloned().collect();
        for other in others {
            self.deliver(&other, Duration::ZERO, Event::Lost { lane: lane.clone() });
        }
    }

    /// Marks a VM as leaving in every view.
    pub fn leave_vm(&mut self, vm: &str) {
        self.vms.get_mut(&name(vm)).unwrap().listed = Some(State::Leaving);
        self.inform(&name(vm), Duration::ZERO, control::Event::Leave);
        self.publish();
    }

    /// Stops a VM for a time, as a signal would; what arrives waits.
    pub fn pause_vm(&mut self, vm: &str, span: Duration) {
        let until = self.now + span;
        let vm = name(vm);
        let row = self.vms.get_mut(&vm).unwrap();
        let more = until.since(row.paused_until.max(self.now));
        row.paused_until = row.paused_until.max(until);
        self.oracle.excuse(&vm, more);
    }

    /// Whether every VM that is listed has run for a while and reaches every
    /// other one.
    pub fn is_calm(&self) -> bool {
        let since = |vm: &Vm| self.now.since(vm.started.max(vm.paused_until));
        let runs = |vm: &Vm| vm.listed.is_none() || (vm.alive && since(vm) >= NEW);
        self.network.is_whole() && self.vms.values().all(runs)
    }

    /// Ends the process of a target.
    pub fn crash_target(&mut self, shard: u64, replica: u64) {
        let effect = self.targets.get(shard, replica).crash();
        for (after, vm, event) in effect.others {
            self.deliver(&vm, after, event);
        }
    }

    /// Starts the process of a target again, cold.
    pub fn restart_target(&mut self, shard: u64, replica: u64) {
        self.crash_target(shard, replica);
        let now = self.now;
        let target = self.targets.get(shard, replica);
        target.restart();
        target.restarted = now;
        target.listed = Some(State::Live);
        target.cold = 2;
        self.publish();
    }

    /// Makes every target hold `version` instead of what it held.
    pub fn change_version(&mut self, version: Version) {
        for target in self.targets.rows.values_mut() {
            if let Some(range) = target.status.holds.values().next().copied() {
                target.status.holds = [(version, range)].into();
            }
        }
    }

    /// Lets two shards change their ranges at every version.
    pub fn swap_shards(&mut self, one: u64, two: u64) {
        let replicas = self.targets.rows.values().filter(|row| row.shard == one).count() as u64;
        for replica in 0..replicas {
            let first = self.targets.get(one, replica).status.holds.clone();
            let second = &mut self.targets.get(two, replica).status.holds;
            let second = std::mem::replace(second, first);
            self.targets.get(one, replica).status.holds = second;
        }
    }
}
