//! A whole deployment in one process, on loopback and free ports: the platform's
//! stand-in, target stand-ins and VMs. The demo and the load tool use it.

pub mod caller;
pub mod demo;
pub mod place;

use std::{io, net::TcpListener, path::Path, thread, time::Duration};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    name::Name,
    view::{State, Target},
};

use crate::{
    settings::{Settings, Source},
    standin,
    vm::{self, Error, Vm},
};

pub use self::{caller::Caller, place::Place};

/// The index that the targets hold.
pub const INDEX: &str = "licences";

/// The token of the operator of the deployment.
pub const TOKEN: &str = "local-operator-token";

/// What a deployment is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of VMs; each is in a failure domain of its own, up to four.
    pub vms: u32,
    /// The number of shards.
    pub shards: u32,
    /// The targets of each shard.
    pub replicas: u32,
    /// What the targets have in common.
    pub target: standin::target::settings::Raw,
}

/// A target that runs.
#[derive(Clone, Debug)]
pub struct Replica {
    /// What the platform lists.
    pub listed: Target,
    /// Where its faults are switched.
    pub admin: std::net::SocketAddr,
}

/// A deployment that runs.
pub struct Deployment {
    /// Where the platform listens.
    pub platform: std::net::SocketAddr,
    /// The targets.
    pub targets: Vec<Replica>,
    /// The VMs with their places.
    pub vms: Vec<(Place, Vm)>,
}

/// The failure domains over which VMs and targets are spread.
const DOMAINS: u32 = 4;

/// Starts the platform, the targets and the VMs.
pub fn start(plan: &Plan) -> Result<Deployment, Report<Error>> {
    let (listener, platform) = listen()?;
    let mut list = standin::platform::list::Raw::default();
    let mut targets = Vec::new();
    for shard in 0..plan.shards {
        for replica in 0..plan.replicas {
            let target = start_target(plan, shard, replica)?;
            list.targets.push(target.listed.clone());
            targets.push(target);
        }
    }
    let places = (1..=plan.vms).map(place::free).collect::<Result<Vec<Place>, _>>()?;
    list.vms = places.iter().map(Place::row).collect();
    let list = standin::platform::List::try_from(list).change_context(failed("the list"))?;
    serve("platform", move || standin::platform::serve(listener, list))?;
    let mut vms = Vec::new();
    for place in places {
        let vm = start_vm(&place, platform)?;
        vms.push((place, vm));
    }
    Ok(Deployment { platform, targets, vms })
}

/// Starts a VM at its place.
pub fn start_vm(place: &Place, platform: std::net::SocketAddr) -> Result<Vm, Report<Error>> {
    let text = place.settings(platform);
    let source = Source { file: Path::new("local.toml"), text: &text };
    let settings = Settings::try_from(source).map_err(|errors| {
        Report::new(Error { detail: format!("the settings of {}: {errors}", place.name) })
    })?;
    vm::start(settings, Box::new(io::sink()))
}

fn start_target(plan: &Plan, shard: u32, replica: u32) -> Result<Replica, Report<Error>> {
    let (traffic, address) = listen()?;
    let (admin_listener, admin) = listen()?;
    let mut raw = plan.target.clone();
    raw.shard = shard;
    raw.shards = plan.shards;
    raw.noise = u64::from(shard) << 32 | u64::from(replica);
    let settings = standin::target::Settings::try_from(raw).change_context(failed("a target"))?;
    let listed = Target {
        name: name(&format!("target-{shard}-{replica}"))?,
        index: name(INDEX)?,
        shard: name(&format!("shard-{shard}"))?,
        domain: name(&format!("domain-{}", (shard + replica) % DOMAINS + 1))?,
        address,
        slots: settings.slots,
        connections: settings.connections,
        state: State::Live,
    };
    serve("target", move || standin::target::serve(settings, traffic, admin_listener))?;
    Ok(Replica { listed, admin })
}

/// Runs a stand-in on a thread with a runtime of its own until the process ends.
fn serve<F, S, T>(name: &str, make: F) -> Result<(), Report<Error>>
where
    F: FnOnce() -> S + Send + 'static,
    S: Future<Output = io::Result<T>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| failed(name))?;
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            // A stand-in that ends is missed by the VMs, which say so.
            let _ = runtime.block_on(make());
        })
        .change_context_lazy(|| failed(name))?;
    Ok(())
}

fn failed(what: &str) -> Error {
    Error { detail: format!("{what} could not be started") }
}

fn name(text: &str) -> Result<Name, Report<Error>> {
    Name::try_from(text).change_context_lazy(|| failed(text))
}

/// Listens on a free port of the loopback address.
fn listen() -> Result<(TcpListener, std::net::SocketAddr), Report<Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").change_context_lazy(|| failed("a listener"))?;
    let address = listener.local_addr().change_context_lazy(|| failed("a listener"))?;
    Ok((listener, address))
}

impl Deployment {
    /// Waits until every VM takes requests, or until `limit` has passed.
    pub async fn ready(&self, limit: Duration) -> bool {
        for (_, vm) in &self.vms {
            if !vm.ready(limit).await {
                return false;
            }
        }
        true
    }
}
