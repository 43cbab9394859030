//! Starts and shuts down one VM: its threads, and the channels between them.
//!
//! The control thread and each traffic thread have a runtime of their own. This
//! module makes the channels between the threads and the clients on them, and
//! decides nothing. See `docs/DESIGN.md`.

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
    memory,
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
    memory::{Ledger, Observer, descriptors},
    metric::Metrics,
    settings::Settings,
    traffic::Ready,
};

/// The thread number in the lanes of control threads.
const CONTROL_THREAD: u16 = u16::MAX;

/// Why a VM could not be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The operation that failed.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Error {}

/// The settings, clients and signals that all threads of a VM share.
#[derive(Clone)]
struct Shared {
    settings: Arc<Settings>,
    row: view::Vm,
    clock: System,
    writer: Writer,
    metrics: Arc<Metrics>,
    /// What the process holds for others.
    ledger: Ledger,
    control: Handle,
    shutdown: watch::Receiver<bool>,
    stop: watch::Receiver<bool>,
    ready: watch::Receiver<bool>,
}

impl Shared {
    /// Returns the encoder of the metrics for the fronts.
    fn exporter(&self) -> meter::Exporter {
        meter::Exporter {
            metrics: Arc::clone(&self.metrics),
            writer: self.writer.clone(),
            ledger: self.ledger.clone(),
        }
    }

    fn log(&self, event: Event, fields: Vec<(&'static str, String)>) {
        self.writer.write(&Line::new(event, fields), self.clock.now());
    }
}

/// A running VM.
pub struct Vm {
    shared: Shared,
    idle: watch::Receiver<bool>,
    serving: mpsc::Receiver<()>,
    shutdown: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
    _log: Guard,
}

/// Starts a VM with the default policies.
pub fn start(settings: Settings, output: Output) -> Result<Vm, Report<Error>> {
    start_with(settings, output, Policies::default)
}

/// Starts a VM: binds its addresses, then starts its threads. `policies` is
/// called once for each traffic thread; only measurements pass other policies
/// than the default ones.
pub fn start_with(
    settings: Settings,
    output: Output,
    policies: policy::Factory,
) -> Result<Vm, Report<Error>> {
    let listeners = listen::bind(&settings.listen)?;
    let (writer, log) = Writer::new(&settings.log, &settings.vm.name, output);
    let (control, inbox) = crate::control::channel();
    let (shutdown, shutdown_receiver) = watch::channel(false);
    let (stop, stop_receiver) = watch::channel(false);
    let (ready, ready_receiver) = Ready::new(thread_number(listeners.traffic.len()));
    let clock = System::start();
    let metrics = Arc::new(Metrics::new());
    let observer = Observer { writer: writer.clone(), metrics: Arc::clone(&metrics) };
    let held = memory::Limits::new(settings.memory.vm_bytes(), descriptors());
    let ledger = Ledger::new(held, clock, Some(observer));
    let shared = Shared {
        row: view_row(&settings),
        settings: Arc::new(settings),
        clock,
        writer,
        metrics,
        ledger,
        control,
        shutdown: shutdown_receiver,
        stop: stop_receiver,
        ready: ready_receiver,
    };
    let (serving_sender, serving) = mpsc::channel(1);
    let common = Common { ready, serving: serving_sender.clone(), policies };
    let (mut threads, notices) = start_traffic(&shared, listeners.traffic, &common)?;
    drop(common);
    let (idle_sender, idle) = watch::channel(false);
    let resources = control::Resources {
        inbox,
        notices,
        idle: idle_sender,
        peers: listeners.control,
        operators: listeners.operators,
        serving: serving_sender,
    };
    let control = control::spawn(shared.clone(), resources);
    threads.push(control.change_context_lazy(|| cannot_start("control"))?);
    shared.log(Event::Started, vec![("callers", shared.settings.listen.callers.to_string())]);
    Ok(Vm { shared, idle, serving, shutdown, stop, threads, _log: log })
}

/// What each traffic thread gets a copy of, beyond [`Shared`].
struct Common {
    ready: Ready,
    serving: mpsc::Sender<()>,
    policies: policy::Factory,
}

/// The traffic threads and the channels for notices to them, by thread number.
type Traffic = (Vec<thread::JoinHandle<()>>, Vec<mpsc::UnboundedSender<Notice>>);

/// Starts one traffic thread for each item of `sockets`.
fn start_traffic(
    shared: &Shared,
    sockets: Vec<listen::Traffic>,
    common: &Common,
) -> Result<Traffic, Report<Error>> {
    let mut threads = Vec::new();
    let mut notices = Vec::new();
    for (index, sockets) in sockets.into_iter().enumerate() {
        let (sender, receiver) = mpsc::unbounded_channel();
        let resources = traffic::Resources {
            number: thread_number(index),
            callers: sockets.callers,
            peers: sockets.peers,
            notices: receiver,
            ready: common.ready.clone(),
            serving: common.serving.clone(),
            policies: common.policies,
        };
        let thread = traffic::spawn(shared.clone(), resources);
        threads.push(thread.change_context_lazy(|| cannot_start("traffic"))?);
        notices.push(sender);
    }
    Ok((threads, notices))
}

/// Converts an index or a count of threads. The settings allow far fewer
/// threads than `u16` holds.
fn thread_number(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(CONTROL_THREAD)
}

fn cannot_start(thread: &str) -> Error {
    Error { detail: format!("the {thread} thread could not be started") }
}

/// Makes the row of this VM in the view. Its incarnation is the wall-clock time
/// of its start in milliseconds.
fn view_row(settings: &Settings) -> view::Vm {
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

    /// Shuts the VM down without cutting a request. The VM reports that it is
    /// not ready and that it is leaving, goes on taking requests until the
    /// balancer and the other VMs have had time to learn of it, and then
    /// finishes what is open. Returns false if something was still open after
    /// the limit.
    pub async fn leave(mut self) -> bool {
        self.shared.control.leave();
        sleep(self.shared.settings.shutdown.announce).await;
        self.shutdown.send_replace(true);
        let limit = self.shared.settings.shutdown.limit;
        let is_idle = timeout(limit, self.finish()).await == Ok(true);
        self.stop.send_replace(true);
        for thread in self.threads.drain(..) {
            // A thread that panicked has nothing left to finish.
            let _ = thread.join();
        }
        let finished = if is_idle { "all" } else { "not all" };
        self.shared.log(Event::Stopped, vec![("finished", finished.to_owned())]);
        is_idle
    }

    /// Waits until the fronts have answered the requests that they took, then
    /// until no leg of another VM's query is in flight here.
    async fn finish(&mut self) -> bool {
        // Nothing is ever sent; the channel closes when the last front has
        // ended.
        let _ = self.serving.recv().await;
        self.idle.wait_for(|idle| *idle).await.is_ok()
    }
}

/// Makes a runtime for one thread.
fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}
