//! A whole deployment in one process, on loopback and free ports: the platform's
//! stand-in, target stand-ins and VMs. The demo and the load tool use it.

pub mod caller;
pub mod demo;
pub mod endpoints;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    path::Path,
    pin::Pin,
    thread,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    name::Name,
    traffic::policy,
    view::{State, Target},
};
use tokio::{
    sync::{oneshot, watch},
    task::LocalSet,
};

use crate::{
    settings::{Settings, Source},
    standin,
    vm::{self, Error, Vm},
};

pub use self::{caller::Caller, endpoints::Endpoints};

/// The index that the targets of the demo hold.
pub const DEMO_INDEX: &str = "licences";

/// The token of the operator of the deployment.
pub const OPERATOR_TOKEN: &str = "local-operator-token";

/// What a deployment is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of VMs; each is in a failure domain of its own, up to four.
    pub vms: u32,
    /// The indexes with their targets.
    pub indexes: Vec<Index>,
    /// The threads that the targets share.
    pub target_threads: usize,
    /// The policies of the VMs.
    pub policies: policy::Factory,
}

/// An index and its targets.
#[derive(Clone, Debug)]
pub struct Index {
    /// The name of the index.
    pub name: Name,
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
    pub admin: SocketAddr,
}

/// A deployment that runs.
pub struct Deployment {
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// The targets.
    pub targets: Vec<Replica>,
    /// The VMs with their places.
    pub vms: Vec<(Endpoints, Vm)>,
    /// The policies of the VMs.
    pub policies: policy::Factory,
    /// Ends the stand-ins.
    stop: watch::Sender<bool>,
}

/// The failure domains over which VMs and targets are spread.
const DOMAINS: u32 = 4;

/// Starts the platform, the targets and the VMs.
pub fn start(plan: &Plan) -> Result<Deployment, Report<Error>> {
    let (stop, stopped) = watch::channel(false);
    let (listener, platform) = listen()?;
    let targets = start_targets(plan, &stopped)?;
    let listed = targets.iter().map(|target| target.listed.clone()).collect();
    let mut list = standin::platform::list::Raw { targets: listed, vms: Vec::new() };
    let places = (1..=plan.vms).map(endpoints::allocate).collect::<Result<Vec<Endpoints>, _>>()?;
    list.vms = places.iter().map(Endpoints::list_entry).collect();
    let list = standin::platform::List::try_from(list).change_context(failed("the list"))?;
    serve("platform", stopped, move || {
        vec![Box::pin(async move {
            // A platform that ends is missed by the VMs, which say so.
            let _ = standin::platform::serve(listener, list).await;
        })]
    })?;
    let mut vms = Vec::new();
    for place in places {
        let vm = start_vm(&place, platform, plan.policies)?;
        vms.push((place, vm));
    }
    Ok(Deployment { platform, targets, vms, policies: plan.policies, stop })
}

/// Starts a VM at its place.
pub fn start_vm(
    place: &Endpoints,
    platform: SocketAddr,
    policies: policy::Factory,
) -> Result<Vm, Report<Error>> {
    let text = place.settings(platform);
    let source = Source { file: Path::new("local.toml"), text: &text };
    let settings = Settings::try_from(source).map_err(|errors| {
        Report::new(Error { detail: format!("the settings of {}: {errors}", place.name) })
    })?;
    vm::start_with(settings, Box::new(io::sink()), policies)
}

/// A target with its sockets, before it runs.
struct Unstarted {
    settings: standin::target::Settings,
    traffic: TcpListener,
    admin: TcpListener,
}

/// Starts the targets of every index on the threads of the plan.
fn start_targets(
    plan: &Plan,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<Replica>, Report<Error>> {
    let threads = plan.target_threads.max(1);
    let mut targets = Vec::new();
    let mut groups: Vec<Vec<Unstarted>> = (0..threads).map(|_| Vec::new()).collect();
    for index in &plan.indexes {
        for shard in 0..index.shards {
            for replica in 0..index.replicas {
                let (target, unstarted) = prepare(index, shard, replica)?;
                groups[targets.len() % threads].push(unstarted);
                targets.push(target);
            }
        }
    }
    for group in groups {
        serve("targets", stopped.clone(), move || group.into_iter().map(run_target).collect())?;
    }
    Ok(targets)
}

fn run_target(target: Unstarted) -> Service {
    Box::pin(async move {
        let Unstarted { settings, traffic, admin } = target;
        // A target that ends is missed by the VMs, which say so.
        let _ = standin::target::serve(settings, traffic, admin).await;
    })
}

fn prepare(index: &Index, shard: u32, replica: u32) -> Result<(Replica, Unstarted), Report<Error>> {
    let (traffic, address) = listen()?;
    let (admin_listener, admin) = listen()?;
    let mut raw = index.target.clone();
    raw.shard = shard;
    raw.shards = index.shards;
    raw.noise = u64::from(shard) << 32 | u64::from(replica);
    let settings = standin::target::Settings::try_from(raw).change_context(failed("a target"))?;
    let listed = Target {
        name: name(&format!("{}-{shard}-{replica}", index.name))?,
        index: index.name.clone(),
        shard: name(&format!("shard-{shard}"))?,
        domain: name(&format!("domain-{}", (shard + replica) % DOMAINS + 1))?,
        address,
        slots: settings.slots,
        connections: settings.connections,
        state: State::Live,
    };
    let unstarted = Unstarted { settings, traffic, admin: admin_listener };
    Ok((Replica { listed, admin }, unstarted))
}

/// What a thread serves.
type Service = Pin<Box<dyn Future<Output = ()>>>;

/// Serves on a thread with a runtime of its own until the deployment stops.
fn serve<F>(name: &str, mut stopped: watch::Receiver<bool>, make: F) -> Result<(), Report<Error>>
where
    F: FnOnce() -> Vec<Service> + Send + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| failed(name))?;
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let local = LocalSet::new();
            for service in make() {
                local.spawn_local(service);
            }
            // An error means that the deployment is gone, which stops it too.
            let _ = local.block_on(&runtime, stopped.wait_for(|stop| *stop));
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
fn listen() -> Result<(TcpListener, SocketAddr), Report<Error>> {
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

    /// Stops the VMs, each after what it has open, and then the stand-ins.
    pub async fn stop(self) {
        let leaving: Vec<_> = self.vms.into_iter().map(|(_, vm)| leave(vm)).collect();
        for left in leaving {
            // A VM whose thread could not be started goes with the process.
            let _ = left.await;
        }
        self.stop.send_replace(true);
    }
}

/// Lets a VM leave on a thread of its own, because it waits for its threads.
pub fn leave(vm: Vm) -> oneshot::Receiver<bool> {
    let (sender, left) = oneshot::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime {
            // Whoever started the leaving need not wait for it.
            let _ = sender.send(runtime.block_on(vm.leave()));
        }
    });
    left
}
