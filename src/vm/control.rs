//! Starts the control thread with its clients and listeners.

use std::{io, net, sync::Arc, thread};

use laburnum_core::{control::Setup, notice::Notice, view::Lane};
use laburnum_platform::store::Client;
use tokio::sync::{mpsc, watch};

use super::{CONTROL_THREAD, Shared, limits, messenger, meter};
use crate::{
    control::{self, Borders, Handle, Inbox, Json, Parts},
    log::journal::Journal,
    operator,
    settings::Settings,
    wire::{self, Body, Dialer},
};

/// The most frames that wait for the control thread. When the channel is full,
/// the senders are held back.
const MAX_FRAMES: usize = 1024;

/// The channels and sockets that only the control thread uses.
pub struct Resources {
    /// The receiving ends of the channels of the thread.
    pub inbox: Inbox,
    /// The channels for notices to the traffic threads, by thread number.
    pub notices: Vec<mpsc::UnboundedSender<Notice>>,
    /// Becomes true when the VM is leaving and has nothing in flight.
    pub idle: watch::Sender<bool>,
    /// The socket for the control threads of other VMs.
    pub peers: net::TcpListener,
    /// The socket for operators.
    pub operators: net::TcpListener,
    /// Dropped when the front of the operators has answered all requests that
    /// it took.
    pub serving: mpsc::Sender<()>,
}

/// Returns the key that all VMs of the deployment share.
pub fn deployment_key(settings: &Settings) -> wire::Key {
    wire::Key::from(&settings.deployment.key)
}

/// Starts the control thread with its clients and listeners.
pub fn spawn(shared: Shared, resources: Resources) -> io::Result<thread::JoinHandle<()>> {
    let setup = Setup {
        vm: shared.row.clone(),
        seeds: limits::seeds(&shared.settings),
        limits: limits::control(&shared.settings),
        claims: limits::claims(&shared.settings),
        seed: rand::random(),
        codec: Box::new(Json),
    };
    let clock = Box::new(shared.clock);
    let Resources { inbox, notices, idle, peers, operators, serving } = resources;
    let stop = shared.stop.clone();
    let borders = Box::new(move || {
        tokio::spawn(serve(operator_parts(&shared, operators), serving));
        borders(&shared, peers)
    });
    control::spawn(Parts { setup, inbox, threads: notices, clock, borders, idle, stop })
}

fn operator_parts(shared: &Shared, listener: net::TcpListener) -> operator::Parts {
    operator::Parts {
        listener,
        operators: shared.settings.operators.clone(),
        ledger: shared.ledger.clone(),
        handle: shared.control.clone(),
        ready: shared.ready.clone(),
        metrics: Arc::new(shared.exporter()),
        shutdown: shared.shutdown.clone(),
    }
}

async fn serve(front: operator::Parts, serving: mpsc::Sender<()>) -> io::Result<()> {
    let ended = operator::serve(front).await;
    drop(serving);
    ended
}

fn borders(shared: &Shared, peers: net::TcpListener) -> Borders {
    let own = Lane { vm: shared.row.name.clone(), thread: CONTROL_THREAD };
    let key = deployment_key(&shared.settings);
    let wire_limits = limits::wire(&shared.settings);
    let (frames, receiver) = mpsc::channel(MAX_FRAMES);
    let admission = wire::Admission {
        own: own.clone(),
        keys: vec![key.digest()],
        limits: wire_limits,
        ledger: shared.ledger.clone(),
    };
    tokio::spawn(wire::listen(peers, admission, frames));
    tokio::spawn(forward_messages(receiver, shared.control.clone()));
    // The receiver is dropped, so that losses are ignored: the probes of the
    // membership find a peer that is gone.
    let (losses, _) = mpsc::unbounded_channel();
    let dialer = Dialer::new(own, shared.row.incarnation, key, wire_limits, losses)
        .with_ledger(shared.ledger.clone());
    Borders {
        platform: Box::new(platform_client(shared)),
        messenger: Box::new(messenger::Wire::new(dialer)),
        journal: Box::new(Journal { writer: shared.writer.clone(), clock: Box::new(shared.clock) }),
        meter: Box::new(meter::Control::new(
            Arc::clone(&shared.metrics),
            shared.writer.clone(),
            shared.clock,
        )),
    }
}

fn platform_client(shared: &Shared) -> Client {
    let settings = &shared.settings;
    let (address, limit) = (settings.platform.address, settings.platform.call_timeout);
    Client::new(address, &settings.vm.name, limit, shared.control.outcomes())
}

/// Passes the messages of other VMs on to the control thread.
async fn forward_messages(mut frames: mpsc::Receiver<wire::Frame>, control: Handle) {
    while let Some(frame) = frames.recv().await {
        if let Body::Control(message) = frame.body {
            control.message(*message);
        }
    }
}
