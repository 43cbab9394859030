//! The traffic thread, which runs the engine, the front for callers and the client
//! of the targets.

use std::{sync::Arc, time::Duration};

use laburnum_core::{
    border::Clock,
    id::Origin,
    relay::{
        Answer, Call, Command, Engine, Event, Limits, Outbox, Quarantine, Reach, Suspicion, View,
        policy::Policies,
    },
    time::Instant,
};
use tokio::{
    sync::{
        mpsc::{self, UnboundedReceiver, unbounded_channel},
        watch,
    },
    time::sleep,
};

use super::{
    Listeners, Shared, front,
    handle::{Handle, Input},
    peer::{self, Peers},
    probe,
    target::Client,
};
use crate::{
    inbox::{Pending, take_ready},
    settings::relay::Settings,
    wire::{self, Body},
};

/// The longest sleep while no timer of the engine is set.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// The largest number of events, and of inputs, that one tick takes.
const MAX_BATCH: usize = 1024;

/// The sockets and channel ends that the traffic thread owns.
pub struct Resources {
    pub listeners: Listeners,
    /// Dropped when the front has answered all requests that it accepted, and this thread
    /// those that other VMs handed over.
    pub serving: mpsc::Sender<()>,
    /// Publishes whether this VM reaches larger VMs.
    pub reach: watch::Sender<Reach>,
    /// Reports the requests that the thread quarantines.
    pub quarantined: mpsc::UnboundedSender<Quarantine>,
    /// Reports what the thread found out about requests that may crash targets.
    pub found: mpsc::UnboundedSender<Vec<Suspicion>>,
    /// What other VMs found out.
    pub heard: UnboundedReceiver<Vec<Suspicion>>,
    /// Becomes true if a request was open at the end of the shutdown.
    pub cut_short: watch::Sender<bool>,
}

/// Runs the traffic thread until the VM stops.
pub async fn run(shared: Shared, resources: Resources) {
    let (inputs, input_receiver) = unbounded_channel();
    let (events, event_receiver) = unbounded_channel();
    let (peers, peer_inbox) = match peer::start(&shared, &resources.listeners) {
        Ok(started) => started,
        Err(error) => return log_port_failure(&shared, "peers", Err(error)),
    };
    let Resources { listeners, serving, reach, quarantined, found, heard, cut_short } = resources;
    serve_ports(&shared, listeners, serving.clone(), Handle::new(inputs));
    let (policies, origin) = (Policies::default(), Origin(rand::random()));
    let engine = Engine::new(limits(&shared.settings), policies, rand::random(), origin);
    let targets = Client::new(shared.ledger.clone(), events);
    let pending = Pending::default();
    let serving = Some(serving);
    let thread = Thread {
        engine,
        targets,
        peers,
        serving,
        reach,
        quarantined,
        found,
        cut_short,
        pending,
        shared,
    };
    let inbox = Inbox {
        inputs: input_receiver,
        events: event_receiver,
        peers: peer_inbox,
        heard,
        view: thread.shared.view.clone(),
        settings: thread.shared.latest.clone(),
        stop_at: thread.shared.stop_at.clone(),
        shutdown: thread.shared.shutdown.clone(),
        stop: thread.shared.stop.clone(),
    };
    thread.run(inbox).await;
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        vm: settings.vm.name.clone(),
        address: settings.listen.peers,
        domain: settings.vm.domain.clone(),
        retry_ratio: settings.retry.ratio,
        retry_slack: settings.retry.slack,
        retry_window: settings.retry.window,
    }
}

/// Starts to serve callers, probes and the collector of metrics.
fn serve_ports(shared: &Shared, listeners: Listeners, serving: mpsc::Sender<()>, handle: Handle) {
    let Listeners { callers, ready, metrics, .. } = listeners;
    let own = shared.clone();
    tokio::spawn(async move {
        let ended = front::serve(callers, handle, &own).await;
        drop(serving);
        log_port_failure(&own, "callers", ended);
    });
    let own = shared.clone();
    tokio::spawn(async move {
        let ended = probe::ready(ready, &own).await;
        log_port_failure(&own, "ready", ended);
    });
    if let Some(metrics) = metrics {
        let own = shared.clone();
        tokio::spawn(async move {
            let ended = probe::metrics(metrics, &own).await;
            log_port_failure(&own, "metrics", ended);
        });
    }
}

/// Logs the error with which the service of a port ended, if it did.
pub fn log_port_failure(shared: &Shared, port: &str, ended: std::io::Result<()>) {
    if let Err(error) = ended {
        let fields = vec![("port", port.to_owned()), ("detail", error.to_string())];
        shared.log(laburnum_core::log::Event::PortFailed, fields);
    }
}

/// The receiving ends of the thread's channels.
struct Inbox {
    inputs: UnboundedReceiver<Input>,
    events: UnboundedReceiver<Event>,
    peers: peer::Inbox,
    heard: UnboundedReceiver<Vec<Suspicion>>,
    view: watch::Receiver<Arc<View>>,
    settings: watch::Receiver<Arc<Settings>>,
    stop_at: watch::Receiver<Option<Instant>>,
    shutdown: watch::Receiver<bool>,
    stop: watch::Receiver<bool>,
}

/// The state of the thread.
struct Thread {
    engine: Engine,
    targets: Client,
    peers: Peers,
    /// Held until the VM accepts no further requests and owes no other VM an answer.
    serving: Option<mpsc::Sender<()>>,
    reach: watch::Sender<Reach>,
    quarantined: mpsc::UnboundedSender<Quarantine>,
    found: mpsc::UnboundedSender<Vec<Suspicion>>,
    cut_short: watch::Sender<bool>,
    pending: Pending<Call, Answer>,
    shared: Shared,
}

impl Thread {
    /// Waits for an event or the earliest timer, takes every event that is ready
    /// and runs one tick, until the VM stops.
    async fn run(mut self, mut inbox: Inbox) {
        let mut inputs = Vec::new();
        let mut events = Vec::new();
        let mut frames = Vec::new();
        loop {
            let wake = self.engine.wake();
            let pause =
                wake.map_or(MAX_SLEEP, |at| at.remaining(self.shared.clock.now()).min(MAX_SLEEP));
            tokio::select! {
                biased;
                _ = inbox.stop.wait_for(|stop| *stop) => return self.peers.close().await,
                changed = inbox.view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let view = Arc::clone(&inbox.view.borrow_and_update());
                    events.push(Event::View(view));
                }
                Ok(()) = inbox.settings.changed() => {
                    self.engine.set_limits(limits(&inbox.settings.borrow_and_update()));
                }
                Ok(()) = inbox.stop_at.changed() => {
                    let at = *inbox.stop_at.borrow_and_update();
                    events.extend(at.map(|at| Event::Stopping { at }));
                }
                Ok(()) = inbox.shutdown.changed() => {}
                // A channel that is closed gives nothing, at once and each time.
                1.. = inbox.peers.frames.recv_many(&mut frames, MAX_BATCH) => {}
                Some(lost) = inbox.peers.losses.recv() => {
                    events.push(Event::HopLost { to: lost.to.vm, detail: lost.detail, maybe_received: lost.maybe_received });
                }
                Some(heard) = inbox.heard.recv() => events.push(Event::Suspicions(heard)),
                1.. = inbox.events.recv_many(&mut events, MAX_BATCH) => {}
                1.. = inbox.inputs.recv_many(&mut inputs, MAX_BATCH) => {}
                () = sleep(pause) => {}
            }
            // A request and its withdrawal may both have waited while this VM was paused.
            events.extend(frames.drain(..).filter_map(hop_event));
            take_ready(&mut inbox.events, &mut events, MAX_BATCH);
            take_ready(&mut inbox.inputs, &mut inputs, MAX_BATCH);
            self.tick(&mut inputs, &mut events);
            if *inbox.shutdown.borrow() && !self.engine.owes_answers() {
                self.serving = None;
            }
        }
    }

    /// Runs one tick of the engine over the inputs and events.
    fn tick(&mut self, inputs: &mut Vec<Input>, events: &mut Vec<Event>) {
        for event in events.iter() {
            if let Event::Closed { connection, .. } = event {
                self.targets.remove(*connection);
            }
        }
        let mut batch = std::mem::take(events);
        let abandoned = |call| Event::Abandoned { call };
        batch.extend(inputs.drain(..).map(|input| self.pending.register(input, abandoned)));
        let mut out = Outbox::default();
        self.engine.tick(self.shared.clock.now(), batch, &mut out);
        self.flush(out);
        let reach = self.engine.reach(self.shared.clock.now());
        let is_cut_short = self.engine.is_cut_short();
        self.cut_short
            .send_if_modified(|last| std::mem::replace(last, is_cut_short) != is_cut_short);
        self.reach.send_if_modified(|last| std::mem::replace(last, reach) != reach);
    }

    /// Passes the output of a tick on to its receivers.
    fn flush(&mut self, out: Outbox) {
        for command in out.commands {
            match command {
                Command::Hop { to, address, hop } => self.peers.send(&to, address, hop),
                Command::Open { .. } | Command::Send { .. } | Command::Close { .. } => {
                    self.targets.command(command);
                }
            }
        }
        for (call, answer) in out.answers {
            self.pending.answer(call, answer);
        }
        for quarantine in out.quarantined {
            // The receiver is dropped only when the VM stops.
            let _ = self.quarantined.send(quarantine);
        }
        if !out.suspicions.is_empty() {
            // Dropped only when the VM stops, too.
            let _ = self.found.send(out.suspicions);
        }
        let now = self.shared.clock.now();
        for line in &out.lines {
            self.shared.writer.write(line, now);
        }
        self.shared.metrics.add(&out.counts);
    }
}

/// Returns the event for a frame of another VM; the relay ignores other frames.
fn hop_event(frame: wire::Frame) -> Option<Event> {
    match frame.body {
        Body::Relay(hop) if frame.has_room => Some(Event::Hop { from: frame.from.vm, hop: *hop }),
        Body::Relay(hop) => Some(Event::HopUnheld { from: frame.from.vm, hop: *hop }),
        Body::Traffic(_) | Body::Control(_) => None,
    }
}
