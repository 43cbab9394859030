//! Addresses on loopback for the processes of a deployment.

use std::{
    net::{SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// The first port that is given out.
const FIRST: u32 = 10_000;

/// The number of ports that are given out. They end below the range from which
/// the system takes ports for outgoing connections, so that none is taken
/// between the choice and the start of the process that listens on it.
const COUNT: u32 = 20_000;

/// The ports that one run of the tests is expected to use.
const RUN: u32 = 1_000;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address on which nothing listens and which is not given out again.
pub fn free() -> SocketAddr {
    let start = process::id().wrapping_mul(RUN);
    for _ in 0..COUNT {
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % COUNT;
        let port = u16::try_from(FIRST + number).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}
