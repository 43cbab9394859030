//! Which traffic thread of which VM serves a shard.

use std::{cmp::Reverse, fmt};

use crate::{
    rank,
    traffic::table::{leg::preference, shard},
    view::{Lane, View, Vm},
};

/// Decides which traffic thread of which VM serves a shard.
pub trait Route: fmt::Debug {
    /// The lanes that may serve the shard, best first, at most `most`.
    fn lanes(&self, view: &View, own: &Lane, key: &shard::Key, most: usize) -> Vec<Lane>;
}

/// One home for each shard, by rendezvous hashing over the VMs.
#[derive(Clone, Copy, Debug)]
pub struct Home;

impl Route for Home {
    fn lanes(&self, view: &View, _own: &Lane, key: &shard::Key, most: usize) -> Vec<Lane> {
        let seed = rank::seed(&[key.index.as_str(), key.shard.as_str()]);
        best(view, seed, most)
            .into_iter()
            .map(|vm| {
                let threads = vm.traffic.len().max(1) as u64;
                let thread = u16::try_from(seed % threads).unwrap_or(0);
                Lane { vm: vm.name.clone(), thread }
            })
            .collect()
    }
}

/// The `most` VMs that come first by what is believed of them and then by
/// weight. Only as many are kept, because every shard is ranked anew when a VM
/// comes or goes.
fn best(view: &View, seed: u64, most: usize) -> Vec<&Vm> {
    let mut best = Vec::with_capacity(most + 1);
    for (name, vm) in &view.vms {
        let rank = (preference(vm.state), Reverse((rank::weight(seed, name), name)));
        let place = best.partition_point(|(own, _)| *own < rank);
        if place < most {
            best.insert(place, (rank, vm));
            best.truncate(most);
        }
    }
    best.into_iter().map(|(_, vm)| vm).collect()
}

/// Each VM serves every shard for its own callers.
#[derive(Clone, Copy, Debug)]
pub struct Direct;

impl Route for Direct {
    fn lanes(&self, _view: &View, own: &Lane, _key: &shard::Key, _most: usize) -> Vec<Lane> {
        vec![own.clone()]
    }
}
