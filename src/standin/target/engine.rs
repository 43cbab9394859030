//! The engine loop of a stand-in target: waits for an event or the next deadline,
//! runs the systems once and carries out their decisions.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use laburnum_core::{
    target::{Request, Status},
    time::Instant,
};
use tokio::{
    sync::{
        mpsc::{UnboundedReceiver, UnboundedSender},
        oneshot,
    },
    time,
};

use super::{
    End, Settings,
    answer::Answer,
    connection::Switch,
    fault::Faults,
    system::{self, Outbox},
    table::{Connection, Counts, Executions, Job, Load, Tables},
};

/// An event from the servers. `reply` returns the result to the sender.
pub enum Event {
    /// A connection arrived; the reply says whether to accept it.
    Connect { connection: Connection, switch: Arc<Switch>, reply: oneshot::Sender<bool> },
    /// A connection was closed.
    Disconnect { connection: Connection },
    /// A request arrived.
    Request { job: Job, request: Request, reply: oneshot::Sender<Answer> },
    /// The stream of a request was reset.
    Cancel { job: Job },
    /// Reads the status.
    Status { reply: oneshot::Sender<Status> },
    /// Reads the load as it is reported.
    Load { reply: oneshot::Sender<Load> },
    /// Reads the operations that took effect.
    Executions { reply: oneshot::Sender<Executions> },
    /// Reads the counts.
    Counts { reply: oneshot::Sender<Counts> },
    /// Replaces all faults.
    SetFaults { faults: Faults, reply: oneshot::Sender<()> },
}

/// The handle through which the servers send events to the engine loop.
#[derive(Clone)]
pub struct Handle {
    events: UnboundedSender<Event>,
    next_id: Arc<AtomicU64>,
}

impl Handle {
    /// Makes a handle that sends to `events`.
    pub fn new(events: UnboundedSender<Event>) -> Handle {
        Handle { events, next_id: Arc::default() }
    }

    /// Returns an id that is greater than all earlier ones.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends an event that has no reply.
    pub fn send(&self, event: Event) {
        // A failure does not matter: the loop ends only together with the servers.
        let _ = self.events.send(event);
    }

    /// Sends an event and waits for the reply; none if the target crashed.
    pub async fn call<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(event(reply));
        answer.await.ok()
    }
}

struct Engine {
    clock: time::Instant,
    tables: Tables,
    switches: BTreeMap<Connection, Arc<Switch>>,
    replies: BTreeMap<Job, oneshot::Sender<Answer>>,
}

/// Runs the loop until a crash, if the settings say that a crash ends the process.
pub async fn run(settings: Settings, mut events: UnboundedReceiver<Event>) -> End {
    let mut engine = Engine {
        clock: time::Instant::now(),
        tables: Tables::new(settings, Instant::default()),
        switches: BTreeMap::new(),
        replies: BTreeMap::new(),
    };
    loop {
        let first = tokio::select! {
            event = events.recv() => event,
            () = engine.wait_for_tick() => None,
        };
        let mut out = Outbox::default();
        let now = engine.now();
        let rest = std::iter::from_fn(|| events.try_recv().ok());
        for event in first.into_iter().chain(rest) {
            engine.handle(now, event, &mut out);
        }
        system::tick(&mut engine.tables, now, &mut out);
        let crashed = out.crashed;
        engine.flush(out);
        if crashed && engine.tables.settings.exit_on_crash {
            return End::Crashed;
        }
    }
}

impl Engine {
    fn now(&self) -> Instant {
        Instant::default() + self.clock.elapsed()
    }

    /// Waits until the next tick is due, forever if there is none.
    async fn wait_for_tick(&self) {
        match system::next_tick(&self.tables) {
            Some(at) => time::sleep(at.remaining(self.now())).await,
            None => std::future::pending().await,
        }
    }

    fn handle(&mut self, now: Instant, event: Event, out: &mut Outbox) {
        let tables = &mut self.tables;
        match event {
            Event::Connect { connection, switch, reply } => {
                let is_accepted = system::connect(tables, now, connection);
                if is_accepted {
                    self.switches.insert(connection, switch);
                }
                send_reply(reply, is_accepted);
            }
            Event::Disconnect { connection } => {
                system::disconnect(tables, connection);
                self.switches.remove(&connection);
            }
            Event::Request { job, request, reply } => {
                self.replies.insert(job, reply);
                system::admit(tables, now, job, request, out);
            }
            Event::Cancel { job } => {
                self.replies.remove(&job);
                system::cancel(tables, job);
            }
            Event::Status { reply } => send_reply(reply, tables.status()),
            Event::Load { reply } => send_reply(reply, system::reported_load(tables, now)),
            Event::Executions { reply } => send_reply(reply, tables.executions.clone()),
            Event::Counts { reply } => send_reply(reply, tables.counts),
            Event::SetFaults { faults, reply } => {
                system::set_faults(tables, faults, out);
                send_reply(reply, ());
            }
        }
    }

    /// Carries out the decisions of a tick.
    fn flush(&mut self, out: Outbox) {
        for connection in out.silenced {
            if let Some(switch) = self.switches.get(&connection) {
                switch.silence();
            }
        }
        if out.crashed {
            std::mem::take(&mut self.switches).values().for_each(|switch| switch.reset());
            self.replies.clear();
        }
        for (job, reply) in out.answers {
            if let Some(sender) = self.replies.remove(&job) {
                send_reply(sender, reply);
            }
        }
    }
}

fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    // The receiver may have been dropped in the meantime.
    let _ = reply.send(value);
}
