//! The connections of others, and the bytes that are held for them.

use std::{collections::BTreeMap, time::Duration};

use super::Purpose;
use crate::time::Instant;

/// The id of a row, never used twice in a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder(pub u64);

/// A port at which others open connections. Each has a limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Port {
    pub party: Party,
    /// The number of the thread that serves the port.
    pub thread: u16,
}

/// Who opens connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Caller,
    /// The balancer, which asks whether the VM is ready.
    Probe,
    /// The collector of metrics.
    Collector,
    Operator,
    /// Another VM. Its connection is never closed to make room.
    Vm,
    /// Anyone whose connection is refused and closed as soon as that is answered.
    Refused,
}

impl Party {
    /// Returns the name of the party in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Party::Caller => "caller",
            Party::Probe => "probe",
            Party::Collector => "collector",
            Party::Operator => "operator",
            Party::Vm => "vm",
            Party::Refused => "refused",
        }
    }
}

/// Bytes on their way in or out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    pub since: Instant,
    /// When bytes moved last.
    pub last: Instant,
    /// The bytes that have moved so far.
    pub moved: usize,
}

impl Transfer {
    /// Starts a transfer.
    pub fn new(now: Instant) -> Transfer {
        Transfer { since: now, last: now, moved: 0 }
    }

    /// Records that bytes moved.
    pub fn advance(&mut self, bytes: usize, now: Instant) {
        self.moved += bytes;
        self.last = now;
    }

    /// Returns when the other side is too slow: nothing has moved for `patience`, or the
    /// average since then is below `min_rate` in bytes a second. A byte now and then buys next
    /// to no time.
    pub fn deadline(&self, patience: Duration, min_rate: usize) -> Instant {
        let micros = (self.moved as u64).saturating_mul(1_000_000) / min_rate.max(1) as u64;
        let allowed = patience.saturating_add(Duration::from_micros(micros));
        (self.last + patience).min(self.since + allowed)
    }

    /// Returns the average rate in bytes a second.
    pub fn rate(&self, now: Instant) -> u64 {
        let millis = now.since(self.since).as_millis().max(1) as u64;
        (self.moved as u64).saturating_mul(1000) / millis
    }
}

/// A connection that was opened by others.
#[derive(Clone, Debug)]
pub struct Row {
    pub port: Port,
    /// The bytes that the connection takes by itself, without long messages.
    pub base: usize,
    /// The further bytes that are held for it.
    pub bytes: usize,
    /// The bytes of its answers that count without it, but are dropped with it.
    pub attributed: usize,
    /// Since when nothing is under way, or when the connection was opened.
    pub idle_since: Instant,
    /// The request that is arriving.
    pub receiving: Option<Transfer>,
    /// Whether a request is being worked on.
    pub is_working: bool,
    /// The answer that the other side has not taken whole.
    pub sending: Option<Transfer>,
    /// The number of requests that were answered.
    pub answered: u64,
    /// Whether the connection was chosen to be closed.
    pub is_closing: bool,
}

impl Row {
    /// Returns the bytes that are dropped with the connection.
    pub fn total(&self) -> usize {
        self.bytes + self.attributed
    }
}

/// A connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// The bytes that the connection takes by itself, without a reply.
    pub base: usize,
    /// Since when it has carried no request; none while it carries one.
    pub idle_since: Option<Instant>,
    /// Whether it was chosen to be closed.
    pub is_closing: bool,
}

/// A reply of a target on its way in. Its bytes count as those of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The bytes that are held for it.
    pub bytes: usize,
    /// Whether it was chosen to be given up.
    pub is_closing: bool,
}

/// The connections and the sums over them.
#[derive(Debug, Default)]
pub struct Tables {
    pub rows: BTreeMap<Holder, Row>,
    /// The number of connections of each port that are not being closed.
    pub ports: BTreeMap<Port, usize>,
    /// The bytes that those connections take by themselves.
    pub bases: usize,
    /// The bytes that are held for each purpose, beside those of the connections.
    pub held: BTreeMap<Purpose, usize>,
    /// The part of them that is held for connections that are being closed.
    pub closing: usize,
    pub links: BTreeMap<Holder, Link>,
    /// The bytes that connections to targets take by themselves.
    pub linked: usize,
    /// The part of them that is taken by those that are being closed.
    pub unlinked: usize,
    pub replies: BTreeMap<Holder, Reply>,
    /// The bytes that are held for replies on their way in.
    pub arriving: usize,
    /// The part of them that is held for replies that are given up.
    pub given_up: usize,
    /// The most bytes that there were in all, with those of connections to targets.
    pub peak: usize,
    last_id: u64,
}

impl Tables {
    /// Returns the bytes that are held for all purposes and connections.
    pub fn bytes(&self) -> usize {
        self.bases + self.held.values().sum::<usize>()
    }

    /// Returns the same with what connections to targets take.
    pub fn total_bytes(&self) -> usize {
        self.bytes() + self.linked
    }

    fn note_peak(&mut self) {
        self.peak = self.peak.max(self.total_bytes());
    }

    /// Returns the bytes that are held for a purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.held.get(&purpose).copied().unwrap_or_default()
    }

    /// Returns the number of connections of a port that are not being closed.
    pub fn count(&self, port: Port) -> usize {
        self.ports.get(&port).copied().unwrap_or_default()
    }

    /// Returns the number of all connections that are not being closed.
    pub fn connections(&self) -> usize {
        self.ports.values().sum()
    }

    fn next_id(&mut self) -> Holder {
        self.last_id += 1;
        Holder(self.last_id)
    }

    /// Adds a connection to a target that is being opened for a request.
    pub fn insert_link(&mut self, base: usize) -> Holder {
        let id = self.next_id();
        self.links.insert(id, Link { base, idle_since: None, is_closing: false });
        self.linked += base;
        self.note_peak();
        id
    }

    /// Marks a connection to a target as one that is being closed.
    pub fn close_link(&mut self, id: Holder) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if !std::mem::replace(&mut link.is_closing, true) {
            self.unlinked += link.base;
        }
    }

    /// Removes a connection to a target that has ended.
    pub fn remove_link(&mut self, id: Holder) {
        self.close_link(id);
        if let Some(link) = self.links.remove(&id) {
            self.linked = self.linked.saturating_sub(link.base);
            self.unlinked = self.unlinked.saturating_sub(link.base);
        }
    }

    /// Adds a reply that begins to arrive.
    pub fn insert_reply(&mut self) -> Holder {
        let id = self.next_id();
        self.replies.insert(id, Reply::default());
        id
    }

    /// Adds to the bytes that are held for a reply on its way in.
    pub fn add_to_reply(&mut self, id: Holder, bytes: usize) {
        self.add(None, Purpose::Answer, bytes);
        let Some(reply) = self.replies.get_mut(&id) else { return };
        reply.bytes += bytes;
        self.arriving += bytes;
        if reply.is_closing {
            self.given_up += bytes;
        }
    }

    /// Removes a reply that has arrived or ended. Its bytes stay counted.
    pub fn remove_reply(&mut self, id: Holder) {
        let Some(reply) = self.replies.remove(&id) else { return };
        self.arriving = self.arriving.saturating_sub(reply.bytes);
        if reply.is_closing {
            self.given_up = self.given_up.saturating_sub(reply.bytes);
        }
    }

    /// Marks a reply as one that is given up.
    pub fn give_up_reply(&mut self, id: Holder) {
        let Some(reply) = self.replies.get_mut(&id) else { return };
        if !std::mem::replace(&mut reply.is_closing, true) {
            self.given_up += reply.bytes;
        }
    }

    /// Adds a connection that has just been opened.
    pub fn insert(&mut self, port: Port, base: usize, now: Instant) -> Holder {
        let id = self.next_id();
        let row = Row {
            port,
            base,
            bytes: 0,
            attributed: 0,
            idle_since: now,
            receiving: None,
            is_working: false,
            sending: None,
            answered: 0,
            is_closing: false,
        };
        self.rows.insert(id, row);
        *self.ports.entry(port).or_default() += 1;
        self.bases += base;
        self.note_peak();
        id
    }

    /// Removes a connection that has ended. Bytes that are still held stay counted.
    pub fn remove(&mut self, id: Holder) {
        self.mark_closing(id);
        if let Some(row) = self.rows.remove(&id) {
            self.closing = self.closing.saturating_sub(row.total());
        }
    }

    /// Records that bytes which count already are dropped with a connection.
    pub fn attribute(&mut self, id: Holder, bytes: usize) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        row.attributed += bytes;
        if row.is_closing {
            self.closing += bytes;
        }
    }

    /// Records that a connection has let go of all that was attributed to it.
    pub fn clear_attributed(&mut self, id: Holder) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        let attributed = std::mem::take(&mut row.attributed);
        if row.is_closing {
            self.closing = self.closing.saturating_sub(attributed);
        }
    }

    /// Adds to the bytes that are held, for a connection if it is known.
    pub fn add(&mut self, id: Option<Holder>, purpose: Purpose, bytes: usize) {
        *self.held.entry(purpose).or_default() += bytes;
        self.note_peak();
        if let Some(row) = id.and_then(|id| self.rows.get_mut(&id)) {
            row.bytes += bytes;
            if row.is_closing {
                self.closing += bytes;
            }
        }
    }

    /// Takes from the bytes that are held.
    pub fn subtract(&mut self, id: Option<Holder>, purpose: Purpose, bytes: usize) {
        if let Some(held) = self.held.get_mut(&purpose) {
            *held = held.saturating_sub(bytes);
        }
        if let Some(row) = id.and_then(|id| self.rows.get_mut(&id)) {
            row.bytes = row.bytes.saturating_sub(bytes);
            if row.is_closing {
                self.closing = self.closing.saturating_sub(bytes);
            }
        }
    }

    /// Marks a connection as one that is being closed.
    pub fn mark_closing(&mut self, id: Holder) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        if std::mem::replace(&mut row.is_closing, true) {
            return;
        }
        self.closing += row.total();
        self.bases = self.bases.saturating_sub(row.base);
        if let Some(count) = self.ports.get_mut(&row.port) {
            *count = count.saturating_sub(1);
        }
    }
}
