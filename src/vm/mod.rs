//! One VM: its settings, its threads and what joins them.
//!
//! The control thread and the traffic threads have a runtime each; this module
//! makes the channels between them and the clients on them, and decides
//! nothing. See `docs/DESIGN.md`.

mod control;
pub mod limits;
mod listen;
mod messenger;
mod meter;
mod traffic;

use std::{
    fmt, io,
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    log::{Event, Line},
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
    fn text(&self) -> meter::Text {
        meter::Text { metrics: Arc::clone(&self.metrics), writer: self.writer.clone() }
    }
}

/// A VM that runs.
pub struct Vm {
    control: Handle,
    writer: Writer,
    clock: System,
    settings: Arc<Settings>,
    ready: watch::Receiver<bool>,
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
    policies: policy::Make,
) -> Result<Vm, Report<Error>> {
    let settings = Arc::new(settings);
    let clock = System::start();
    let (writer, log) = Writer::new(&settings.log, &settings.vm.name, output);
    let (control, inbox) = crate::control::channel();
    let (shutdown, shutdown_seen) = watch::channel(false);
    let (stop, stop_seen) = watch::channel(false);
    let threads = u16::try_from(settings.listen.traffic.len()).unwrap_or(CONTROL_THREAD);
    let (ready_sender, ready) = Ready::new(threads);
    let (idle_sender, idle) = watch::channel(false);
    let (serving_sender, serving) = mpsc::channel(1);
    let shared = Shared {
        row: row(&settings),
        settings: Arc::clone(&settings),
        clock,
        writer: writer.clone(),
        metrics: Arc::new(Metrics::new()),
        control: control.clone(),
        shutdown: shutdown_seen,
        stop: stop_seen,
        ready: ready.clone(),
    };
    let listeners = listen::bind(&settings.listen)?;
    let mut threads = Vec::new();
    let mut notices = Vec::new();
    for (number, pair) in listeners.traffic.into_iter().enumerate() {
        let (sender, receiver) = mpsc::unbounded_channel();
        notices.push(sender);
        let number = u16::try_from(number).unwrap_or(CONTROL_THREAD);
        let seed = traffic::Seed {
            number,
            callers: pair.callers,
            peers: pair.peers,
            notices: receiver,
            ready: ready_sender.clone(),
            serving: serving_sender.clone(),
            policies,
        };
        threads.push(traffic::spawn(shared.clone(), seed).change_context(cannot_start("traffic"))?);
    }
    drop(serving_sender);
    let seed = control::Seed {
        inbox,
        notices,
        idle: idle_sender,
        peers: listeners.control,
        operators: listeners.operators,
    };
    control::spawn(shared, seed).change_context(cannot_start("control"))?;
    let fields = vec![("callers", settings.listen.callers.to_string())];
    writer.write(&Line::new(Event::Started, fields), laburnum_core::border::Clock::now(&clock));
    Ok(Vm {
        control,
        writer,
        clock,
        settings,
        ready,
        idle,
        serving,
        shutdown,
        stop,
        threads,
        _log: log,
    })
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
        let mut ready = self.ready.clone();
        matches!(timeout(limit, ready.wait_for(|ready| *ready)).await, Ok(Ok(_)))
    }

    /// Shuts the VM down without cutting a request: it says that it is not
    /// ready and that it leaves, goes on taking requests until the balancer and
    /// the other VMs have had time to learn of it, then finishes what is open.
    /// It returns false if something was still open after the limit.
    pub async fn leave(mut self) -> bool {
        self.control.leave();
        sleep(self.settings.shutdown.announce).await;
        self.shutdown.send_replace(true);
        let limit = self.settings.shutdown.limit;
        let is_idle = timeout(limit, self.finish()).await == Ok(true);
        self.stop.send_replace(true);
        for thread in self.threads.drain(..) {
            // A thread that panicked has nothing more to finish.
            let _ = thread.join();
        }
        let finished = if is_idle { "all" } else { "not all" };
        self.log(Event::Stopped, vec![("finished", finished.to_owned())]);
        is_idle
    }

    /// Waits until the fronts have answered what they took, then until no leg of
    /// another VM is in flight either.
    async fn finish(&mut self) -> bool {
        // Nothing is ever sent; the channel closes with the last front.
        let _ = self.serving.recv().await;
        self.idle.wait_for(|idle| *idle).await.is_ok()
    }

    fn log(&self, event: Event, fields: Vec<(&'static str, String)>) {
        let now = laburnum_core::border::Clock::now(&self.clock);
        self.writer.write(&Line::new(event, fields), now);
    }
}

/// Makes a runtime for one thread.
fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}
