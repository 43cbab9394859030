//! The decisions of a traffic thread: queries, legs, attempts, targets.
//!
//! A traffic thread plays two parts at once. As entry it takes requests of
//! callers, plans their legs and merges the replies; as home of some shards it
//! keeps the queue, the slots and the connections of their targets. See
//! `docs/DESIGN.md`.

pub mod limits;
pub mod policy;
pub mod table;
pub mod system;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};

use crate::{
    claim,
    count::{Count, Counts},
    digest::Fingerprint,
    fault::Fault,
    id,
    key::Set,
    log::Line,
    message::{self, Message},
    name::Name,
    notice::{Notice, Report},
    target::{self, Row, Version},
    time::Instant,
    view::{Lane, View},
};

pub use self::{limits::Limits, policy::Policies, table::Tables};

/// A call of a front end that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// A search as a front end read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Search {
    /// The profile.
    pub profile: Name,
    /// The text to match.
    pub text: Arc<str>,
    /// The time that the caller allows, if less than the profile does.
    pub deadline: Option<Duration>,
}

/// An operation as a front end read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operate {
    /// The profile.
    pub profile: Name,
    /// What is done.
    pub operation: Name,
    /// The key that is changed.
    pub subject: u64,
    /// The content.
    pub detail: Arc<str>,
    /// The caller's idempotency key.
    pub key: claim::Key,
    /// The time that the caller allows, if less than the profile does.
    pub deadline: Option<Duration>,
}

/// What happens to a traffic thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks for rows.
    Search { call: Call, search: Search },
    /// A caller asks for an operation.
    Operate { call: Call, operate: Operate },
    /// A caller no longer waits.
    Abandoned { call: Call },
    /// Another traffic thread sent a message.
    Message { from: Lane, message: Message },
    /// Messages to a lane may have been lost since the last that it answered.
    Lost { lane: Lane },
    /// The client of the targets reports.
    Target(target::Event),
    /// The control thread tells something.
    Notice(Notice),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The request id.
    pub query: id::Query,
    /// What is answered.
    pub body: Body,
    /// The name of the profile, for the histograms.
    pub profile: Name,
    /// The time from the arrival to the answer.
    pub took: Duration,
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// The rows of a search.
    Found(Found),
    /// The result of an operation.
    Done { result: Arc<str>, replayed: bool, revision: u64 },
    /// The request was refused.
    Refused(Fault),
}

/// The rows of a search with what they cover.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// The version that every row comes from.
    pub version: Version,
    /// The covered part of the key space, in parts per million.
    pub coverage: u32,
    /// The keys that were not answered.
    pub missing: Set,
    /// The revision of the profiles under which the answer was made.
    pub revision: u64,
    /// The rows in ascending order.
    pub rows: Vec<Row>,
    /// The attempts at targets that it took.
    pub attempts: u32,
}

/// What a tick of a traffic thread leaves to be carried out, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Answers to calls.
    pub answers: Vec<(Call, Answer)>,
    /// Messages by lane; legs and replies for one lane are already batched.
    pub messages: BTreeMap<Lane, Vec<Message>>,
    /// Orders to the client of the targets.
    pub commands: Vec<target::Command>,
    /// Reports to the control thread.
    pub reports: Vec<Report>,
    /// Lines of the log.
    pub lines: Vec<Line>,
    /// What was counted.
    pub counts: Counts,
}

impl Outbox {
    /// Adds a leg to the message for its lane.
    pub fn leg(&mut self, lane: Lane, leg: message::Leg) {
        let queue = self.messages.entry(lane).or_default();
        match queue.last_mut() {
            Some(Message::Legs(legs)) => legs.push(leg),
            _ => queue.push(Message::Legs(vec![leg])),
        }
    }

    /// Adds a reply to the message for its lane.
    pub fn reply(&mut self, lane: Lane, reply: message::Reply) {
        let queue = self.messages.entry(lane).or_default();
        match queue.last_mut() {
            Some(Message::Replies(replies)) => replies.push(reply),
            _ => queue.push(Message::Replies(vec![reply])),
        }
    }

    /// Adds a withdrawal to the message for its lane.
    pub fn cancel(&mut self, lane: Lane, leg: id::Leg) {
        let queue = self.messages.entry(lane).or_default();
        match queue.last_mut() {
            Some(Message::Cancels(legs)) => legs.push(leg),
            _ => queue.push(Message::Cancels(vec![leg])),
        }
    }

    /// Adds a message of another kind.
    pub fn send(&mut self, lane: Lane, message: Message) {
        self.messages.entry(lane).or_default().push(message);
    }

    /// Counts one.
    pub fn count(&mut self, count: Count) {
        self.counts.add(count);
    }
}

/// What every system of a tick sees beside the tables.
#[derive(Debug)]
pub struct Context {
    /// The time of the tick.
    pub now: Instant,
    /// The view in force.
    pub view: Arc<View>,
    /// The lane of this thread.
    pub lane: Lane,
    /// The limits from the settings.
    pub limits: Limits,
    /// The policies.
    pub policies: Policies,
    /// Makes the ids of new rows.
    pub ids: id::Source,
    /// The randomness of the decisions, from a seed.
    pub random: StdRng,
    /// Whether the process was paused before this tick.
    pub paused: bool,
}

/// The events of a tick, sorted by the system that takes them.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Requests of callers and withdrawals.
    pub calls: Vec<Event>,
    /// Messages of other traffic threads and their losses.
    pub peers: Vec<Event>,
    /// Reports of the client of the targets.
    pub targets: Vec<target::Event>,
    /// Claims that were answered.
    pub claims: Vec<(id::Query, claim::Verdict)>,
    /// The newest view.
    pub view: Option<Arc<View>>,
}

impl Inbox {
    fn sort(events: Vec<Event>) -> Inbox {
        let mut inbox = Inbox::default();
        for event in events {
            match event {
                Event::Search { .. } | Event::Operate { .. } | Event::Abandoned { .. } => {
                    inbox.calls.push(event);
                }
                Event::Message { .. } | Event::Lost { .. } => inbox.peers.push(event),
                Event::Target(event) => inbox.targets.push(event),
                Event::Notice(Notice::View(view)) => inbox.view = Some(view),
                Event::Notice(Notice::Claimed { operation, verdict }) => {
                    inbox.claims.push((operation, verdict));
                }
            }
        }
        inbox
    }
}

/// The tables and systems of one traffic thread.
#[derive(Debug)]
pub struct Engine {
    tables: Tables,
    context: Context,
    woken: Instant,
}

/// What an engine is made from.
#[derive(Debug)]
pub struct Setup {
    /// The lane of the thread.
    pub lane: Lane,
    /// The failure domain of the VM.
    pub domain: Name,
    /// The start of the thread, drawn at random.
    pub origin: id::Origin,
    /// The limits from the settings.
    pub limits: Limits,
    /// The policies.
    pub policies: Policies,
}

impl Engine {
    /// Makes an engine with empty tables.
    pub fn new(setup: Setup) -> Engine {
        let view = View::starting(setup.lane.vm.clone(), setup.domain);
        Engine {
            tables: Tables::default(),
            context: Context {
                now: Instant::default(),
                view: Arc::new(view),
                lane: setup.lane,
                limits: setup.limits,
                policies: setup.policies,
                ids: id::Source::new(setup.origin),
                random: StdRng::seed_from_u64(setup.origin.0),
                paused: false,
            },
            woken: Instant::default(),
        }
    }

    /// Runs every system once, in the order that `system` gives.
    pub fn step(&mut self, now: Instant, events: Vec<Event>, out: &mut Outbox) {
        let due = self.wake().unwrap_or(now);
        self.context.paused = now.since(due.max(self.woken)) > self.context.limits.pause;
        self.context.now = now;
        self.woken = now;
        let inbox = Inbox::sort(events);
        system::run(&mut self.tables, &mut self.context, inbox, out);
    }

    /// When the next step is due without an event.
    pub fn wake(&self) -> Option<Instant> {
        if self.tables.is_busy() {
            return Some(self.context.now);
        }
        self.tables.timers.first()
    }

    /// Whether requests of callers can be answered: the view is ready, the homes
    /// have said what they hold and every index that targets are listed for has
    /// a plan.
    pub fn is_ready(&self) -> bool {
        let view = &self.context.view;
        let has_plan =
            |index| self.tables.indexes.get(index).is_some_and(|index| index.best.is_some());
        view.ready
            && !view.leaving
            && self.tables.informed
            && self.tables.listed.iter().all(has_plan)
    }

    /// The rows, for metrics and tests.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }
}

/// The fingerprint of a search.
pub fn search_fingerprint(index: &Name, text: &str) -> Fingerprint {
    crate::digest::fingerprint(&[b"search", index.as_str().as_bytes(), text.as_bytes()])
}

/// The fingerprint of an operation.
pub fn operation_fingerprint(index: &Name, operate: &Operate) -> Fingerprint {
    crate::digest::fingerprint(&[
        b"operate",
        index.as_str().as_bytes(),
        operate.operation.as_str().as_bytes(),
        &operate.subject.to_le_bytes(),
        operate.detail.as_bytes(),
    ])
}
