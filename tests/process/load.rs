//! A steady load on several VMs: requests are sent at fixed intervals, however
//! long the answers take, and only to VMs that report that they are ready.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use laburnumworks::{local::Caller, standin::target::row::BODY_WORDS};
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{MissedTickBehavior, interval, sleep, timeout},
};

use super::{
    answer,
    deployment::{Deployment, Outcome},
    operation::Operation,
};

/// The pause between readiness probes of a VM, and the time limit of each probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which requests are sent.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// The maximum number of requests of a load.
const MAX_REQUESTS: u64 = 2_000;

/// One in this many requests is an operation; the others are searches.
const REQUESTS_PER_OPERATION: u64 = 5;

#[derive(Clone, Debug)]
pub enum Request {
    /// A search for this text.
    Search(&'static str),
    Operate(Operation),
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// The number of the VM that the request was sent to.
    pub vm: usize,
    pub sent: Instant,
    /// The time from sending until the outcome was known.
    pub took: Duration,
    pub request: Request,
    pub outcome: Outcome,
}

impl Record {
    /// Returns whether the answer is complete, or why it is wrong or missing. The
    /// result of an operation is always complete.
    pub fn check(&self) -> Result<bool, String> {
        let reply = self.outcome.as_ref().map_err(Clone::clone)?;
        match &self.request {
            Request::Search(text) => answer::check(reply, text),
            Request::Operate(_) if reply.status.is_success() => Ok(true),
            Request::Operate(_) => Err(format!("refused: {}", reply.body)),
        }
    }

    /// Returns the operation, or `None` if the request was a search.
    pub fn operation(&self) -> Option<&Operation> {
        match &self.request {
            Request::Operate(operation) => Some(operation),
            Request::Search(_) => None,
        }
    }
}

/// Returns the searches among `records`.
pub fn searches(records: &[Record]) -> Vec<Record> {
    records.iter().filter(|record| record.operation().is_none()).cloned().collect()
}

/// The numbers of the VMs that are ready, as a load balancer would see them.
type Ready = Arc<Mutex<BTreeSet<usize>>>;

/// A load that runs in the background until it is finished.
pub struct Load {
    stop: watch::Sender<bool>,
    task: JoinHandle<Vec<Record>>,
}

impl Load {
    /// Starts a load on the VMs; all its requests use `profile`.
    pub fn start(deployment: &Deployment, vms: &[usize], profile: &'static str) -> Load {
        let (stop, stopped) = watch::channel(false);
        let vms: Vec<(usize, SocketAddr)> =
            vms.iter().map(|&vm| (vm, deployment.vms[vm].endpoints.callers)).collect();
        let ready = Ready::default();
        for &(vm, address) in &vms {
            tokio::spawn(probe(
                deployment.caller.clone(),
                vm,
                address,
                Arc::clone(&ready),
                stopped.clone(),
            ));
        }
        let sender = Sender { caller: deployment.caller.clone(), vms, ready, profile };
        Load { stop, task: tokio::spawn(sender.run(stopped)) }
    }

    /// Stops sending, waits for the outstanding answers and returns all records in
    /// the order in which the requests were sent.
    pub async fn finish(self) -> Vec<Record> {
        self.stop.send_replace(true);
        self.task.await.unwrap()
    }
}

/// Probes the readiness of a VM until the load stops.
async fn probe(
    caller: Caller,
    vm: usize,
    address: SocketAddr,
    ready: Ready,
    stopped: watch::Receiver<bool>,
) {
    while !*stopped.borrow() {
        let reply = timeout(PROBE_INTERVAL, caller.read(address, "/readyz")).await;
        let is_ready = matches!(reply, Ok(Ok(reply)) if reply.status.is_success());
        set_ready(&ready, vm, is_ready);
        sleep(PROBE_INTERVAL).await;
    }
}

fn set_ready(ready: &Ready, vm: usize, is_ready: bool) {
    let mut ready = ready.lock().unwrap();
    if is_ready {
        ready.insert(vm);
    } else {
        ready.remove(&vm);
    }
}

struct Sender {
    caller: Caller,
    vms: Vec<(usize, SocketAddr)>,
    ready: Ready,
    profile: &'static str,
}

impl Sender {
    async fn run(self, stopped: watch::Receiver<bool>) -> Vec<Record> {
        let mut in_flight = JoinSet::new();
        let mut ticks = interval(REQUEST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for number in 0..MAX_REQUESTS {
            ticks.tick().await;
            if *stopped.borrow() {
                break;
            }
            if let Some((vm, address)) = self.pick(number) {
                let request = request(number);
                in_flight.spawn(send(self.caller.clone(), vm, address, self.profile, request));
            }
        }
        let mut records = in_flight.join_all().await;
        records.sort_by_key(|record| record.sent);
        records
    }

    /// Picks a ready VM in round-robin order, or none if no VM is ready.
    fn pick(&self, number: u64) -> Option<(usize, SocketAddr)> {
        let ready = self.ready.lock().unwrap();
        let vms: Vec<_> = self.vms.iter().filter(|(vm, _)| ready.contains(vm)).collect();
        let turn = usize::try_from(number).unwrap().checked_rem(vms.len())?;
        vms.get(turn).map(|&&vm| vm)
    }
}

fn request(number: u64) -> Request {
    if number.is_multiple_of(REQUESTS_PER_OPERATION) {
        return Request::Operate(Operation::new(number));
    }
    let word = usize::try_from(number).unwrap() % BODY_WORDS.len();
    Request::Search(BODY_WORDS[word])
}

async fn send(
    caller: Caller,
    vm: usize,
    address: SocketAddr,
    profile: &'static str,
    request: Request,
) -> Record {
    let sent = Instant::now();
    let outcome = match &request {
        Request::Search(text) => caller.search(address, profile, text).await,
        Request::Operate(operation) => {
            caller.operate(address, &operation.key, &operation.body).await
        }
    };
    let outcome = outcome.map_err(|e| format!("no answer: {e:?}"));
    Record { vm, sent, took: sent.elapsed(), request, outcome }
}
