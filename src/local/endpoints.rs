//! Where a VM of a local deployment listens.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    name::Name,
    view::{State, Vm},
};
use sha2::{Digest, Sha256};

use super::{DOMAINS, OPERATOR_TOKEN, failed, name};
use crate::vm::Error;

/// The addresses of a VM.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// The name of the VM.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For control threads.
    pub control: SocketAddr,
    /// For traffic threads.
    pub traffic: SocketAddr,
}

/// The first port that is tried.
const FIRST_PORT: u16 = 10_000;

/// The ports of a block. A process takes one block.
const BLOCK: u16 = 1_250;

/// The number of blocks. The last ends below the range from which the system
/// takes ports for outgoing connections, one of which could take a free port
/// before the VM does.
const BLOCKS: u16 = 16;

/// The listener on the first port of the block that this process has taken,
/// which keeps other processes from taking it.
static TAKEN: OnceLock<Option<TcpListener>> = OnceLock::new();

/// Finds free ports for the VM with this number.
///
/// The ports are held until all four are known, so that they differ.
pub fn allocate(number: u32) -> Result<Endpoints, Report<Error>> {
    let mut held = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..4 {
        let listener = listen()?;
        addresses.push(listener.local_addr().change_context_lazy(|| failed("a listener"))?);
        held.push(listener);
    }
    Ok(Endpoints {
        name: name(&format!("vm-{number}"))?,
        domain: name(&format!("domain-{}", (number - 1) % DOMAINS + 1))?,
        callers: addresses[0],
        operators: addresses[1],
        control: addresses[2],
        traffic: addresses[3],
    })
}

/// Listens on a port that is free now and that this process did not try lately,
/// so that no two VMs of it are given the same one.
fn listen() -> Result<TcpListener, Report<Error>> {
    let first = TAKEN.get_or_init(take).as_ref().and_then(|taken| taken.local_addr().ok());
    let first = first.ok_or_else(|| Report::new(failed("a listener in a free block of ports")))?;
    let found = (1..BLOCK).find_map(|_| bind(first.port() + next()));
    found.ok_or_else(|| Report::new(failed("a listener on a free port")))
}

/// Takes the first block that no other process has taken.
fn take() -> Option<TcpListener> {
    (0..BLOCKS).find_map(|block| bind(FIRST_PORT + block * BLOCK))
}

/// The next port to try, counted from the first one of the block.
fn next() -> u16 {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    1 + TRIED.fetch_add(1, Ordering::Relaxed) % (BLOCK - 1)
}

fn bind(port: u16) -> Option<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()
}

impl Endpoints {
    /// What the platform lists.
    pub fn list_entry(&self) -> Vm {
        Vm {
            name: self.name.clone(),
            domain: self.domain.clone(),
            incarnation: 0,
            state: State::Live,
            control: self.control,
            traffic: vec![self.traffic],
        }
    }

    /// The settings of the VM in TOML.
    pub fn settings(&self, platform: SocketAddr) -> String {
        let digest = Sha256::digest(OPERATOR_TOKEN.as_bytes());
        let hash: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        format!(
            r#"
[vm]
name = "{}"
domain = "{}"

[listen]
callers = "{}"
operators = "{}"
control = "{}"
traffic = ["{}"]

[platform]
address = "{platform}"

[deployment]
key = "local-deployment-key"

[operators]
tokens = [
    {{ name = "local", team = "local", roles = ["read", "publish"], sha256 = "{hash}" }},
]

[shutdown]
announce_ms = 1000
"#,
            self.name, self.domain, self.callers, self.operators, self.control, self.traffic
        )
    }
}
