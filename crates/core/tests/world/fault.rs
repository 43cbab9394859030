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

/// The time within which a VM that starts or resumes learns what the others know.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(1);

impl World {
    /// Starts a VM, or restarts it after it was killed.
    pub fn start_vm(&mut self, vm: &str) {
        let vm = name(vm);
        let start = self.vms.get(&vm).map_or(1, |old| old.start + 1);
        self.starts += 1;
        let origin = Origin(self.starts);
        let control = self.new_control(&vm);
        let skew_millis = self.vms.get(&vm).map_or(0, |old| old.skew_millis);
        self.vms.insert(
            vm.clone(),
            Vm { control, skew_millis, started: self.now, ..Vm::new(vm.clone(), start, origin) },
        );
        self.targets.close_connections_of(&vm);
        self.publish();
    }

    /// Kills a VM without notice. It stays in the views of the other VMs until
    /// [`World::unlist_vm`].
    pub fn kill_vm(&mut self, vm: &str) {
        let vm = name(vm);
        self.vms.get_mut(&vm).unwrap().alive = false;
        self.note_lost_revision();
        self.targets.close_connections_of(&vm);
    }

    /// Kills a VM and starts another one under its name.
    pub fn replace_vm(&mut self, vm: &str) {
        self.kill_vm(vm);
        self.report_lost_lane(&name(vm));
        self.start_vm(vm);
    }

    /// Removes a VM from every view and reports the lost connections to it.
    pub fn unlist_vm(&mut self, vm: &str) {
        let gone = name(vm);
        self.vms.get_mut(&gone).unwrap().listed = None;
        self.publish();
        self.report_lost_lane(&gone);
    }

    /// Reports to every other VM that the connection to `vm` was lost.
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
        self.deliver_to_control(&name(vm), Duration::ZERO, control::Event::Leave);
        self.publish();
    }

    /// Pauses a VM, as `SIGSTOP` would; events that arrive are queued.
    pub fn pause_vm(&mut self, vm: &str, span: Duration) {
        let until = self.now + span;
        let vm = name(vm);
        let row = self.vms.get_mut(&vm).unwrap();
        let more = until.since(row.paused_until.max(self.now));
        row.paused_until = row.paused_until.max(until);
        self.oracle.extend_deadlines(&vm, more);
    }

    /// Returns whether every listed VM has run long enough to learn what the others
    /// know and can reach every other one.
    pub fn is_stable(&self) -> bool {
        let since = |vm: &Vm| self.now.since(vm.started.max(vm.paused_until));
        let runs = |vm: &Vm| vm.listed.is_none() || (vm.alive && since(vm) >= CATCH_UP_LIMIT);
        self.network.is_healthy() && self.vms.values().all(runs)
    }

    /// Crashes the process of a target.
    pub fn crash_target(&mut self, shard: u64, replica: u64) {
        let effect = self.targets.get(shard, replica).crash();
        for (after, vm, event) in effect.reports {
            self.deliver(&vm, after, event);
        }
    }

    /// Restarts the process of a target with a cold cache.
    pub fn restart_target(&mut self, shard: u64, replica: u64) {
        self.crash_target(shard, replica);
        let now = self.now;
        let target = self.targets.get(shard, replica);
        target.restart();
        target.restarted = now;
        target.listed = Some(State::Live);
        target.cold_requests = 2;
        self.publish();
    }

    /// Replaces the versions that the targets hold by `version`.
    pub fn change_version(&mut self, version: Version) {
        for target in self.targets.rows.values_mut() {
            if let Some(range) = target.status.holds.values().next().copied() {
                target.status.holds = [(version, range)].into();
            }
        }
    }

    /// Exchanges the ranges of two shards at every version.
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
