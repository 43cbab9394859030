//! Spreads work that VMs would otherwise do at the same time.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Returns a delay shorter than `spread` that depends only on `seed`.
pub fn delay(seed: &str, spread: Duration) -> Duration {
    let micros = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(xxh3_64(seed.as_bytes()) % micros)
}
