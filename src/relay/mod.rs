//! A VM that forwards requests by route: its threads, sockets and clients.
//!
//! One control thread keeps the configuration and the list of targets; one
//! traffic thread serves callers and targets. Neither decides anything; see
//! `laburnum_core::relay`.

pub mod control;
pub mod front;
pub mod handle;
pub mod datagram;
pub mod peer;
pub mod probe;
pub mod target;
pub mod traffic;

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    border::Clock,
    log::{Event, Line},
    relay::View,
};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use crate::{
    clock::System,
    log::{Guard, Writer, drain::Output},
    metric::Metrics,
    settings::relay::Settings,
    vm::{Error, meter},
};

/// The stack of a thread in bytes, which its depth of calls does not need half
/// of.
const STACK: usize = 512 << 10;

/// What the threads of the VM share.
#[derive(Clone)]
pub struct Shared {
    /// The settings of the start.
    pub settings: Arc<Settings>,
    /// The settings as they were read last.
    pub latest: watch::Receiver<Arc<Settings>>,
    /// The clocks.
    pub clock: System,
    /// The log.
    pub writer: Writer,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// What the control thread knows.
    pub view: watch::Receiver<Arc<View>>,
    /// Whether the VM takes requests.
    pub ready: watch::Receiver<bool>,
    /// Turns true when the VM takes no new connections.
    pub shutdown: watch::Receiver<bool>,
    /// Turns true when the threads are to end.
    pub stop: watch::Receiver<bool>,
}

impl Shared {
    /// The metrics as text.
    pub fn text(&self) -> meter::Exporter {
        meter::Exporter { metrics: Arc::clone(&self.metrics), writer: self.writer.clone() }
    }

    /// Writes a line of the log.
    pub fn log(&self, event: Event, fields: Vec<(&'static str, String)>) {
        self.writer.write(&Line::new(event, fields), self.clock.now());
    }
}

/// The listening sockets.
pub struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

/// A VM that runs.
pub struct Relay {
    shared: Shared,
    latest: watch::Sender<Arc<Settings>>,
    serving: mpsc::Receiver<()>,
    leaving: watch::Sender<bool>,
    shutdown: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
    _log: Guard,
}

/// Starts a VM: binds its addresses, then starts its threads.
pub fn start(settings: Settings, output: Output) -> Result<Relay, Report<Error>> {
    let (writer, log) = Writer::new(&settings.log, &settings.vm.name, output);
    let clock = System::start();
    let (view_sender, view) = watch::channel(Arc::default());
    let (ready_sender, ready) = watch::channel(false);
    let (leaving, leaving_seen) = watch::channel(false);
    let (shutdown, shutdown_seen) = watch::channel(false);
    let (stop, stop_seen) = watch::channel(false);
    let settings = Arc::new(settings);
    let (latest, latest_seen) = watch::channel(Arc::clone(&settings));
    let shared = Shared {
        settings,
        latest: latest_seen,
        clock,
        writer,
        metrics: Arc::new(Metrics::new()),
        view,
        ready,
        shutdown: shutdown_seen,
        stop: stop_seen,
    };
    let listeners = bind(&shared)?;
    let (serving_sender, serving) = mpsc::channel(1);
    let (alone_sender, alone) = watch::channel(false);
    let (held_sender, held) = mpsc::unbounded_channel();
    let control = control::Seed {
        view: view_sender,
        ready: ready_sender,
        leaving: leaving_seen,
        alone,
        held,
    };
    let (for_control, for_traffic) = (shared.clone(), shared.clone());
    let control = spawn("control", move || control::run(for_control, control))?;
    let seed = traffic::Seed {
        listeners,
        serving: serving_sender,
        alone: alone_sender,
        held: held_sender,
    };
    let traffic = spawn("traffic", move || traffic::run(for_traffic, seed))?;
    let address = shared.settings.listen.callers.to_string();
    shared.log(Event::Started, vec![("callers", address)]);
    let threads = vec![control, traffic];
    Ok(Relay { shared, latest, serving, leaving, shutdown, stop, threads, _log: log })
}

/// Runs a task on a thread of its own, where it is made.
fn spawn<T: Future<Output = ()>>(
    name: &str,
    task: impl FnOnce() -> T + Send + 'static,
) -> Result<thread::JoinHandle<()>, Report<Error>> {
    let error = || Error { detail: format!("the {name} thread could not be started") };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.change_context_lazy(error)?;
    let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK);
    builder.spawn(move || runtime.block_on(task())).change_context_lazy(error)
}

fn bind(shared: &Shared) -> Result<Listeners, Report<Error>> {
    let listen = &shared.settings.listen;
    let open = |address: SocketAddr| {
        TcpListener::bind(address)
            .change_context_lazy(|| Error { detail: format!("cannot listen on {address}") })
    };
    let (callers, ready) = (open(listen.callers)?, open(listen.ready)?);
    let peers = open(listen.peers)?;
    let metrics = match TcpListener::bind(listen.metrics) {
        Ok(listener) => Some(listener),
        Err(error) => {
            // Requests are served without a collector.
            let fields =
                vec![("address", listen.metrics.to_string()), ("detail", error.to_string())];
            shared.log(Event::MetricsUnavailable, fields);
            None
        }
    };
    Ok(Listeners { callers, ready, peers, metrics })
}

impl Relay {
    /// Puts settings in force that were read again, as far as a VM that runs can
    /// change: limits on callers, the retry budget and how it shuts down. Names,
    /// addresses and the log hold until the next start.
    pub fn reload(&self, settings: Settings) {
        let fields = vec![
            ("retry_ratio", settings.retry.ratio.to_string()),
            ("retry_slack", settings.retry.slack.to_string()),
            ("announce_ms", settings.shutdown.announce.as_millis().to_string()),
            ("limit_ms", settings.shutdown.limit.as_millis().to_string()),
        ];
        self.latest.send_replace(Arc::new(settings));
        self.shared.log(Event::SettingsChanged, fields);
    }

    /// Notes that the settings could not be read again.
    pub fn keep(&self, detail: String) {
        self.shared.log(Event::SettingsUnreadable, vec![("detail", detail)]);
    }

    /// Shuts the VM down without cutting a request: it says that it is not
    /// ready, goes on taking requests until the balancer has learnt of it, then
    /// finishes what is open. It returns false if something was still open after
    /// the limit.
    pub async fn leave(mut self) -> bool {
        self.shared.log(Event::Leaving, Vec::new());
        self.leaving.send_replace(true);
        let limits = self.latest.borrow().shutdown;
        sleep(limits.announce).await;
        self.shutdown.send_replace(true);
        let rest = limits.limit.saturating_sub(limits.announce);
        // Nothing is ever sent; the channel closes with the front.
        let is_idle = timeout(rest, self.serving.recv()).await.is_ok();
        let finished = if is_idle { "all" } else { "not all" };
        self.shared.log(Event::Stopped, vec![("finished", finished.to_owned())]);
        self.stop.send_replace(true);
        for thread in self.threads.drain(..) {
            // A thread that panicked has nothing more to finish.
            let _ = thread.join();
        }
        is_idle
    }
}
