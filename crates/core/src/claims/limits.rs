//! The limits under which the claims engine works.

use std::time::Duration;

use super::layout::Layout;

/// Limits of the claims engine. The layout is the same on every VM; the others
/// may differ between VMs without harm to what must hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How keys are laid out over buckets.
    pub layout: Layout,
    /// How long a claim is remembered at least.
    pub window: Duration,
    /// How far ahead of this VM's clock a key may have been issued.
    pub skew: Duration,
    /// How long a call may take before its effect counts as unknown.
    pub call_timeout: Duration,
    /// How long a remembered value may answer a resend without a new read.
    pub fresh: Duration,
    /// The writes a second that all VMs together spend on claims.
    pub writes: u32,
    /// The writes of one part that may follow each other at once after a pause.
    pub burst: u32,
    /// The claims and outcomes in one write.
    pub group: usize,
    /// How long an outcome waits for others before it is written alone.
    pub batch_delay: Duration,
    /// The bytes of a stored bucket; claims may take half of it.
    pub bucket_bytes: usize,
    /// The bytes of a result; a longer one is not recorded.
    pub result: usize,
    /// The claims, and again the outcomes, that may wait at this home.
    pub queue: usize,
    /// The operations of this VM that may wait for a verdict.
    pub operations: usize,
    /// The outcomes of this VM that may wait to be recorded.
    pub reports: usize,
    /// The buckets that are remembered.
    pub buckets: usize,
    /// How often a claim is sent to a home before it waits for its deadline.
    pub tries: usize,
    /// How long an outcome is sent again before it is given up.
    pub report: Duration,
    /// How long a VM that did not answer is passed over.
    pub avoid: Duration,
    /// How often the floor is looked at.
    pub sweep: Duration,
    /// The buckets below the floor that are removed a second.
    pub removals: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            layout: Layout::V1,
            window: Duration::from_secs(3600),
            skew: Duration::from_secs(10),
            call_timeout: Duration::from_secs(1),
            fresh: Duration::from_millis(100),
            writes: 240,
            burst: 4,
            group: 1000,
            batch_delay: Duration::from_millis(250),
            bucket_bytes: 512 * 1024,
            result: 4096,
            queue: 4096,
            operations: 4096,
            reports: 8192,
            buckets: 64,
            tries: 3,
            report: Duration::from_secs(30),
            avoid: Duration::from_secs(2),
            sweep: Duration::from_secs(10),
            removals: 20,
        }
    }
}

impl Limits {
    /// The time between two writes of a part at the full rate.
    pub fn interval(&self) -> Duration {
        let micros = 1_000_000 * u64::from(self.layout.parts) / u64::from(self.writes.max(1));
        Duration::from_micros(micros)
    }
}
