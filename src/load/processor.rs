//! The processor time of this process, as the kernel counts it.

use std::{fs, time::Duration};

/// The ticks a second in which the kernel states processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The processor time that all threads have used, or zero where the kernel does
/// not say.
pub fn used() -> Duration {
    ticks(&fs::read_to_string("/proc/self/stat").unwrap_or_default())
}

/// The processor time of the threads that run now and whose names start with
/// `prefix`.
pub fn used_by(prefix: &str) -> Duration {
    let threads = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    threads
        .filter_map(|thread| fs::read_to_string(thread.path().join("stat")).ok())
        .filter(|stat| stat.split_once('(').is_some_and(|(_, rest)| rest.starts_with(prefix)))
        .map(|stat| ticks(&stat))
        .sum()
}

/// The user and system time in a line of the kernel.
fn ticks(stat: &str) -> Duration {
    // The second field is a name in parentheses that may hold spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
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
