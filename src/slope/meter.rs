//! Processor time of a thread, resident memory and the spread of repeats.

use std::{fs, time::Duration};

use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// The number of times that each figure of processor time is measured.
pub const REPEATS: usize = 15;

/// The bytes of a kilobyte as the kernel states memory.
const KILOBYTE: u64 = 1024;

/// The median of repeats, with the least and the greatest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Sample {
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The greatest.
    pub most: f64,
    /// The number of repeats.
    pub repeats: usize,
}

impl Sample {
    /// A figure that is the same in every run, such as a number of bytes.
    pub fn exact(value: f64) -> Sample {
        Sample { median: value, least: value, most: value, repeats: 1 }
    }

    /// Summarises repeats, of which there is at least one.
    pub fn of(mut values: Vec<f64>) -> Sample {
        values.sort_by(f64::total_cmp);
        let at = |place: usize| values.get(place).copied().unwrap_or(f64::NAN);
        let repeats = values.len();
        let last = repeats.saturating_sub(1);
        Sample { median: at(last / 2), least: at(0), most: at(last), repeats }
    }
}

/// The processor time that this thread has used.
pub fn processor() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(time.tv_nsec.unsigned_abs())
}

/// The processor time that `work` takes on this thread.
pub fn timed<T>(work: impl FnOnce() -> T) -> (Duration, T) {
    let before = processor();
    let result = work();
    (processor().saturating_sub(before), result)
}

/// Measures [`REPEATS`] times, after one run that warms up, and gives the
/// microseconds of processor time for each of `units`.
pub fn micros(units: usize, mut work: impl FnMut() -> Duration) -> Sample {
    work();
    let each = |time: Duration| time.as_secs_f64() * 1e6 / units as f64;
    Sample::of((0..REPEATS).map(|_| each(work())).collect())
}

/// The resident memory of this process in bytes, or zero where the kernel does
/// not say.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kilobytes = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * KILOBYTE
}

/// The growth of resident memory while `work` makes `units` rows, in bytes for
/// each. The rows are returned, because memory that was given back would be
/// used again and be missing from the next figure.
pub fn growth<T>(units: usize, work: impl FnOnce() -> T) -> (Sample, T) {
    let before = resident();
    let rows = work();
    let grown = resident().saturating_sub(before);
    (Sample::exact(grown as f64 / units as f64), rows)
}
