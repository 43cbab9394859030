//! Claims, which ensure that a non-idempotent operation runs at most once.
//!
//! An operation runs only after its key was claimed by a compare-and-swap in the
//! platform's key-value store. Keys are grouped into buckets by their time of
//! issue. The home of a bucket combines claims into one write and reads the
//! floor, the lowest slot that is still kept, after the write took effect. A
//! claim is granted only if its slot is not below the floor. Several VMs may act
//! as home of the same bucket; this costs additional writes but does not affect
//! correctness. See `docs/design/claims.md`.
//!
//! [`Engine::tick`] runs the systems in this order: tenure, intake, collect, expire,
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
mod era;
mod expire;
mod intake;
mod memory;
mod reply;
mod route;
mod spread;
mod sweep;
mod tenure;
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

use table::{Purpose, Tables};

/// An input of the engine from the control thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// An operation of this VM claims its key. The deadline is a time on this
    /// process's clock rather than a remaining duration, so that a pause before
    /// the event is handled does not extend it.
    Claim { operation: id::Query, request: claim::Request, deadline: Instant },
    /// The outcome of an operation of this VM whose claim was granted.
    Outcome { request: claim::Request, outcome: claim::Outcome },
    /// A message from another VM.
    Message { from: Name, message: Message },
    /// The reply to a store call of this engine, and the era that it stated.
    Reply { id: CallId, era: Option<store::Era>, reply: store::Reply },
    /// The store is in this era by the answer to another call of this VM.
    Era(store::Era),
    /// A VM that did not accept messages or did not answer in time.
    Unreachable { vm: Name },
}

/// The claims engine of one VM, which acts as requester for the VM's own
/// operations and as home of buckets.
#[derive(Clone, Debug)]
pub struct Engine {
    vm: Name,
    limits: Limits,
    tables: Tables,
}

/// The inputs of a tick that every system reads.
struct Context<'a> {
    vm: &'a Name,
    limits: &'a Limits,
    now: Instant,
    wall: Wall,
    vms: &'a BTreeMap<Name, view::Vm>,
}

/// Answers and acknowledgements of this home, which are sent at the end of the
/// tick.
#[derive(Default)]
struct Replies {
    answers: Vec<(Name, message::Answer)>,
    recorded: Vec<(Name, uuid::Uuid)>,
}

impl Engine {
    /// Creates the engine of `vm` with empty tables.
    pub fn new(vm: Name, limits: Limits) -> Engine {
        Engine { vm, limits, tables: Tables::default() }
    }

    /// Applies `events`, runs the systems and adds the resulting calls, messages
    /// and verdicts to `out`.
    pub fn tick(
        &mut self,
        now: Instant,
        wall: Wall,
        vms: &BTreeMap<Name, view::Vm>,
        events: Vec<Event>,
        out: &mut Outbox,
    ) {
        let context = Context { vm: &self.vm, limits: &self.limits, now, wall, vms };
        let tables = &mut self.tables;
        let mut replies = Replies::default();
        tenure::run(tables, &context);
        let calls = intake::run(tables, &context, events, &mut replies, out);
        collect::run(tables, &context, calls, &mut replies, out);
        expire::run(tables, &context, &mut replies, out);
        route::run(tables, &context, &mut replies, out);
        decide::run(tables, &context, &mut replies, out);
        confirm::run(tables, &context, out);
        sweep::run(tables, &context, out);
        reply::run(tables, &context, replies, out);
    }

    /// Returns the time of the next tick that is needed without an event, if any.
    pub fn wake(&self) -> Option<Instant> {
        wake::earliest(&self.tables, &self.limits)
    }

    /// Returns the epoch of the store as this engine knows it.
    pub fn epoch(&self) -> store::Epoch {
        self.tables.history.epoch
    }

    /// Returns the number of operations, reports, buckets, and queued claims and
    /// outcomes, for metrics and for tests of their bounds.
    pub fn rows(&self) -> usize {
        let tables = &self.tables;
        let waiting: usize = tables
            .buckets
            .values()
            .map(|row| row.claims.len() + row.held.len() + row.records.len())
            .sum();
        tables.operations.len() + tables.reports.len() + tables.buckets.len() + waiting
    }

    /// Returns the number of operations without a verdict and of outcomes of this
    /// VM that are not recorded.
    pub fn pending(&self) -> usize {
        self.tables.operations.len() + self.tables.reports.len()
    }
}

/// Starts a store call and records why it was made.
fn start_call(
    tables: &mut Tables,
    context: &Context<'_>,
    out: &mut Outbox,
    purpose: Purpose,
    call: store::Call,
) -> CallId {
    tables.last_call += 1;
    let id = CallId(tables.last_call);
    let deadline = context.now + context.limits.call_timeout;
    tables.calls.insert(id, table::Call { purpose, epoch: tables.history.epoch, deadline });
    out.calls.push((id, call));
    id
}
