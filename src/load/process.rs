//! CPU time and resident memory of this process, read from `/proc`.

use std::{fs, time::Duration};

/// The unit of CPU times in `/proc`: Linux reports 100 ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// The size of the kB that the kernel reports memory in.
const BYTES_PER_KB: u64 = 1024;

/// The CPU time that all threads have used, or zero if it cannot be read.
pub fn cpu_time() -> Duration {
    parse_cpu_time(&fs::read_to_string("/proc/self/stat").unwrap_or_default())
}

/// The CPU time of the live threads whose names start with `prefix`.
pub fn thread_cpu_time(prefix: &str) -> Duration {
    let threads = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    threads
        .filter_map(|thread| fs::read_to_string(thread.path().join("stat")).ok())
        .filter(|stat| stat.split_once('(').is_some_and(|(_, rest)| rest.starts_with(prefix)))
        .map(|stat| parse_cpu_time(&stat))
        .sum()
}

/// Parses the sum of user and system time from a line in the format of
/// `/proc/self/stat`.
fn parse_cpu_time(stat: &str) -> Duration {
    // The second field is the name in parentheses, which may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// The resident memory in bytes, or zero if it cannot be read.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kilobytes = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * BYTES_PER_KB
}
