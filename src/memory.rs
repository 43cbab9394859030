//! Counts what the threads of a process hold for others, and tells connections to close.
//!
//! The decisions are those of [`laburnum_core::memory`]. A front opens an [`Account`] for
//! each connection, and whoever collects bytes has a [`Hold`] that grows with them, or an
//! [`Arrival`] if they are a reply of a target. All give back what they took when they are
//! dropped, so that nothing is counted that is gone.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use laburnum_core::{
    border::Clock,
    count::{Count, Counts},
    log::{Event, Line},
    memory::{
        Full, Holder, Limits, Port, Purpose, Tables,
        system::{Context, admit, hold, link, transfer},
    },
};
use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;

use crate::{clock::System, log::Writer, metric::Metrics};

/// The most bytes of one message that do not count by themselves: they are part of what
/// their connection counts.
const SMALL_BYTES: usize = 8 << 10;

/// The descriptors that are kept free of connections, for listeners, the log and the
/// runtimes.
const OWN_DESCRIPTORS: usize = 64;

/// Returns the number of descriptors that this process may use for connections.
pub fn descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let limit = limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX));
    limit.saturating_sub(OWN_DESCRIPTORS)
}

/// Tells people which connections were closed.
pub struct Observer {
    pub writer: Writer,
    pub metrics: Arc<Metrics>,
}

/// The table that the threads of a process share. Clones share it.
#[derive(Clone)]
pub struct Ledger(Arc<Shared>);

struct Shared {
    limits: Limits,
    clock: System,
    observer: Option<Observer>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    tables: Tables,
    /// Tells the task of each connection to close it.
    closers: BTreeMap<Holder, Arc<Notify>>,
}

impl State {
    /// Makes what tells the task of a connection to close it.
    fn add_closer(&mut self, id: Holder) -> Arc<Notify> {
        let closer = Arc::new(Notify::new());
        self.closers.insert(id, Arc::clone(&closer));
        closer
    }
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ledger").field("limits", &self.0.limits).finish_non_exhaustive()
    }
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger::new(Limits::default(), System::start(), None)
    }
}

impl Ledger {
    /// Makes an empty table with these limits.
    pub fn new(limits: Limits, clock: System, observer: Option<Observer>) -> Ledger {
        Ledger(Arc::new(Shared { limits, clock, observer, state: Mutex::default() }))
    }

    /// Returns the limits.
    pub fn limits(&self) -> &Limits {
        &self.0.limits
    }

    /// Returns the bytes that are held, with those of connections to targets.
    pub fn bytes(&self) -> usize {
        self.lock().tables.total_bytes()
    }

    /// Returns the most bytes that were held at once.
    pub fn peak(&self) -> usize {
        self.lock().tables.peak
    }

    /// Opens the account of a connection at a port that may have `max` of them. The
    /// connection takes `base` bytes by itself.
    pub fn open(&self, port: Port, max: usize, base: usize) -> Result<Account, Full> {
        let mut state = self.lock();
        let id = self.run(&mut state, |tables, cx| admit::open(tables, port, max, base, cx))?;
        let closer = state.add_closer(id);
        Ok(Account { ledger: self.clone(), id, closer })
    }

    /// Opens the account of a connection to a target, which takes `base` bytes by itself.
    pub fn open_link(&self, base: usize) -> Result<Link, Full> {
        let mut state = self.lock();
        let id = self.run(&mut state, |tables, cx| link::open(tables, base, cx))?;
        let closer = state.add_closer(id);
        Ok(Link { ledger: self.clone(), id, closer })
    }

    /// Makes an empty hold that belongs to no connection of others.
    pub fn hold(&self, purpose: Purpose) -> Hold {
        Hold { ledger: self.clone(), holder: None, purpose, bytes: 0 }
    }

    /// Makes the account of a reply that begins to arrive.
    pub fn begin_reply(&self) -> Arrival {
        let mut state = self.lock();
        let id = state.tables.insert_reply();
        let closer = state.add_closer(id);
        Arrival { hold: self.hold(Purpose::Answer), id, closer }
    }

    /// Runs a system and tells the connections that it chose to close.
    fn run<T>(
        &self,
        state: &mut State,
        system: impl FnOnce(&mut Tables, &mut Context<'_>) -> T,
    ) -> T {
        let (now, limits) = (self.0.clock.now(), &self.0.limits);
        let mut close = Vec::new();
        let result = system(&mut state.tables, &mut Context { now, limits, close: &mut close });
        for id in close {
            if let Some(closer) = state.closers.get(&id) {
                closer.notify_one();
            }
            self.report(state, id);
        }
        result
    }

    /// Logs and counts a connection that is closed to make room.
    fn report(&self, state: &State, id: Holder) {
        let Some(observer) = &self.0.observer else { return };
        let Some(row) = state.tables.rows.get(&id) else { return };
        let now = self.0.clock.now();
        let transfer = row.sending.or(row.receiving);
        let fields = vec![
            ("party", row.port.party.as_str().to_owned()),
            ("bytes", row.bytes.to_string()),
            ("answered", row.answered.to_string()),
            ("rate", transfer.map_or(0, |transfer| transfer.rate(now)).to_string()),
        ];
        observer.writer.write(&Line::new(Event::ConnectionEvicted, fields), now);
        let mut counts = Counts::default();
        counts.add(Count::Evicted);
        observer.metrics.add(&counts);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A thread that panicked with the lock held has changed the sums or not, and the
        // process ends.
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The row of one connection, which is removed when the account is dropped.
pub struct Account {
    ledger: Ledger,
    id: Holder,
    closer: Arc<Notify>,
}

impl Account {
    /// Waits until the connection is to be closed to make room.
    pub async fn closing(&self) {
        self.closer.notified().await;
    }

    /// Makes an empty hold for this connection.
    pub fn hold(&self, purpose: Purpose) -> Hold {
        Hold { ledger: self.ledger.clone(), holder: Some(self.id), purpose, bytes: 0 }
    }

    /// Records that bytes of a request arrived.
    pub fn receive(&self, bytes: usize) {
        let now = self.ledger.0.clock.now();
        transfer::receive(&mut self.ledger.lock().tables, self.id, bytes, now);
    }

    /// Records that a request has arrived whole, if there is room to work on it.
    pub fn begin_work(&self) -> Result<(), Full> {
        let mut state = self.ledger.lock();
        self.ledger.run(&mut state, |tables, cx| hold::begin_work(tables, self.id, cx))
    }

    /// Records that the answer to a request begins, of which `attributed` bytes count already.
    pub fn begin_answer(&self, attributed: usize) {
        let now = self.ledger.0.clock.now();
        transfer::begin_answer(&mut self.ledger.lock().tables, self.id, attributed, now);
    }

    /// Records that the network takes no more of an answer at once.
    pub fn wait_for_reader(&self) {
        let now = self.ledger.0.clock.now();
        transfer::wait_for_reader(&mut self.ledger.lock().tables, self.id, now);
    }

    /// Records that the other side took bytes of an answer.
    pub fn send(&self, bytes: usize) {
        let now = self.ledger.0.clock.now();
        transfer::send(&mut self.ledger.lock().tables, self.id, bytes, now);
    }

    /// Returns how long the other side may still take to read; see
    /// [`laburnum_core::memory::Transfer::deadline`].
    pub fn reader_time_left(&self, patience: Duration, min_rate: usize) -> Duration {
        let now = self.ledger.0.clock.now();
        let state = self.ledger.lock();
        let sending = state.tables.rows.get(&self.id).and_then(|row| row.sending);
        sending.map_or(patience, |transfer| transfer.deadline(patience, min_rate).remaining(now))
    }

    /// Records that the other side took the whole answer.
    pub fn end_answer(&self) {
        let now = self.ledger.0.clock.now();
        transfer::end_answer(&mut self.ledger.lock().tables, self.id, now);
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.ledger.lock();
        state.tables.remove(self.id);
        state.closers.remove(&self.id);
    }
}

/// The row of a connection to a target, which is removed when this is dropped.
pub struct Link {
    ledger: Ledger,
    id: Holder,
    closer: Arc<Notify>,
}

impl Link {
    /// Records that the connection is idle, and waits until it is to be closed to make room.
    pub async fn rest(&self) {
        let now = self.ledger.0.clock.now();
        link::rest(&mut self.ledger.lock().tables, self.id, now);
        self.closer.notified().await;
    }

    /// Records that the connection carries a request, which keeps it open.
    pub fn work(&self) {
        link::work(&mut self.ledger.lock().tables, self.id);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let mut state = self.ledger.lock();
        state.tables.remove_link(self.id);
        state.closers.remove(&self.id);
    }
}

/// A reply of a target on its way in, whose row is removed when this is dropped.
pub struct Arrival {
    hold: Hold,
    id: Holder,
    closer: Arc<Notify>,
}

impl Arrival {
    /// Returns what is notified when the reply is given up to make room.
    pub fn closer(&self) -> Arc<Notify> {
        Arc::clone(&self.closer)
    }

    /// Counts `bytes` in all from now on, also if they are few: a connection to a target
    /// counts nothing by itself.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Full> {
        let id = self.id;
        self.hold.extend(bytes, |tables, more, cx| hold::grow_reply(tables, id, more, cx))
    }

    /// Returns the hold of a reply that has arrived.
    pub fn finish(mut self) -> Hold {
        let empty = self.hold.ledger.hold(Purpose::Answer);
        std::mem::replace(&mut self.hold, empty)
    }
}

impl laburnum_http::buffer::Room for Hold {
    fn grow_to(&mut self, bytes: usize) -> bool {
        Hold::grow_to(self, bytes).is_ok()
    }
}

impl laburnum_http::buffer::Room for Arrival {
    fn grow_to(&mut self, bytes: usize) -> bool {
        Arrival::grow_to(self, bytes).is_ok()
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        let mut state = self.hold.ledger.lock();
        state.tables.remove_reply(self.id);
        state.closers.remove(&self.id);
    }
}

/// Bytes that are held, which are given back when the hold is dropped.
pub struct Hold {
    ledger: Ledger,
    holder: Option<Holder>,
    purpose: Purpose,
    /// The bytes that count.
    bytes: usize,
}

impl Hold {
    /// Counts `bytes` in all from now on. A hold never shrinks.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), Full> {
        if bytes <= SMALL_BYTES {
            return Ok(());
        }
        let (holder, purpose) = (self.holder, self.purpose);
        self.extend(bytes, |tables, more, cx| hold::grow(tables, holder, purpose, more, cx))
    }

    /// Counts `bytes` in all if a system admits those that are new.
    fn extend(
        &mut self,
        bytes: usize,
        admit: impl FnOnce(&mut Tables, usize, &mut Context<'_>) -> Result<(), Full>,
    ) -> Result<(), Full> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let more = bytes - self.bytes;
        let mut state = self.ledger.lock();
        self.ledger.run(&mut state, |tables, cx| admit(tables, more, cx))?;
        self.bytes = bytes;
        Ok(())
    }

    /// Counts `bytes` in all, also if there is no room for them. It is for copies of what
    /// counts already, which cannot be refused any more.
    pub fn force(&mut self, bytes: usize) {
        if bytes > SMALL_BYTES && bytes > self.bytes {
            let more = bytes - self.bytes;
            self.ledger.lock().tables.add(self.holder, self.purpose, more);
            self.bytes = bytes;
        }
    }

    /// Returns the same bytes, which are counted until the last copy of them is dropped.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Kept { bytes, _hold: self })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.ledger.lock().tables.subtract(self.holder, self.purpose, self.bytes);
        }
    }
}

/// Bytes with the hold that counts them.
struct Kept {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
