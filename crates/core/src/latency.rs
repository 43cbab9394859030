//! A small histogram of latencies in which old values lose weight.

use std::time::Duration;

const BUCKET_COUNT: usize = 64;

/// The upper bound of the first bucket.
const FIRST_BOUND_MICROS: f64 = 50.0;

/// The ratio between the upper bounds of neighbouring buckets.
const BOUND_RATIO: f64 = 1.25;

/// The number of values at which all counts are halved, so that old values
/// lose weight.
const MAX_VALUES: u32 = 512;

/// The number of values below which a quantile is not meaningful.
const MIN_VALUES: u32 = 8;

/// A histogram of latencies with exponential buckets, and their moving mean.
#[derive(Clone, Debug)]
pub struct Latency {
    counts: [u16; BUCKET_COUNT],
    total: u32,
    mean_micros: f64,
}

impl Default for Latency {
    fn default() -> Latency {
        Latency { counts: [0; BUCKET_COUNT], total: 0, mean_micros: 0.0 }
    }
}

/// The weight of a new value in the moving mean.
const MEAN_WEIGHT: f64 = 0.1;

/// The weight of a value far below the mean. It is high because a target that
/// has recovered answers only a few probes, after which its mean must be low.
const RECOVERY_WEIGHT: f64 = 0.5;

/// A value that is smaller than the mean by more than this factor counts as far
/// below it, a sign that the target has recovered.
pub const RECOVERY_FACTOR: u32 = 2;

impl Latency {
    pub fn record(&mut self, value: Duration) {
        if self.total >= MAX_VALUES {
            self.halve();
        }
        let micros = value.as_secs_f64() * 1e6;
        let bucket = (micros / FIRST_BOUND_MICROS).max(1.0).log(BOUND_RATIO).ceil() as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1;
        self.total += 1;
        let is_recovery = micros * f64::from(RECOVERY_FACTOR) < self.mean_micros;
        let weight = match self.total {
            total if total <= MIN_VALUES => 1.0 / f64::from(total),
            _ if is_recovery => RECOVERY_WEIGHT,
            _ => MEAN_WEIGHT,
        };
        self.mean_micros += (micros - self.mean_micros) * weight;
    }

    /// Returns the moving mean of recent values, or zero before the first.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_micros / 1e6)
    }

    /// Raises the mean for an answer that was abandoned after `value` and so
    /// would have taken longer. The histogram stays as it is.
    pub fn record_lower_bound(&mut self, value: Duration) {
        let micros = value.as_secs_f64() * 1e6;
        if micros > self.mean_micros {
            self.mean_micros += (micros - self.mean_micros) * MEAN_WEIGHT;
        }
    }

    /// Returns whether there are enough values for a reliable estimate.
    pub fn has_enough_values(&self) -> bool {
        self.total >= MIN_VALUES
    }

    /// Returns an upper bound of the quantile `per_mille` / 1000, or none while
    /// there are too few values.
    pub fn quantile(&self, per_mille: u32) -> Option<Duration> {
        if self.total < MIN_VALUES {
            return None;
        }
        let rank = (u64::from(self.total) * u64::from(per_mille)).div_ceil(1000);
        let mut seen = 0;
        for (bucket, &count) in self.counts.iter().enumerate() {
            seen += u64::from(count);
            if seen >= rank {
                let micros = FIRST_BOUND_MICROS
                    * BOUND_RATIO.powi(i32::try_from(bucket).unwrap_or(i32::MAX));
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
