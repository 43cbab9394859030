//! Starts a traffic thread with its front, its clients and its listeners.

use std::{cell::RefCell, collections::BTreeMap, io, net, rc::Rc, sync::Arc, thread};

use laburnum_core::{
    border::Peers,
    id::Origin,
    message::Message,
    notice::{Notice, Report},
    traffic::{self as decisions, Engine, policy},
    view::Lane,
};
use tokio::sync::mpsc;

use super::{Shared, limits, meter, runtime};
use crate::{
    control, front,
    log::journal::Journal,
    target,
    traffic::{self, Borders, Handle, Inbox, Parts, Ready},
    wire::{self, Dialer},
};

/// The most frames that wait for a traffic thread. When the channel is full,
/// the senders are held back.
const MAX_FRAMES: usize = 4096;

/// The channels, sockets and policies that only one traffic thread uses.
pub struct Resources {
    /// The number of the thread.
    pub number: u16,
    /// The socket for callers.
    pub callers: net::TcpListener,
    /// The socket for other traffic threads.
    pub peers: net::TcpListener,
    /// Notices from the control thread.
    pub notices: mpsc::UnboundedReceiver<Notice>,
    /// Records whether the thread can answer callers.
    pub ready: Ready,
    /// Dropped when the front has answered all requests that it took.
    pub serving: mpsc::Sender<()>,
    /// Makes the policies of the thread.
    pub policies: policy::Factory,
}

/// Starts a traffic thread with its front, clients and listeners. It ends when
/// the VM stops.
pub fn spawn(shared: Shared, resources: Resources) -> io::Result<thread::JoinHandle<()>> {
    let runtime = runtime()?;
    let name = format!("traffic-{}", resources.number);
    thread::Builder::new().name(name).spawn(move || runtime.block_on(run_thread(shared, resources)))
}

async fn run_thread(shared: Shared, resources: Resources) {
    let own = Lane { vm: shared.row.name.clone(), thread: resources.number };
    let (inputs, input_receiver) = mpsc::unbounded_channel();
    let (losses, loss_receiver) = mpsc::unbounded_channel();
    let (frames, frame_receiver) = mpsc::channel(MAX_FRAMES);
    let (events, event_receiver) = mpsc::unbounded_channel();
    let wire_limits = limits::wire(&shared.settings);
    let key = super::control::deployment_key(&shared.settings);
    let admission = wire::Admission {
        own: own.clone(),
        keys: vec![key.digest()],
        limits: wire_limits,
        ledger: shared.ledger.clone(),
    };
    let listener = tokio::spawn(wire::listen(resources.peers, admission, frames));
    let front = front::Parts {
        listener: resources.callers,
        limits: limits::callers(&shared.settings),
        ledger: shared.ledger.clone(),
        thread: resources.number,
        handle: Handle::new(inputs),
        ready: shared.ready.clone(),
        metrics: Arc::new(shared.exporter()),
        shutdown: shared.shutdown.clone(),
    };
    let front = tokio::spawn(serve(front, resources.serving));
    let dialer = Dialer::new(own.clone(), shared.row.incarnation, key, wire_limits, losses)
        .with_ledger(shared.ledger.clone());
    let dialer = Rc::new(RefCell::new(dialer));
    let parts = Parts {
        engine: engine(&shared, own, resources.policies),
        inbox: Inbox {
            inputs: input_receiver,
            frames: frame_receiver,
            losses: loss_receiver,
            targets: event_receiver,
            notices: resources.notices,
            stop: shared.stop.clone(),
        },
        clock: Box::new(shared.clock),
        borders: Borders {
            targets: Box::new(target::Client::new(
                target::Limits::default(),
                shared.ledger.clone(),
                events,
            )),
            peers: Box::new(Lanes(Rc::clone(&dialer))),
            control: Box::new(Reports {
                number: resources.number,
                control: shared.control.clone(),
            }),
            journal: Box::new(Journal {
                writer: shared.writer.clone(),
                clock: Box::new(shared.clock),
            }),
            meter: Box::new(meter::Thread::new(resources.number, Arc::clone(&shared.metrics))),
        },
        number: resources.number,
        ready: resources.ready,
    };
    traffic::run_loop(parts).await;
    // A front that could not serve has no open request.
    let _ = front.await;
    listener.abort();
    if let Some(dialer) = Rc::into_inner(dialer) {
        dialer.into_inner().close().await;
    }
}

async fn serve(front: front::Parts, serving: mpsc::Sender<()>) -> io::Result<()> {
    let ended = front::serve(front).await;
    drop(serving);
    ended
}

fn engine(shared: &Shared, lane: Lane, policies: policy::Factory) -> Engine {
    Engine::new(decisions::Setup {
        lane,
        domain: shared.row.domain.clone(),
        origin: Origin(rand::random()),
        limits: limits::traffic(&shared.settings),
        policies: policies(),
    })
}

/// Sends to other traffic threads through the dialer, which is shared with the
/// code that closes it.
struct Lanes(Rc<RefCell<Dialer>>);

impl Peers for Lanes {
    fn send(&mut self, lane: &Lane, message: Message) {
        self.0.borrow_mut().send(lane, message);
    }

    fn update(&mut self, addresses: BTreeMap<Lane, net::SocketAddr>) {
        self.0.borrow_mut().update(addresses);
    }
}

/// Sends the reports of one traffic thread to the control thread.
struct Reports {
    number: u16,
    control: control::Handle,
}

impl traffic::Control for Reports {
    fn report(&mut self, report: Report) {
        self.control.report(self.number, report);
    }
}
