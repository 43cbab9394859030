//! The processor time of this process, as the kernel counts it.

use std::{fs, time::Duration};

/// The ticks a second in which the kernel states processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The processor time that all threads have used, or zero where the kernel does
/// not say.
pub fn used() -> Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The second field is a name in parentheses that may hold spaces.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// The memory that is resident, in bytes, or zero where the kernel does not say.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kilobytes = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1024
}
