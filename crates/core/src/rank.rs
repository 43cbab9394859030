//! Rendezvous hashing: which VM is the home of a shard or a claim bucket.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;

/// Computes the weight of `vm` for the item whose hash is `seed`.
pub fn weight(seed: u64, vm: &Name) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}

/// Hashes the parts of an item's name to a seed.
pub fn seed(parts: &[&str]) -> u64 {
    parts.iter().fold(0, |seed, part| xxh3_64_with_seed(part.as_bytes(), seed ^ 0x9e37_79b9))
}

/// Sorts `vms` by descending weight for `seed`. The first is the home; the next
/// one takes over when the home is unreachable.
///
/// When a VM joins or leaves, only the items whose home it becomes or was move.
pub fn order<'a>(seed: u64, vms: impl Iterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut ranked: Vec<(u64, &Name)> = vms.map(|vm| (weight(seed, vm), vm)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

/// Returns the VM with the greatest weight for `seed`.
pub fn first<'a>(seed: u64, vms: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    vms.max_by_key(|vm| (weight(seed, vm), *vm))
}
