//! The table of a process in virtual time.

use std::time::Duration;

use laburnum_core::{
    memory::{
        Full, Holder, Limits, Party, Port, Purpose, Tables,
        system::{Context, admit, hold, link, transfer},
    },
    time::Instant,
};

/// What each connection takes by itself, in bytes.
pub const BASE: usize = 10;

/// Limits with round numbers.
pub const LIMITS: Limits =
    Limits { bytes: 1000, connections: 40, grace: Duration::from_millis(100) };

/// A table whose time the test sets.
pub struct Memory {
    pub tables: Tables,
    pub now: Instant,
    /// The connections that were told to close and have not ended.
    pub closing: Vec<Holder>,
    limits: Limits,
}

impl Memory {
    pub fn new() -> Memory {
        Memory::with_limits(LIMITS)
    }

    pub fn with_limits(limits: Limits) -> Memory {
        Memory { tables: Tables::default(), now: Instant(1), closing: Vec::new(), limits }
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    pub fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    fn run<T>(&mut self, system: impl FnOnce(&mut Tables, &mut Context<'_>) -> T) -> T {
        let close = &mut self.closing;
        system(&mut self.tables, &mut Context { now: self.now, limits: &self.limits, close })
    }

    /// Opens a connection at a port that takes `max` of them.
    pub fn open(&mut self, party: Party, max: usize) -> Result<Holder, Full> {
        let port = Port { party, thread: 0 };
        self.run(|tables, cx| admit::open(tables, port, max, BASE, cx))
    }

    /// Opens a connection of a caller, for whom there is room.
    pub fn caller(&mut self) -> Holder {
        self.open(Party::Caller, 100).unwrap()
    }

    pub fn grow(&mut self, id: Holder, purpose: Purpose, bytes: usize) -> Result<(), Full> {
        self.run(|tables, cx| hold::grow(tables, Some(id), purpose, bytes, cx))
    }

    pub fn grow_reply(&mut self, id: Holder, bytes: usize) -> Result<(), Full> {
        self.run(|tables, cx| hold::grow_reply(tables, id, bytes, cx))
    }

    /// Begins a reply of which `bytes` arrive, for which there is room.
    pub fn reply(&mut self, bytes: usize) -> Holder {
        let id = self.tables.insert_reply();
        self.grow_reply(id, bytes).unwrap();
        id
    }

    /// Opens a connection to a target that takes `bytes` by itself.
    pub fn open_link(&mut self, bytes: usize) -> Result<Holder, Full> {
        self.run(|tables, cx| link::open(tables, bytes, cx))
    }

    /// Opens a connection to a target, for which there is room, that is idle from now on.
    pub fn idle_link(&mut self, bytes: usize) -> Holder {
        let id = self.open_link(bytes).unwrap();
        self.rest_link(id);
        id
    }

    pub fn rest_link(&mut self, id: Holder) {
        link::rest(&mut self.tables, id, self.now);
    }

    pub fn work_link(&mut self, id: Holder) {
        link::work(&mut self.tables, id);
    }

    pub fn receive(&mut self, id: Holder, bytes: usize) {
        transfer::receive(&mut self.tables, id, bytes, self.now);
    }

    pub fn work(&mut self, id: Holder) -> Result<(), Full> {
        self.run(|tables, cx| hold::begin_work(tables, id, cx))
    }

    /// Answers a request with `bytes`, of which none is taken.
    pub fn answer(&mut self, id: Holder, bytes: usize) -> Result<(), Full> {
        self.grow(id, Purpose::Answer, bytes)?;
        transfer::begin_answer(&mut self.tables, id, 0, self.now);
        Ok(())
    }

    /// Answers a request with `bytes` that count already.
    pub fn answer_attributed(&mut self, id: Holder, bytes: usize) {
        transfer::begin_answer(&mut self.tables, id, bytes, self.now);
    }

    pub fn wait_for_reader(&mut self, id: Holder) {
        transfer::wait_for_reader(&mut self.tables, id, self.now);
    }

    pub fn send(&mut self, id: Holder, bytes: usize) {
        transfer::send(&mut self.tables, id, bytes, self.now);
    }

    pub fn finish(&mut self, id: Holder) {
        transfer::end_answer(&mut self.tables, id, self.now);
    }
}
