//! What a process uses of its machine.

use std::fs;

/// The memory of the smallest machine of the deployments in force, in bytes.
const MACHINE_BYTES: u64 = 112_000_000;

/// The descriptors of that machine, without those that are reserved for files.
const MACHINE_DESCRIPTORS: usize = 2670;

/// Asserts that a process lives and has stayed within the smallest machine.
pub fn assert_sound(process: u32) {
    let peak = peak_memory(process);
    println!("peak memory {peak} bytes, descriptors {}", descriptors(process));
    assert!(peak < MACHINE_BYTES, "the process took {peak} bytes of memory");
    let open = descriptors(process);
    assert!(open < MACHINE_DESCRIPTORS, "the process holds {open} descriptors");
}

/// The part of the memory of that machine that a process may take beside what it counts, and
/// beside its program, in bytes: a quarter.
const UNCOUNTED_BYTES: u64 = MACHINE_BYTES / 4;

/// Asserts that what a process takes for others is counted, of which `counted` bytes were the
/// most.
pub fn assert_counted(process: u32, counted: u64) {
    let taken = peak_memory(process) - status(process, "RssFile:");
    println!("peak memory without files {taken} bytes, counted {counted}");
    let uncounted = taken.saturating_sub(counted);
    assert!(uncounted < UNCOUNTED_BYTES, "{uncounted} bytes of {taken} are not counted");
}

/// Returns the largest resident memory that the process has had, in bytes.
fn peak_memory(process: u32) -> u64 {
    status(process, "VmHWM:")
}

/// Returns a size that the system states of a process, in bytes.
fn status(process: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process lives");
    let line = status.lines().find(|line| line.starts_with(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.expect("the process has ended") * 1024
}

fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).expect("the process lives").count()
}
