//! Where a VM of a local deployment listens.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    ops::RangeInclusive,
    sync::{
        LazyLock,
        atomic::{AtomicU32, Ordering},
    },
};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    name::Name,
    view::{State, Vm},
};
use sha2::{Digest, Sha256};

use super::{DOMAINS, TOKEN, failed, name};
use crate::vm::Error;

/// The addresses of a VM.
#[derive(Clone, Debug)]
pub struct Place {
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

/// The ports that are tried. They lie below those that systems give to outgoing
/// connections, one of which could take a free port before the VM does.
const PORTS: RangeInclusive<u16> = 10_000..=32_000;

/// The ports that are tried before it is given up to find a free one.
const MAX_TRIES: usize = 1000;

/// Finds free ports for the VM with this number.
///
/// The ports are held until all four are known, so that they differ.
pub fn free(number: u32) -> Result<Place, Report<Error>> {
    let mut held = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..4 {
        let listener = listen()?;
        addresses.push(listener.local_addr().change_context_lazy(|| failed("a listener"))?);
        held.push(listener);
    }
    Ok(Place {
        name: name(&format!("vm-{number}"))?,
        domain: name(&format!("domain-{}", (number - 1) % DOMAINS + 1))?,
        callers: addresses[0],
        operators: addresses[1],
        control: addresses[2],
        traffic: addresses[3],
    })
}

/// Listens on a port that is free now and that this process did not try before,
/// so that no two VMs of it are given the same one.
fn listen() -> Result<TcpListener, Report<Error>> {
    let found = (0..MAX_TRIES).find_map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, next())).ok());
    found.ok_or_else(|| Report::new(failed("a listener on a free port")))
}

/// The next port to try. The first one is random, because other processes look
/// for ports as well.
fn next() -> u16 {
    static TRIED: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(rand::random()));
    let count = u32::from(PORTS.end() - PORTS.start());
    let tried = TRIED.fetch_add(1, Ordering::Relaxed) % count;
    PORTS.start() + u16::try_from(tried).unwrap_or_default()
}

impl Place {
    /// What the platform lists.
    pub fn row(&self) -> Vm {
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
        let digest = Sha256::digest(TOKEN.as_bytes());
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
