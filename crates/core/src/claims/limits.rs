//! Limits of the claims engine.

use std::time::Duration;

use super::layout::Layout;

/// Limits of the claims engine. The layout must be the same on every VM. The
/// other limits may differ between VMs; operations still run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How idempotency keys are distributed over buckets.
    pub layout: Layout,
    /// The shortest time for which a claim is kept after its key was issued.
    pub window: Duration,
    /// How far ahead of this VM's clock the time of issue of a key may lie.
    pub skew: Duration,
    /// How long a store call may take before its effect counts as unknown.
    pub call_timeout: Duration,
    /// How long after its read a cached value may answer a resend.
    pub cache_ttl: Duration,
    /// How long a resend waits for the outcome of the request that holds its key,
    /// before its answer is that the outcome is unknown. It exceeds `batch_delay`,
    /// for which another home may keep the outcome before it is stored.
    pub outcome_wait: Duration,
    /// The rate of store writes for claims, summed over all VMs.
    pub writes_per_second: u32,
    /// The writes of one partition that may follow without delay after an idle
    /// period.
    pub burst: u32,
    /// The most claims, and also the most outcomes, in one write.
    pub batch_size: usize,
    /// How long an outcome waits for others to share its write.
    pub batch_delay: Duration,
    /// The largest encoded bucket. New claims are refused beyond half of it; the
    /// rest is left for results.
    pub bucket_bytes: usize,
    /// The longest result that is recorded.
    pub result_bytes: usize,
    /// The most claims, and also the most outcomes, that may wait at this home.
    pub queue: usize,
    /// The most operations of this VM that may wait for a verdict.
    pub operations: usize,
    /// The most outcomes of this VM that may wait to be recorded.
    pub reports: usize,
    /// The number of buckets above which those without work are evicted.
    pub cached_buckets: usize,
    /// How often a claim is sent. After the last time the operation waits for a
    /// verdict until its deadline.
    pub tries: usize,
    /// How long an outcome is sent again before it is dropped.
    pub report_timeout: Duration,
    /// The age up to which a copy may be from which the store comes back. What the store
    /// acknowledged within this time is remembered, to be written again.
    pub copy_age: Duration,
    /// The most bytes, in the stored form, of what is remembered of the store.
    pub memory_bytes: usize,
    /// How long a VM that did not answer is not used as a home.
    pub unreachable_for: Duration,
    /// The time between two checks of the floor.
    pub sweep_interval: Duration,
    /// The rate at which buckets below the floor are removed.
    pub removals_per_second: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            layout: Layout::V1,
            window: Duration::from_secs(3600),
            skew: Duration::from_secs(10),
            call_timeout: Duration::from_secs(1),
            cache_ttl: Duration::from_millis(100),
            outcome_wait: Duration::from_millis(350),
            writes_per_second: 240,
            burst: 4,
            batch_size: 1000,
            batch_delay: Duration::from_millis(250),
            bucket_bytes: 512 * 1024,
            result_bytes: 4096,
            queue: 4096,
            operations: 4096,
            reports: 8192,
            cached_buckets: 64,
            tries: 3,
            report_timeout: Duration::from_secs(30),
            copy_age: Duration::from_secs(15),
            memory_bytes: 16 * 1024 * 1024,
            unreachable_for: Duration::from_secs(2),
            sweep_interval: Duration::from_secs(10),
            removals_per_second: 20,
        }
    }
}

impl Limits {
    /// The time between two writes of a partition at the full rate.
    pub fn write_interval(&self) -> Duration {
        let micros = 1_000_000 * u64::from(self.layout.partitions)
            / u64::from(self.writes_per_second.max(1));
        Duration::from_micros(micros)
    }
}
