//! The loop of a stand-in target: waits for an event or the next deadline,
//! runs the systems once and carries out what they decided.

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
    fault::Faults,
    link::Gate,
    system::{self, Outbox},
    table::{Counts, Executions, Job, Link, Load, Tables},
};

/// What the servers tell the loop. Each reply goes to the one who asked.
pub enum Event {
    /// A connection was accepted; the reply tells whether it is taken.
    Connect { link: Link, gate: Arc<Gate>, reply: oneshot::Sender<bool> },
    /// A connection was closed.
    Disconnect { link: Link },
    /// A request arrived.
    Arrive { job: Job, request: Request, reply: oneshot::Sender<Answer> },
    /// The stream of a request was reset.
    Withdraw { job: Job },
    /// Asks for the status.
    Status { reply: oneshot::Sender<Status> },
    /// Asks for the load as it is reported.
    Load { reply: oneshot::Sender<Load> },
    /// Asks for the operations that took effect.
    Executions { reply: oneshot::Sender<Executions> },
    /// Asks for the counts.
    Counts { reply: oneshot::Sender<Counts> },
    /// Replaces the faults.
    Put { faults: Faults, reply: oneshot::Sender<()> },
}

/// The servers' end of the loop.
#[derive(Clone)]
pub struct Handle {
    events: UnboundedSender<Event>,
    last: Arc<AtomicU64>,
}

impl Handle {
    /// Makes a handle that sends to `events`.
    pub fn new(events: UnboundedSender<Event>) -> Handle {
        Handle { events, last: Arc::default() }
    }

    /// A number that is greater than all before.
    pub fn number(&self) -> u64 {
        self.last.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends an event that has no reply.
    pub fn tell(&self, event: Event) {
        // The loop ends only with the servers.
        let _ = self.events.send(event);
    }

    /// Sends an event and waits for the reply; none if the target crashed.
    pub async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> Event) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.tell(event(reply));
        answer.await.ok()
    }
}

struct Engine {
    clock: time::Instant,
    tables: Tables,
    gates: BTreeMap<Link, Arc<Gate>>,
    replies: BTreeMap<Job, oneshot::Sender<Answer>>,
}

/// Runs the loop until a crash that ends the process.
pub async fn run(settings: Settings, mut events: UnboundedReceiver<Event>) -> End {
    let mut engine = Engine {
        clock: time::Instant::now(),
        tables: Tables::new(settings, Instant::default()),
        gates: BTreeMap::new(),
        replies: BTreeMap::new(),
    };
    loop {
        let first = tokio::select! {
            event = events.recv() => event,
            () = engine.wait() => None,
        };
        let mut out = Outbox::default();
        let now = engine.now();
        let rest = std::iter::from_fn(|| events.try_recv().ok());
        for event in first.into_iter().chain(rest) {
            engine.take(now, event, &mut out);
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

    /// Waits for the time of the next tick, without end if there is none.
    async fn wait(&self) {
        match system::next(&self.tables) {
            Some(at) => time::sleep(at.remaining(self.now())).await,
            None => std::future::pending().await,
        }
    }

    fn take(&mut self, now: Instant, event: Event, out: &mut Outbox) {
        let tables = &mut self.tables;
        match event {
            Event::Connect { link, gate, reply } => {
                let taken = system::connect(tables, now, link);
                if taken {
                    self.gates.insert(link, gate);
                }
                answer(reply, taken);
            }
            Event::Disconnect { link } => {
                system::disconnect(tables, link);
                self.gates.remove(&link);
            }
            Event::Arrive { job, request, reply } => {
                self.replies.insert(job, reply);
                system::arrive(tables, now, job, request, out);
            }
            Event::Withdraw { job } => {
                self.replies.remove(&job);
                system::withdraw(tables, job);
            }
            Event::Status { reply } => answer(reply, tables.status()),
            Event::Load { reply } => answer(reply, system::reported(tables, now)),
            Event::Executions { reply } => answer(reply, tables.executions.clone()),
            Event::Counts { reply } => answer(reply, tables.counts),
            Event::Put { faults, reply } => {
                system::put(tables, faults, out);
                answer(reply, ());
            }
        }
    }

    fn flush(&mut self, out: Outbox) {
        for link in out.silenced {
            if let Some(gate) = self.gates.get(&link) {
                gate.silence();
            }
        }
        if out.crashed {
            std::mem::take(&mut self.gates).values().for_each(|gate| gate.kill());
            self.replies.clear();
        }
        for (job, reply) in out.answers {
            if let Some(sender) = self.replies.remove(&job) {
                answer(sender, reply);
            }
        }
    }
}

fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    // Who asked may have gone.
    let _ = reply.send(value);
}
