//! Where a VM of a local deployment listens.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

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

/// Finds free ports for the VM with this number.
///
/// Each VM has a loopback address of its own, so that no connection of another
/// one takes a port between this call and the start of the VM. The ports are
/// held until all four are known, so that they differ.
pub fn free(number: u32) -> Result<Place, Report<Error>> {
    let [_, _, high, low] = number.to_be_bytes();
    let [_, _, _, process] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, process | 1, high, low);
    let mut held = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..4 {
        let listener = TcpListener::bind((host, 0)).change_context_lazy(|| failed("a listener"))?;
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
