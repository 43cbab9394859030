//! Measurement of CPU time and resident memory, and the spread over repeats.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::load::process::resident_bytes;

/// The number of repeats of each measurement of CPU time.
pub const REPEATS: usize = 15;

/// The median, minimum and maximum of repeated measurements.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Sample {
    pub median: f64,
    /// The smallest of the repeats.
    pub least: f64,
    /// The largest of the repeats.
    pub most: f64,
    /// The number of repeats.
    pub repeats: usize,
}

impl Sample {
    /// A figure that is measured once, such as a number of bytes.
    pub fn exact(value: f64) -> Sample {
        Sample { median: value, least: value, most: value, repeats: 1 }
    }

    /// Summarises repeats; there must be at least one.
    pub fn of(mut values: Vec<f64>) -> Sample {
        values.sort_by(f64::total_cmp);
        let at = |position: usize| values.get(position).copied().unwrap_or(f64::NAN);
        let repeats = values.len();
        let last = repeats.saturating_sub(1);
        Sample { median: at(last / 2), least: at(0), most: at(last), repeats }
    }
}

/// The CPU time that this thread has used.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(time.tv_nsec.unsigned_abs())
}

/// Runs `work` and returns the CPU time that it took on this thread, and its result.
pub fn timed<T>(work: impl FnOnce() -> T) -> (Duration, T) {
    let before = thread_cpu_time();
    let result = work();
    (thread_cpu_time().saturating_sub(before), result)
}

/// Runs `work`, which returns its CPU time, [`REPEATS`] times after one warm-up run.
/// Returns the CPU time per unit in microseconds; each run handles `units` of them.
pub fn micros_per_unit(units: usize, mut work: impl FnMut() -> Duration) -> Sample {
    work();
    let per_unit = |time: Duration| time.as_secs_f64() * 1e6 / units as f64;
    Sample::of((0..REPEATS).map(|_| per_unit(work())).collect())
}

/// The growth of resident memory while `work` makes `units` rows, in bytes per row.
///
/// The rows are returned to be kept: memory that is freed would be reused and be
/// missing from the next figure.
pub fn memory_growth<T>(units: usize, work: impl FnOnce() -> T) -> (Sample, T) {
    let before = resident_bytes();
    let rows = work();
    let growth = resident_bytes().saturating_sub(before);
    (Sample::exact(growth as f64 / units as f64), rows)
}
