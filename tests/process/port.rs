//! Addresses on loopback for the processes of a deployment.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

/// The first port that is given out.
const FIRST: u16 = 10_000;

/// The ports of a block. One run of the tests takes one block.
const BLOCK: u16 = 1_250;

/// The number of blocks. The last ends below the range from which the system
/// takes ports for outgoing connections, so that none is taken between the
/// choice and the start of the process that listens on it.
const BLOCKS: u16 = 16;

/// The listener on the first port of the block that this run has taken, which
/// keeps other runs from taking it.
static TAKEN: OnceLock<TcpListener> = OnceLock::new();

static NEXT: AtomicU16 = AtomicU16::new(0);

/// An address on which nothing listens and which is not given out again soon.
pub fn unused_address() -> SocketAddr {
    let taken = TAKEN.get_or_init(take).local_addr().unwrap();
    for _ in 0..BLOCK {
        let offset = 1 + NEXT.fetch_add(1, Ordering::Relaxed) % (BLOCK - 1);
        let address = loopback(taken.port() + offset);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}

/// Takes the first block that no other run has taken.
fn take() -> TcpListener {
    let mut firsts = (0..BLOCKS).map(|block| loopback(FIRST + block * BLOCK));
    firsts.find_map(|first| TcpListener::bind(first).ok()).expect("a block of ports is free")
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
