//! A whole deployment in one process, on free loopback ports: stand-ins for the
//! platform and the targets, and VMs. The demo and the load tool use it.

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

/// The token of the one operator of a local deployment.
pub const OPERATOR_TOKEN: &str = "local-operator-token";

/// The size and policies of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of VMs. They are spread over four failure domains.
    pub vms: u32,
    /// The indexes, each with its targets.
    pub indexes: Vec<Index>,
    /// The number of threads that the targets share.
    pub target_threads: usize,
    /// Makes the policies of each VM.
    pub policies: policy::Factory,
}

/// An index and its targets.
#[derive(Clone, Debug)]
pub struct Index {
    pub name: Name,
    /// The number of shards.
    pub shards: u32,
    /// The number of targets of each shard.
    pub replicas: u32,
    /// The settings that all targets of the index share.
    pub target: standin::target::settings::Raw,
}

/// A running target.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The target as the platform lists it.
    pub listed: Target,
    /// The administration address, where faults are switched and counts are
    /// read.
    pub admin: SocketAddr,
}

/// A running deployment.
pub struct Deployment {
    /// The address of the platform.
    pub platform: SocketAddr,
    pub targets: Vec<Replica>,
    /// The VMs with their addresses.
    pub vms: Vec<(Endpoints, Vm)>,
    /// Makes the policies of each VM.
    pub policies: policy::Factory,
    /// Stops the stand-ins when it is set.
    stop: watch::Sender<bool>,
}

/// The number of failure domains over which VMs and targets are spread.
const DOMAIN_COUNT: u32 = 4;

/// Starts the platform, the targets and the VMs.
pub fn start(plan: &Plan) -> Result<Deployment, Report<Error>> {
    let (stop, stopped) = watch::channel(false);
    let (listener, platform) = listen()?;
    let targets = start_targets(plan, &stopped)?;
    let listed = targets.iter().map(|target| target.listed.clone()).collect();
    let mut list = standin::platform::list::Raw { targets: listed, vms: Vec::new() };
    let all_endpoints =
        (1..=plan.vms).map(endpoints::allocate).collect::<Result<Vec<Endpoints>, _>>()?;
    list.vms = all_endpoints.iter().map(Endpoints::list_entry).collect();
    let list = standin::platform::List::try_from(list).change_context(failed("the list"))?;
    serve("platform", stopped, move || {
        vec![Box::pin(async move {
            // An error needs no report here: the VMs report that they cannot
            // reach the platform.
            let _ = standin::platform::serve(listener, list).await;
        })]
    })?;
    let mut vms = Vec::new();
    for endpoints in all_endpoints {
        let vm = start_vm(&endpoints, platform, plan.policies)?;
        vms.push((endpoints, vm));
    }
    Ok(Deployment { platform, targets, vms, policies: plan.policies, stop })
}

/// Starts a VM at its addresses.
pub fn start_vm(
    endpoints: &Endpoints,
    platform: SocketAddr,
    policies: policy::Factory,
) -> Result<Vm, Report<Error>> {
    let text = endpoints.settings(platform);
    let source = Source { file: Path::new("local.toml"), text: &text };
    let settings = Settings::try_from(source).map_err(|errors| {
        Report::new(Error { detail: format!("the settings of {}: {errors}", endpoints.name) })
    })?;
    vm::start_with(settings, Box::new(io::sink()), policies)
}

/// A target with its sockets, before it is started.
struct Unstarted {
    settings: standin::target::Settings,
    traffic: TcpListener,
    admin: TcpListener,
}

/// Starts the targets of all indexes, spread over the threads of the plan.
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
        // An error needs no report here: the VMs report that they cannot reach
        // the target.
        let _ = standin::target::serve(settings, traffic, admin).await;
    })
}

/// Binds the sockets of a target on free ports and makes its settings.
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
        domain: name(&format!("domain-{}", (shard + replica) % DOMAIN_COUNT + 1))?,
        address,
        slots: settings.slots,
        connections: settings.connections,
        state: State::Live,
    };
    let unstarted = Unstarted { settings, traffic, admin: admin_listener };
    Ok((Replica { listed, admin }, unstarted))
}

/// A server that runs on a thread of [`serve`].
type Service = Pin<Box<dyn Future<Output = ()>>>;

/// Runs the servers that `make_services` returns on a new thread with its own
/// runtime, until the deployment stops.
fn serve<F>(
    name: &str,
    mut stopped: watch::Receiver<bool>,
    make_services: F,
) -> Result<(), Report<Error>>
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
            for service in make_services() {
                local.spawn_local(service);
            }
            // An error means that the deployment was dropped, which ends the
            // servers as well.
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

    /// Stops the VMs, each after its open requests, and then the stand-ins.
    pub async fn stop(self) {
        let leaving: Vec<_> = self.vms.into_iter().map(|(_, vm)| leave(vm)).collect();
        for left in leaving {
            // A VM for which no runtime could be started ends with the process.
            let _ = left.await;
        }
        self.stop.send_replace(true);
    }
}

/// Shuts a VM down on a new thread, because the shutdown blocks until the
/// threads of the VM end. The receiver gets the result of [`Vm::leave`].
pub fn leave(vm: Vm) -> oneshot::Receiver<bool> {
    let (sender, left) = oneshot::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime {
            // The receiver may be dropped, because the caller need not wait.
            let _ = sender.send(runtime.block_on(vm.leave()));
        }
    });
    left
}
