//! A small histogram of latencies that forgets.

use std::time::Duration;

/// The number of buckets.
const BUCKETS: usize = 64;

/// The upper bound of the first bucket, in microseconds.
const FIRST_MICROS: f64 = 50.0;

/// The ratio of the bounds of neighbouring buckets.
const RATIO: f64 = 1.25;

/// The number of values at which all counts are halved, so that old values
/// lose weight.
const FULL: u32 = 512;

/// The number of values below which a quantile says too little.
const LEAST: u32 = 8;

/// A histogram with buckets of equal ratio.
#[derive(Clone, Debug)]
pub struct Latency {
    counts: [u16; BUCKETS],
    total: u32,
    mean_micros: f64,
}

impl Default for Latency {
    fn default() -> Latency {
        Latency { counts: [0; BUCKETS], total: 0, mean_micros: 0.0 }
    }
}

/// The weight of a new value in the mean.
const MEAN_WEIGHT: f64 = 0.1;

/// The weight of a value far below the mean: a target that recovered answers a
/// few probes only.
const DROP_WEIGHT: f64 = 0.5;

/// The factor between the mean and a value that counts as far below it.
pub const RECOVERY_FACTOR: u32 = 2;

impl Latency {
    /// Adds a value.
    pub fn record(&mut self, value: Duration) {
        if self.total >= FULL {
            self.halve();
        }
        let micros = value.as_secs_f64() * 1e6;
        let bucket = (micros / FIRST_MICROS).max(1.0).log(RATIO).ceil() as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        let is_drop = micros * f64::from(RECOVERY_FACTOR) < self.mean_micros;
        let weight = match self.total {
            total if total <= LEAST => 1.0 / f64::from(total),
            _ if is_drop => DROP_WEIGHT,
            _ => MEAN_WEIGHT,
        };
        self.mean_micros += (micros - self.mean_micros) * weight;
    }

    /// The mean of recent values, or zero before the first.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_micros / 1e6)
    }

    /// Notes that an answer would have taken longer than `value`, at which it
    /// was no longer waited for.
    pub fn record_lower_bound(&mut self, value: Duration) {
        let micros = value.as_secs_f64() * 1e6;
        if micros > self.mean_micros {
            self.mean_micros += (micros - self.mean_micros) * MEAN_WEIGHT;
        }
    }

    /// Whether there are enough values to rely on.
    pub fn has_enough_values(&self) -> bool {
        self.total >= LEAST
    }

    /// An upper bound of the quantile `part` of a thousand, or none while there
    /// are too few values.
    pub fn quantile(&self, part: u32) -> Option<Duration> {
        if self.total < LEAST {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(part)).div_ceil(1000);
        let mut seen = 0;
        for (bucket, &count) in self.counts.iter().enumerate() {
            seen += u64::from(count);
            if seen >= rank {
                let micros = FIRST_MICROS * RATIO.powi(i32::try_from(bucket).unwrap_or(i32::MAX));
                return Some(Duration::from_secs_f64(micros / 1e6));
            }
        }
        None
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().map(|&count| u32::from(count)).sum();
    }
}
