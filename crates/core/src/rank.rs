//! Rendezvous hashing: which VM is the home of a shard or a claim bucket.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;

/// Computes the weight of `vm` for the thing whose hash is `seed`.
pub fn weight(seed: u64, vm: &Name) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}

/// Hashes the parts of a thing's name into a seed.
pub fn seed(parts: &[&str]) -> u64 {
    parts.iter().fold(0, |seed, part| xxh3_64_with_seed(part.as_bytes(), seed ^ 0x9e37_79b9))
}

/// Orders `vms` by descending weight for `seed`; the first is the home and the
/// next takes over when it is unreachable.
///
/// A VM that comes or goes moves only the things that it gains or loses.
pub fn order<'a>(seed: u64, vms: impl Iterator<Item = &'a Name>) -> Vec<&'a Name> {
    let mut ranked: Vec<(u64, &Name)> = vms.map(|vm| (weight(seed, vm), vm)).collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

/// The member of `vms` with the greatest weight for `seed`.
pub fn first<'a>(seed: u64, vms: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    vms.max_by_key(|vm| (weight(seed, vm), *vm))
}
