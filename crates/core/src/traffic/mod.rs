//! The decisions of a traffic thread on queries, legs, attempts and targets.
//!
//! A traffic thread has two roles at once. As an entry it takes requests of
//! callers, plans their legs and merges the replies. As the home of some shards
//! it queues their legs and manages the slots of and the connections to their
//! targets. See `docs/DESIGN.md`.

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

/// Identifies a call of a front end that waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// The request for a search, as a front end decoded it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Search {
    pub profile: Name,
    /// The text to match.
    pub text: Arc<str>,
    /// The deadline that the caller asks for; the profile's deadline applies if
    /// it is shorter.
    pub deadline: Option<Duration>,
}

/// The request for an operation, as a front end decoded it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operate {
    pub profile: Name,
    /// The name of the operation.
    pub operation: Name,
    /// The key in the index that the operation changes.
    pub subject: u64,
    /// The content of the operation.
    pub detail: Arc<str>,
    /// The caller's idempotency key.
    pub key: claim::Key,
    /// The deadline that the caller asks for; the profile's deadline applies if
    /// it is shorter.
    pub deadline: Option<Duration>,
}

/// An input to a traffic thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller requested a search.
    Search { call: Call, search: Search },
    /// A caller requested an operation.
    Operate { call: Call, operate: Operate },
    /// A caller no longer waits for its answer.
    Abandoned { call: Call },
    /// Another traffic thread sent a message.
    Message { from: Lane, message: Message },
    /// Messages to a lane may have been lost since the last one that it
    /// answered.
    Lost { lane: Lane },
    /// The client of the targets reported an event.
    Target(target::Event),
    /// The control thread sent a notice.
    Notice(Notice),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The id of the request.
    pub query: id::Query,
    pub body: Body,
    /// The profile of the request, by which the histograms are labelled.
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

/// The rows of a search, and what part of the key space they cover.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// The version that every row was read at.
    pub version: Version,
    /// The part of the key space that was read, in parts per million.
    pub coverage: u32,
    /// The keys that were not read.
    pub missing: Set,
    /// The revision of the profiles that was in force when the request arrived.
    pub revision: u64,
    /// The rows in ascending order.
    pub rows: Vec<Row>,
    /// The attempts at targets that the search took.
    pub attempts: u32,
}

/// The effects of a tick of a traffic thread, which its caller carries out in
/// order.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Answers to calls.
    pub answers: Vec<(Call, Answer)>,
    /// Messages by lane; legs, replies and withdrawals that follow one another
    /// are batched.
    pub messages: BTreeMap<Lane, Vec<Message>>,
    /// Commands to the client of the targets.
    pub commands: Vec<target::Command>,
    /// Reports to the control thread.
    pub reports: Vec<Report>,
    /// Log lines.
    pub lines: Vec<Line>,
    /// Increments of the counters.
    pub counts: Counts,
}

impl Outbox {
    /// Adds a leg to the last message for the lane if that holds legs, or to a
    /// new one.
    pub fn leg(&mut self, lane: Lane, leg: message::Leg) {
        let queue = self.messages.entry(lane).or_default();
        match queue.last_mut() {
            Some(Message::Legs(legs)) => legs.push(leg),
            _ => queue.push(Message::Legs(vec![leg])),
        }
    }

    /// Adds a reply to the last message for the lane if that holds replies, or
    /// to a new one.
    pub fn reply(&mut self, lane: Lane, reply: message::Reply) {
        let queue = self.messages.entry(lane).or_default();
        match queue.last_mut() {
            Some(Message::Replies(replies)) => replies.push(reply),
            _ => queue.push(Message::Replies(vec![reply])),
        }
    }

    /// Adds the withdrawal of a leg to the last message for the lane if that
    /// holds withdrawals, or to a new one.
    pub fn cancel(&mut self, lane: Lane, leg: id::Leg) {
        let queue = self.messages.entry(lane).or_default();
        match queue.last_mut() {
            Some(Message::Cancels(legs)) => legs.push(leg),
            _ => queue.push(Message::Cancels(vec![leg])),
        }
    }

    /// Adds a message that is not batched.
    pub fn send(&mut self, lane: Lane, message: Message) {
        self.messages.entry(lane).or_default().push(message);
    }

    /// Increments a counter by one.
    pub fn count(&mut self, count: Count) {
        self.counts.add(count);
    }
}

/// What the systems use in a tick besides the tables.
#[derive(Debug)]
pub struct Context {
    /// The time of the tick.
    pub now: Instant,
    /// The view in force.
    pub view: Arc<View>,
    /// The lane of this thread.
    pub lane: Lane,
    pub limits: Limits,
    pub policies: Policies,
    /// The source of the ids of new rows.
    pub ids: id::Source,
    /// The random numbers for jitter and tokens, which a seed makes repeatable.
    pub random: StdRng,
    /// Whether the process seems to have been paused before this tick.
    pub paused: bool,
}

/// The events of a tick, grouped by the system that handles them.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Requests of callers, and calls that were abandoned.
    pub calls: Vec<Event>,
    /// Messages of other traffic threads, and lanes that may have lost some.
    pub peers: Vec<Event>,
    /// Events of the client of the targets.
    pub targets: Vec<target::Event>,
    /// Verdicts on the claims of operations.
    pub claims: Vec<(id::Query, claim::Verdict)>,
    /// The newest view, if a new one came.
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
    last_tick: Instant,
}

/// The parameters of an [`Engine`].
#[derive(Debug)]
pub struct Setup {
    /// The lane of the thread.
    pub lane: Lane,
    /// The failure domain of the VM.
    pub domain: Name,
    /// Identifies this start of the thread. It is drawn at random and also
    /// seeds the random numbers.
    pub origin: id::Origin,
    pub limits: Limits,
    pub policies: Policies,
}

impl Engine {
    /// Creates an engine with empty tables.
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
            last_tick: Instant::default(),
        }
    }

    /// Runs a tick: every system once, in the order of [`system::run`].
    pub fn tick(&mut self, now: Instant, events: Vec<Event>, out: &mut Outbox) {
        let due = self.wake().unwrap_or(now);
        self.context.paused =
            now.since(due.max(self.last_tick)) > self.context.limits.pause_threshold;
        self.context.now = now;
        self.last_tick = now;
        let inbox = Inbox::sort(events);
        system::run(&mut self.tables, &mut self.context, inbox, out);
    }

    /// When the next tick is due if no event comes before, or none if only an
    /// event makes one due.
    pub fn wake(&self) -> Option<Instant> {
        if self.tables.is_busy() {
            return Some(self.context.now);
        }
        self.tables.timers.first()
    }

    /// Whether requests of callers can be answered: the view is ready, the VM
    /// is not leaving, the homes have advertised what they hold, and every
    /// index that targets are listed for has a plan.
    pub fn is_ready(&self) -> bool {
        let view = &self.context.view;
        let has_plan =
            |index| self.tables.indexes.get(index).is_some_and(|index| index.best.is_some());
        view.ready
            && !view.leaving
            && self.tables.has_holdings
            && self.tables.listed.iter().all(has_plan)
    }

    /// The tables, for metrics and tests.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }
}

/// The fingerprint of a search, which is equal for equal texts on an index.
pub fn search_fingerprint(index: &Name, text: &str) -> Fingerprint {
    crate::digest::fingerprint(&[b"search", index.as_str().as_bytes(), text.as_bytes()])
}

/// The fingerprint of an operation, which covers its name, subject and content
/// but not its idempotency key.
pub fn operation_fingerprint(index: &Name, operate: &Operate) -> Fingerprint {
    crate::digest::fingerprint(&[
        b"operate",
        index.as_str().as_bytes(),
        operate.operation.as_str().as_bytes(),
        &operate.subject.to_le_bytes(),
        operate.detail.as_bytes(),
    ])
}
