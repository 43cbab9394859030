//! The addresses of the VMs of a local deployment.

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

use super::{DOMAIN_COUNT, OPERATOR_TOKEN, failed, name};
use crate::vm::Error;

/// The identity and addresses of a VM.
#[derive(Clone, Debug)]
pub struct Endpoints {
    pub name: Name,
    /// The failure domain of the VM.
    pub domain: Name,
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// The control thread, for other VMs.
    pub control: SocketAddr,
    /// The one traffic thread, for other VMs.
    pub traffic: SocketAddr,
}

/// The first port of the first block.
const FIRST_PORT: u16 = 10_000;

/// The number of ports in a block. Each process reserves one block.
const BLOCK_PORTS: u16 = 1_250;

/// The number of blocks. The last one ends below the range from which the
/// system picks ports for outgoing connections, because such a connection could
/// take a free port before the VM binds it.
const BLOCK_COUNT: u16 = 16;

/// The listener on the first port of the block that this process has reserved.
/// It keeps other processes from reserving the same block.
static RESERVED_BLOCK: OnceLock<Option<TcpListener>> = OnceLock::new();

/// Finds free ports for VM `number`, counted from one.
///
/// All four ports stay bound until the last one is found, so that they differ.
pub fn allocate(number: u32) -> Result<Endpoints, Report<Error>> {
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..4 {
        let listener = listen()?;
        addresses.push(listener.local_addr().change_context_lazy(|| failed("a listener"))?);
        listeners.push(listener);
    }
    Ok(Endpoints {
        name: name(&format!("vm-{number}"))?,
        domain: name(&format!("domain-{}", (number - 1) % DOMAIN_COUNT + 1))?,
        callers: addresses[0],
        operators: addresses[1],
        control: addresses[2],
        traffic: addresses[3],
    })
}

/// Listens on a free port of this process's block. The search goes on after the
/// last port tried, so that no two VMs of this process get the same port.
fn listen() -> Result<TcpListener, Report<Error>> {
    let first = RESERVED_BLOCK
        .get_or_init(reserve_block)
        .as_ref()
        .and_then(|block| block.local_addr().ok());
    let first = first.ok_or_else(|| Report::new(failed("a listener in a free block of ports")))?;
    let found = (1..BLOCK_PORTS).find_map(|_| bind(first.port() + next_offset()));
    found.ok_or_else(|| Report::new(failed("a listener on a free port")))
}

/// Reserves the first block that no other process has reserved.
fn reserve_block() -> Option<TcpListener> {
    (0..BLOCK_COUNT).find_map(|block| bind(FIRST_PORT + block * BLOCK_PORTS))
}

/// The offset of the next port to try from the first port of the block.
fn next_offset() -> u16 {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    1 + TRIED.fetch_add(1, Ordering::Relaxed) % (BLOCK_PORTS - 1)
}

fn bind(port: u16) -> Option<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()
}

impl Endpoints {
    /// The VM as the platform lists it.
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
