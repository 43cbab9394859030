//! The loop of the control thread.

use std::{collections::BTreeMap, io, thread, time::Duration};

use laburnum_core::{
    border::Clock,
    control::{Answer, Engine, Event, Outbox, Recipient, RequestId, Setup},
    notice::Notice,
};
use tokio::{
    runtime::{Builder, Runtime},
    sync::{mpsc::UnboundedSender, oneshot, watch},
    time::sleep,
};

use super::{Borders, Inbox, Submission};

/// The longest sleep between two ticks when no event comes.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The most events that one tick takes.
const MAX_BATCH: usize = 1024;

/// The parts that the control thread is made from.
pub struct Parts {
    /// The identity, limits and codec that the engine starts with.
    pub setup: Setup,
    /// The channels into the thread.
    pub inbox: Inbox,
    /// The channels for notices to the traffic threads, by thread number.
    pub threads: Vec<UnboundedSender<Notice>>,
    pub clock: Box<dyn Clock + Send>,
    /// Makes the borders. It is called on the thread.
    pub borders: Box<dyn FnOnce() -> Borders + Send>,
    /// Becomes true when the VM is leaving and has nothing in flight.
    pub idle: watch::Sender<bool>,
    /// Becomes true when the thread must end.
    pub stop: watch::Receiver<bool>,
}

/// Starts the control thread. It ends when `stop` becomes true or every
/// [`super::Handle`] is dropped.
pub fn spawn(parts: Parts) -> io::Result<thread::JoinHandle<()>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name("control".to_owned()).spawn(move || run_loop(&runtime, parts))
}

fn run_loop(runtime: &Runtime, parts: Parts) {
    runtime.block_on(async move {
        let mut control = Control {
            borders: (parts.borders)(),
            engine: Engine::new(parts.setup),
            clock: parts.clock,
            threads: parts.threads,
            idle: parts.idle,
            pending: BTreeMap::new(),
            last_id: 0,
        };
        let mut inbox = parts.inbox;
        let mut stop = parts.stop;
        let mut events = Vec::new();
        loop {
            control.tick(std::mem::take(&mut events));
            let is_open = tokio::select! {
                is_open = control.wait(&mut inbox, &mut events) => is_open,
                _ = stop.wait_for(|stop| *stop) => false,
            };
            if !is_open {
                return;
            }
        }
    });
}

struct Control {
    borders: Borders,
    engine: Engine,
    clock: Box<dyn Clock + Send>,
    threads: Vec<UnboundedSender<Notice>>,
    idle: watch::Sender<bool>,
    pending: BTreeMap<RequestId, oneshot::Sender<Answer>>,
    last_id: u64,
}

impl Control {
    /// Waits for the first event or the earliest time at which the engine has
    /// something to do, then takes the events that are ready. Returns false
    /// when every handle is dropped, so that no more events can come.
    async fn wait(&mut self, inbox: &mut Inbox, events: &mut Vec<Event>) -> bool {
        let now = self.clock.now();
        let pause = self.engine.wake().map_or(MAX_SLEEP, |wake| wake.remaining(now).min(MAX_SLEEP));
        tokio::select! {
            event = inbox.events.recv() => match event {
                Some(event) => events.push(event),
                None => return false,
            },
            Some(submission) = inbox.submissions.recv() => events.push(self.register(submission)),
            Some(outcome) = inbox.outcomes.recv() => events.push(Event::Store(outcome)),
            () = sleep(pause) => {}
        }
        self.take_ready(inbox, events);
        true
    }

    fn take_ready(&mut self, inbox: &mut Inbox, events: &mut Vec<Event>) {
        while events.len() < MAX_BATCH {
            if let Ok(outcome) = inbox.outcomes.try_recv() {
                events.push(Event::Store(outcome));
            } else if let Ok(event) = inbox.events.try_recv() {
                events.push(event);
            } else if let Ok(submission) = inbox.submissions.try_recv() {
                events.push(self.register(submission));
            } else {
                return;
            }
        }
    }

    fn register(&mut self, submission: Submission) -> Event {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.pending.insert(id, submission.answer);
        Event::Request { id, request: submission.request }
    }

    fn tick(&mut self, events: Vec<Event>) {
        let mut out = Outbox::default();
        self.engine.tick(self.clock.now(), self.clock.wall(), events, &mut out);
        self.borders.meter.count(&out);
        self.carry_out(out);
        self.borders.meter.observe(&self.engine);
        let is_idle = self.engine.leaving() && self.engine.idle(self.threads.len());
        self.idle.send_if_modified(|idle| std::mem::replace(idle, is_idle) != is_idle);
    }

    fn carry_out(&mut self, out: Outbox) {
        for line in &out.lines {
            self.borders.journal.write(line);
        }
        for (recipient, notice) in out.notices {
            self.notify(recipient, notice);
        }
        for (id, call) in out.calls {
            self.borders.platform.call(id, call);
        }
        for envelope in out.messages {
            self.borders.messenger.send(&envelope.vm, envelope.address, envelope.message);
        }
        for (id, answer) in out.answers {
            if let Some(sender) = self.pending.remove(&id) {
                // The operator may have gone away.
                let _ = sender.send(answer);
            }
        }
    }

    /// Sends a notice to traffic threads. A thread that has ended does not need
    /// it.
    fn notify(&self, recipient: Recipient, notice: Notice) {
        match recipient {
            Recipient::All => {
                for thread in &self.threads {
                    let _ = thread.send(notice.clone());
                }
            }
            Recipient::Thread(number) => {
                if let Some(thread) = self.threads.get(usize::from(number)) {
                    let _ = thread.send(notice);
                }
            }
        }
    }
}
