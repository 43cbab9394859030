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

/// Returns the largest resident memory that the process has had, in bytes.
fn peak_memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process lives");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.expect("the process has ended") * 1024
}

fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).expect("the process lives").count()
}
