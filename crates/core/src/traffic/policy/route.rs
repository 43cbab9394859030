//! Which traffic thread of which VM serves a shard.

use std::fmt;

use crate::{
    rank,
    traffic::table::{leg::preference, shard},
    view::{Lane, View},
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
        let mut ranked = rank::order(seed, view.vms.keys());
        ranked.sort_by_key(|name| view.vms.get(*name).map(|vm| preference(vm.state)));
        ranked
            .into_iter()
            .take(most)
            .filter_map(|name| view.vms.get(name))
            .map(|vm| {
                let threads = vm.traffic.len().max(1) as u64;
                let thread = u16::try_from(seed % threads).unwrap_or(0);
                Lane { vm: vm.name.clone(), thread }
            })
            .collect()
    }
}

/// Each VM serves every shard for its own callers.
#[derive(Clone, Copy, Debug)]
pub struct Direct;

impl Route for Direct {
    fn lanes(&self, _view: &View, own: &Lane, _key: &shard::Key, _most: usize) -> Vec<Lane> {
        vec![own.clone()]
    }
}
