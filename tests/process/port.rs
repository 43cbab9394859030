//! Addresses on loopback for the processes of a deployment.

use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

/// The first port of the first block.
const FIRST_PORT: u16 = 10_000;

/// The number of ports in a block. Each run of the tests reserves one block.
const PORTS_PER_BLOCK: u16 = 1_250;

/// The number of blocks. The last one ends below the ephemeral port range, so
/// that no outgoing connection takes a port between its choice and the start of
/// the process that listens on it.
const BLOCK_COUNT: u16 = 16;

/// A listener on the first port of the block that this run has reserved, which
/// keeps other runs from reserving it.
static RESERVATION: OnceLock<TcpListener> = OnceLock::new();

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns an address on which nothing listens. It is not returned again until
/// all other ports of the block have been tried.
pub fn unused_address() -> SocketAddr {
    let first = RESERVATION.get_or_init(reserve_block).local_addr().unwrap();
    for _ in 0..PORTS_PER_BLOCK {
        let offset = 1 + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % (PORTS_PER_BLOCK - 1);
        let address = loopback(first.port() + offset);
        if is_unused(address) {
            return address;
        }
    }
    panic!("every port of the block is in use");
}

/// Returns whether nothing listens on an address. It is not tried with a listener: a process
/// that another thread is starting would hold a copy of it for a moment, in which the process
/// of the deployment cannot listen.
fn is_unused(address: SocketAddr) -> bool {
    let connected = TcpStream::connect(address);
    connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Reserves the first block that no other run has reserved.
fn reserve_block() -> TcpListener {
    let mut firsts = (0..BLOCK_COUNT).map(|block| loopback(FIRST_PORT + block * PORTS_PER_BLOCK));
    firsts
        .find_map(|first| TcpListener::bind(first).ok())
        .expect("every block of ports is reserved by another run")
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
