//! The decisions that let an operation run at most once: claims in the
//! platform's service.
//!
//! An operation runs only after its key was claimed by compare-and-swap. The
//! home of a bucket gathers claims into one write; after the write took effect
//! it reads the floor, and only if the floor is not above the key's slot is the
//! claim granted. Which VM believes that it is home decides how many writes are
//! needed and nothing else. See `docs/design/claims.md`.
//!
//! [`Engine::step`] runs the systems in this order: intake, collect, expire,
//! route, decide, confirm, sweep, reply.

pub mod layout;
pub mod limits;
pub mod message;
pub mod outbox;
pub mod table;
pub mod value;

mod collect;
mod confirm;
mod decide;
mod expire;
mod intake;
mod reply;
mod route;
mod sweep;
mod wake;

use std::collections::BTreeMap;

use crate::{
    claim, id,
    name::Name,
    store,
    time::{Instant, Wall},
    view,
};

pub use limits::Limits;
pub use message::Message;
pub use outbox::{Count, Outbox};
pub use table::CallId;

use table::{Flight, Purpose, Tables};

/// What the control thread tells the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operation of this VM asks for the right to run. The deadline is a
    /// point on this process's clock and not a time that remains, so that a
    /// pause before the event is taken does not extend it.
    Claim { operation: id::Query, request: claim::Request, deadline: Instant },
    /// An operation of this VM that was granted its claim has this outcome.
    Outcome { request: claim::Request, outcome: claim::Outcome },
    /// A message of another VM.
    Message { from: Name, message: Message },
    /// A call of this engine was answered.
    Reply { id: CallId, reply: store::Reply },
    /// A VM did not take messages or did not answer in time.
    Unreachable { vm: Name },
}

/// The claims of one VM, as requester and as home.
#[derive(Clone, Debug)]
pub struct Engine {
    vm: Name,
    limits: Limits,
    tables: Tables,
}

/// What a system may read.
struct Scope<'a> {
    vm: &'a Name,
    limits: &'a Limits,
    now: Instant,
    wall: Wall,
    vms: &'a BTreeMap<Name, view::Vm>,
}

/// What a home has to say to requesters at the end of a tick.
#[derive(Default)]
struct Replies {
    answers: Vec<(Name, message::Answer)>,
    recorded: Vec<(Name, uuid::Uuid)>,
}

impl Engine {
    /// Makes the engine of `vm`, which knows nothing yet.
    pub fn new(vm: Name, limits: Limits) -> Engine {
        Engine { vm, limits, tables: Tables::default() }
    }

    /// Takes `events` in, decides, and puts what is to be done into `out`.
    pub fn step(
        &mut self,
        now: Instant,
        wall: Wall,
        vms: &BTreeMap<Name, view::Vm>,
        events: Vec<Event>,
        out: &mut Outbox,
    ) {
        let scope = Scope { vm: &self.vm, limits: &self.limits, now, wall, vms };
        let tables = &mut self.tables;
        let mut replies = Replies::default();
        let calls = intake::run(tables, &scope, events, &mut replies, out);
        collect::run(tables, &scope, calls, &mut replies, out);
        expire::run(tables, &scope, &mut replies, out);
        route::run(tables, &scope, &mut replies, out);
        decide::run(tables, &scope, &mut replies, out);
        confirm::run(tables, &scope, out);
        sweep::run(tables, &scope, out);
        reply::run(tables, &scope, replies, out);
    }

    /// The earliest time at which a step has something to do without an event.
    pub fn wake(&self) -> Option<Instant> {
        wake::run(&self.tables, &self.limits)
    }

    /// The rows of all tables, for metrics and for tests of their bounds.
    pub fn rows(&self) -> usize {
        let tables = &self.tables;
        let waiting: usize =
            tables.buckets.values().map(|row| row.claims.len() + row.records.len()).sum();
        tables.operations.len() + tables.reports.len() + tables.buckets.len() + waiting
    }

    /// The operations and outcomes of this VM that are not finished.
    pub fn pending(&self) -> usize {
        self.tables.operations.len() + self.tables.reports.len()
    }
}

/// Starts a store call.
fn call(
    tables: &mut Tables,
    scope: &Scope<'_>,
    out: &mut Outbox,
    purpose: Purpose,
    call: store::Call,
) -> CallId {
    tables.last_call += 1;
    let id = CallId(tables.last_call);
    tables.calls.insert(id, Flight { purpose, deadline: scope.now + scope.limits.call_timeout });
    out.calls.push((id, call));
    id
}
