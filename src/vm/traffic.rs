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

/// The frames that wait for a thread; more hold back their senders.
const MAX_FRAMES: usize = 4096;

/// What a traffic thread has for itself.
pub struct Resources {
    /// Its number.
    pub number: u16,
    /// Its socket for callers.
    pub callers: net::TcpListener,
    /// Its socket for other VMs.
    pub peers: net::TcpListener,
    /// What the control thread tells it.
    pub notices: mpsc::UnboundedReceiver<Notice>,
    /// Where it notes that it can answer callers.
    pub ready: Ready,
    /// Dropped when its front has answered all that it took.
    pub serving: mpsc::Sender<()>,
    /// Makes its policies.
    pub policies: policy::Factory,
}

/// Starts the thread. It ends when the VM stops.
pub fn spawn(shared: Shared, seed: Resources) -> io::Result<thread::JoinHandle<()>> {
    let runtime = runtime()?;
    let name = format!("traffic-{}", seed.number);
    thread::Builder::new().name(name).spawn(move || runtime.block_on(run(shared, seed)))
}

async fn run(shared: Shared, seed: Resources) {
    let own = Lane { vm: shared.row.name.clone(), thread: seed.number };
    let (inputs, input_receiver) = mpsc::unbounded_channel();
    let (losses, loss_receiver) = mpsc::unbounded_channel();
    let (frames, frame_receiver) = mpsc::channel(MAX_FRAMES);
    let (events, event_receiver) = mpsc::unbounded_channel();
    let wire_limits = limits::wire(&shared.settings);
    let key = super::control::key(&shared.settings);
    let guard = wire::Admission { own: own.clone(), keys: vec![key.digest()], limits: wire_limits };
    let listener = tokio::spawn(wire::listen(seed.peers, guard, frames));
    let front = front::Parts {
        listener: seed.callers,
        limits: limits::callers(&shared.settings),
        handle: Handle::new(inputs),
        ready: shared.ready.clone(),
        metrics: Arc::new(shared.text()),
        shutdown: shared.shutdown.clone(),
    };
    let front = tokio::spawn(serve(front, seed.serving));
    let dialer = Dialer::new(own.clone(), shared.row.incarnation, key, wire_limits, losses);
    let dialer = Rc::new(RefCell::new(dialer));
    let parts = Parts {
        engine: engine(&shared, own, seed.policies),
        inbox: Inbox {
            inputs: input_receiver,
            frames: frame_receiver,
            losses: loss_receiver,
            targets: event_receiver,
            notices: seed.notices,
            stop: shared.stop.clone(),
        },
        clock: Box::new(shared.clock),
        borders: Borders {
            targets: Box::new(target::Client::new(target::Limits::default(), events)),
            peers: Box::new(Lanes(Rc::clone(&dialer))),
            control: Box::new(Reports { number: seed.number, control: shared.control.clone() }),
            journal: Box::new(Journal {
                writer: shared.writer.clone(),
                clock: Box::new(shared.clock),
            }),
            meter: Box::new(meter::Thread::new(seed.number, Arc::clone(&shared.metrics))),
        },
        number: seed.number,
        ready: seed.ready,
    };
    traffic::run_loop(parts).await;
    // A front that failed to serve has no open request.
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

/// The dialer, shared with the code that closes it.
struct Lanes(Rc<RefCell<Dialer>>);

impl Peers for Lanes {
    fn send(&mut self, lane: &Lane, message: Message) {
        self.0.borrow_mut().send(lane, message);
    }

    fn update(&mut self, addresses: BTreeMap<Lane, net::SocketAddr>) {
        self.0.borrow_mut().update(addresses);
    }
}

/// The way of a traffic thread to the control thread.
struct Reports {
    number: u16,
    control: control::Handle,
}

impl traffic::Control for Reports {
    fn report(&mut self, report: Report) {
        self.control.report(self.number, report);
    }
}
