//! One VM: its settings, its threads and what joins them.
//!
//! The control thread and the traffic threads have a runtime each; this module
//! makes the channels between them and the clients on them, and decides
//! nothing. See `docs/DESIGN.md`.

mod control;
pub mod limits;
mod listen;
mod messenger;
pub mod meter;
mod traffic;

use std::{
    fmt, io,
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    border::Clock,
    log::{Event, Line},
    notice::Notice,
    traffic::{Policies, policy},
    view,
};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use crate::{
    clock::System,
    control::Handle,
    log::{Guard, Writer, drain::Output},
    metric::Metrics,
    settings::Settings,
    traffic::Ready,
};

/// The thread number under which control threads send to each other.
const CONTROL_THREAD: u16 = u16::MAX;

/// Why a VM could not be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What could not be done.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Error {}

/// What the threads of a VM share.
#[derive(Clone)]
struct Shared {
    settings: Arc<Settings>,
    row: view::Vm,
    clock: System,
    writer: Writer,
    metrics: Arc<Metrics>,
    control: Handle,
    shutdown: watch::Receiver<bool>,
    stop: watch::Receiver<bool>,
    ready: watch::Receiver<bool>,
}

impl Shared {
    /// The metrics as the fronts show them.
    fn text(&self) -> meter::Exporter {
        meter::Exporter { metrics: Arc::clone(&self.metrics), writer: self.writer.clone() }
    }

    fn log(&self, event: Event, fields: Vec<(&'static str, String)>) {
        self.writer.write(&Line::new(event, fields), self.clock.now());
    }
}

/// A VM that runs.
pub struct Vm {
    shared: Shared,
    idle: watch::Receiver<bool>,
    serving: mpsc::Receiver<()>,
    shutdown: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
    _log: Guard,
}

/// Starts a VM with the policies of the product.
pub fn start(settings: Settings, output: Output) -> Result<Vm, Report<Error>> {
    start_with(settings, output, Policies::default)
}

/// Starts a VM: binds its addresses, then starts its threads. `policies` is
/// called once for each traffic thread; only measurements give other ones.
pub fn start_with(
    settings: Settings,
    output: Output,
    policies: policy::Factory,
) -> Result<Vm, Report<Error>> {
    let listeners = listen::bind(&settings.listen)?;
    let (writer, log) = Writer::new(&settings.log, &settings.vm.name, output);
    let (control, inbox) = crate::control::channel();
    let (shutdown, shutdown_seen) = watch::channel(false);
    let (stop, stop_seen) = watch::channel(false);
    let (ready, ready_seen) = Ready::new(number(listeners.traffic.len()));
    let shared = Shared {
        row: row(&settings),
        settings: Arc::new(settings),
        clock: System::start(),
        writer,
        metrics: Arc::new(Metrics::new()),
        control,
        shutdown: shutdown_seen,
        stop: stop_seen,
        ready: ready_seen,
    };
    let (serving_sender, serving) = mpsc::channel(1);
    let common = Common { ready, serving: serving_sender.clone(), policies };
    let (mut threads, notices) = start_traffic(&shared, listeners.traffic, &common)?;
    drop(common);
    let (idle_sender, idle) = watch::channel(false);
    let seed = control::Resources {
        inbox,
        notices,
        idle: idle_sender,
        peers: listeners.control,
        operators: listeners.operators,
        serving: serving_sender,
    };
    let control = control::spawn(shared.clone(), seed);
    threads.push(control.change_context_lazy(|| cannot_start("control"))?);
    shared.log(Event::Started, vec![("callers", shared.settings.listen.callers.to_string())]);
    Ok(Vm { shared, idle, serving, shutdown, stop, threads, _log: log })
}

/// What the traffic threads are given alike.
struct Common {
    ready: Ready,
    serving: mpsc::Sender<()>,
    policies: policy::Factory,
}

/// The traffic threads and the ways to tell them something.
type Traffic = (Vec<thread::JoinHandle<()>>, Vec<mpsc::UnboundedSender<Notice>>);

/// Starts one traffic thread for each pair of sockets.
fn start_traffic(
    shared: &Shared,
    sockets: Vec<listen::Pair>,
    common: &Common,
) -> Result<Traffic, Report<Error>> {
    let mut threads = Vec::new();
    let mut notices = Vec::new();
    for (index, pair) in sockets.into_iter().enumerate() {
        let (sender, receiver) = mpsc::unbounded_channel();
        let seed = traffic::Resources {
            number: number(index),
            callers: pair.callers,
            peers: pair.peers,
            notices: receiver,
            ready: common.ready.clone(),
            serving: common.serving.clone(),
            policies: common.policies,
        };
        let thread = traffic::spawn(shared.clone(), seed);
        threads.push(thread.change_context_lazy(|| cannot_start("traffic"))?);
        notices.push(sender);
    }
    Ok((threads, notices))
}

/// The settings allow far fewer threads than the numbers reach.
fn number(threads: usize) -> u16 {
    u16::try_from(threads).unwrap_or(CONTROL_THREAD)
}

fn cannot_start(thread: &str) -> Error {
    Error { detail: format!("the {thread} thread could not be started") }
}

/// The VM as others know it. Its incarnation is the time of its start.
fn row(settings: &Settings) -> view::Vm {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    view::Vm {
        name: settings.vm.name.clone(),
        domain: settings.vm.domain.clone(),
        incarnation: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        state: view::State::Live,
        control: settings.listen.control,
        traffic: settings.listen.traffic.clone(),
    }
}

impl Vm {
    /// Waits until the VM takes requests, or until `limit` has passed.
    pub async fn ready(&self, limit: Duration) -> bool {
        let mut ready = self.shared.ready.clone();
        matches!(timeout(limit, ready.wait_for(|ready| *ready)).await, Ok(Ok(_)))
    }

    /// Shuts the VM down without cutting a request: it says that it is not
    /// ready and that it leaves, goes on taking requests until the balancer and
    /// the other VMs have had time to learn of it, then finishes what is open.
    /// It returns false if something was still open after the limit.
    pub async fn leave(mut self) -> bool {
        self.shared.control.leave();
        sleep(self.shared.settings.shutdown.announce).await;
        self.shutdown.send_replace(true);
        let limit = self.shared.settings.shutdown.limit;
        let is_idle = timeout(limit, self.finish()).await == Ok(true);
        self.stop.send_replace(true);
        for thread in self.threads.drain(..) {
            // A thread that panicked has nothing more to finish.
            let _ = thread.join();
        }
        let finished = if is_idle { "all" } else { "not all" };
        self.shared.log(Event::Stopped, vec![("finished", finished.to_owned())]);
        is_idle
    }

    /// Waits until the fronts have answered what they took, then until no leg of
    /// another VM is in flight either.
    async fn finish(&mut self) -> bool {
        // Nothing is ever sent; the channel closes with the last front.
        let _ = self.serving.recv().await;
        self.idle.wait_for(|idle| *idle).await.is_ok()
    }
}

/// Makes a runtime for one thread.
fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}
