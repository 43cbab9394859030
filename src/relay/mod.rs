//! A VM that forwards requests by route: its threads, sockets and clients.
//!
//! One control thread keeps the configuration and the list of targets up to date;
//! one traffic thread serves callers and calls targets. The decisions are made in
//! `laburnum_core::relay`.

pub mod control;
pub mod front;
pub mod guard;
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
    time::Duration,
};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    border::Clock,
    log::{Event, Line},
    memory,
    relay::{Reach, View},
    time::Instant,
};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use crate::{
    clock::System,
    log::{Guard, Writer, drain::Output},
    memory::{Ledger, Observer, descriptors},
    metric::Metrics,
    settings::relay::Settings,
    vm::{Error, meter},
};

/// The time before the limit of a shutdown in which the last answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// What the threads of the VM share.
#[derive(Clone)]
pub struct Shared {
    /// The settings at the start.
    pub settings: Arc<Settings>,
    /// The settings as they were last read.
    pub latest: watch::Receiver<Arc<Settings>>,
    pub clock: System,
    pub writer: Writer,
    pub metrics: Arc<Metrics>,
    /// What the process holds for others.
    pub ledger: Ledger,
    /// The view that the control thread published last.
    pub view: watch::Receiver<Arc<View>>,
    /// Whether the VM accepts requests.
    pub ready: watch::Receiver<bool>,
    /// When every request is to be answered, once the VM shuts down.
    pub stop_at: watch::Receiver<Option<Instant>>,
    /// Becomes true when the VM accepts no further connections.
    pub shutdown: watch::Receiver<bool>,
    /// Becomes true when the threads are to end.
    pub stop: watch::Receiver<bool>,
}

impl Shared {
    /// Returns the encoder of the metrics for the fronts.
    pub fn exporter(&self) -> meter::Exporter {
        meter::Exporter {
            metrics: Arc::clone(&self.metrics),
            writer: self.writer.clone(),
            ledger: self.ledger.clone(),
        }
    }

    /// Writes a line to the log.
    pub fn log(&self, event: Event, fields: Vec<(&'static str, String)>) {
        self.writer.write(&Line::new(event, fields), self.clock.now());
    }
}

/// The listening sockets; the one for metrics may be missing.
pub struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    metrics: Option<TcpListener>,
}

/// A running VM.
pub struct Relay {
    shared: Shared,
    latest: watch::Sender<Arc<Settings>>,
    serving: mpsc::Receiver<()>,
    leaving: watch::Sender<bool>,
    stop_at: watch::Sender<Option<Instant>>,
    cut_short: watch::Receiver<bool>,
    shutdown: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
    ended: guard::Ended,
    _log: Guard,
}

/// Starts a VM: binds its addresses, then starts its threads. An error says which
/// address or thread failed.
pub fn start(settings: Settings, output: Output) -> Result<Relay, Report<Error>> {
    let (writer, log) = Writer::new(&settings.log, &settings.vm.name, output);
    let clock = System::start();
    let (view_sender, view) = watch::channel(Arc::default());
    let (ready_sender, ready) = watch::channel(false);
    let (leaving, leaving_receiver) = watch::channel(false);
    let (stop_at, stop_at_receiver) = watch::channel(None);
    let (cut_short_sender, cut_short) = watch::channel(false);
    let (shutdown, shutdown_receiver) = watch::channel(false);
    let (stop, stop_receiver) = watch::channel(false);
    let metrics = Arc::new(Metrics::new());
    let observer = Observer { writer: writer.clone(), metrics: Arc::clone(&metrics) };
    let held = memory::Limits::new(settings.memory.vm_bytes(), descriptors());
    let ledger = Ledger::new(held, clock, Some(observer));
    let settings = Arc::new(settings);
    let (latest, latest_receiver) = watch::channel(Arc::clone(&settings));
    let shared = Shared {
        settings,
        latest: latest_receiver,
        clock,
        writer,
        metrics,
        ledger,
        view,
        ready,
        stop_at: stop_at_receiver,
        shutdown: shutdown_receiver,
        stop: stop_receiver,
    };
    let listeners = bind(&shared)?;
    let (serving_sender, serving) = mpsc::channel(1);
    let (reach_sender, reach) = watch::channel(Reach::Served);
    let (quarantined_sender, quarantined) = mpsc::unbounded_channel();
    let (found_sender, found) = mpsc::unbounded_channel();
    let (heard_sender, heard) = mpsc::unbounded_channel();
    let control = control::Resources {
        view: view_sender,
        ready: ready_sender,
        leaving: leaving_receiver,
        reach,
        quarantined,
        found,
        heard: heard_sender,
    };
    let (for_control, for_traffic) = (shared.clone(), shared.clone());
    let ended = guard::Ended::default();
    let error = |name: &str| Error { detail: format!("the {name} thread could not be started") };
    let control = guard::spawn("control", &ended, move || control::run(for_control, control))
        .change_context_lazy(|| error("control"))?;
    let resources = traffic::Resources {
        listeners,
        serving: serving_sender,
        reach: reach_sender,
        quarantined: quarantined_sender,
        found: found_sender,
        heard,
        cut_short: cut_short_sender,
    };
    let traffic = guard::spawn("traffic", &ended, move || traffic::run(for_traffic, resources))
        .change_context_lazy(|| error("traffic"))?;
    let address = shared.settings.listen.callers.to_string();
    shared.log(Event::Started, vec![("callers", address)]);
    let threads = vec![control, traffic];
    Ok(Relay {
        shared,
        latest,
        serving,
        leaving,
        stop_at,
        cut_short,
        shutdown,
        stop,
        threads,
        ended,
        _log: log,
    })
}

/// Binds the addresses of the settings. A failure to bind the one for metrics is
/// only logged.
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
            // Requests can be served without metrics.
            let fields =
                vec![("address", listen.metrics.to_string()), ("detail", error.to_string())];
            shared.log(Event::MetricsUnavailable, fields);
            None
        }
    };
    Ok(Listeners { callers, ready, peers, metrics })
}

impl Relay {
    /// Puts settings in force that were read again. Only the limits on callers, the
    /// retry budget and the times of the shutdown change in a running VM; changes to
    /// names, addresses and the log need a restart.
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

    /// Logs that the settings could not be read again; the earlier ones stay in force.
    pub fn log_unreadable_settings(&self, detail: String) {
        self.shared.log(Event::SettingsUnreadable, vec![("detail", detail)]);
    }

    /// Waits until a thread has ended although the VM was not shut down. The VM serves
    /// nothing any more, so its process must end.
    pub async fn failed(&self) {
        self.ended.wait().await;
        self.shared.log(Event::ThreadEnded, Vec::new());
    }

    /// Shuts the VM down without interrupting a request. The VM reports that it is
    /// not ready, accepts requests until the balancer has noticed that, then
    /// finishes the open ones, also those that other VMs handed over. Shortly before the
    /// limit, what is still open is answered without a reply of a target. Returns false if
    /// there was anything.
    pub async fn shut_down(mut self) -> bool {
        self.shared.log(Event::Leaving, Vec::new());
        self.leaving.send_replace(true);
        let limits = self.latest.borrow().shutdown;
        let answer_by = self.shared.clock.now() + limits.limit.saturating_sub(ANSWER_TIME);
        self.stop_at.send_replace(Some(answer_by));
        sleep(limits.announce).await;
        self.shutdown.send_replace(true);
        let rest = limits.limit.saturating_sub(limits.announce);
        // Nothing is ever sent: the channel closes when the front and the traffic thread
        // have finished.
        let is_idle = timeout(rest, self.serving.recv()).await.is_ok();
        let is_idle = is_idle && !*self.cut_short.borrow();
        let finished = if is_idle { "all" } else { "not all" };
        self.shared.log(Event::Stopped, vec![("finished", finished.to_owned())]);
        self.stop.send_replace(true);
        for thread in self.threads.drain(..) {
            // A thread that panicked has no work left.
            let _ = thread.join();
        }
        is_idle
    }
}
