//! Tests of the choice of ports for the processes of a deployment.

use std::{
    net::TcpListener,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use crate::port;

/// The number of ports that are chosen, half of those that there are.
const PORTS: usize = 600;

/// The number of threads that start processes meanwhile.
const STARTERS: usize = 3;

/// Starts processes until `is_over`.
fn start_processes(is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let mut process = Command::new("true").spawn().unwrap();
        process.wait().unwrap();
    }
}

cases! {
    // Guards against a port that was checked with a listener of its own: a process that is
    // starting in another thread holds a copy of that listener for a moment.
    an_unused_port_can_be_listened_on_while_processes_start => {
        let is_over = AtomicBool::new(false);
        let failures = thread::scope(|scope| {
            for _ in 0..STARTERS {
                scope.spawn(|| start_processes(&is_over));
            }
            let chosen = (0..PORTS).map(|_| port::unused_address());
            let failures: Vec<_> = chosen.filter_map(|port| TcpListener::bind(port).err()).collect();
            is_over.store(true, Ordering::Relaxed);
            failures
        });
        assert!(failures.is_empty(), "{failures:?}");
    };
}
