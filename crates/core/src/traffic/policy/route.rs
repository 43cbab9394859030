//! Routing: which traffic thread of which VM serves a shard.

use std::{cmp::Reverse, fmt};

use crate::{
    rank,
    traffic::table::{leg::preference, shard},
    view::{Lane, View, Vm},
};

/// Decides which traffic thread of which VM serves a shard.
pub trait Route: fmt::Debug {
    /// The lanes that may serve the shard, in order of preference, at most
    /// `max`.
    fn lanes(&self, view: &View, own: &Lane, key: &shard::Key, max: usize) -> Vec<Lane>;
}

/// Routes each shard to its homes, which rendezvous hashing picks among the
/// VMs.
#[derive(Clone, Copy, Debug)]
pub struct Home;

impl Route for Home {
    fn lanes(&self, view: &View, _own: &Lane, key: &shard::Key, max: usize) -> Vec<Lane> {
        let seed = rank::seed(&[key.index.as_str(), key.shard.as_str()]);
        best_vms(view, seed, max)
            .into_iter()
            .map(|vm| {
                let threads = vm.traffic.len().max(1) as u64;
                let thread = u16::try_from(seed % threads).unwrap_or(0);
                Lane { vm: vm.name.clone(), thread }
            })
            .collect()
    }
}

/// The first `max` VMs by state and then by rendezvous weight. The others are
/// not sorted, because every shard is ranked again whenever a VM comes or goes.
fn best_vms(view: &View, seed: u64, max: usize) -> Vec<&Vm> {
    let mut best = Vec::with_capacity(max + 1);
    for (name, vm) in &view.vms {
        let rank = (preference(vm.state), Reverse((rank::weight(seed, name), name)));
        let position = best.partition_point(|(own, _)| *own < rank);
        if position < max {
            best.insert(position, (rank, vm));
            best.truncate(max);
        }
    }
    best.into_iter().map(|(_, vm)| vm).collect()
}

/// Routes every shard to the entry itself, so that each VM serves its own
/// callers.
#[derive(Clone, Copy, Debug)]
pub struct Direct;

impl Route for Direct {
    fn lanes(&self, _view: &View, own: &Lane, _key: &shard::Key, _max: usize) -> Vec<Lane> {
        vec![own.clone()]
    }
}
