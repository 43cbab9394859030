//! How far a VM has read the store, and what is known of the store's newest change.
//!
//! Whether what a VM has read is the newest state is decided here and nowhere else, from
//! positions, which compare the era of the store before the number of a change. The store
//! itself is the only authority on its era; what other VMs announce makes a VM read again,
//! and is dropped if the store does not confirm it. See `docs/design/platform.md`.

use std::time::Duration;

use crate::{
    name::Name,
    store::{Era, Position},
    time::Instant,
};

/// How long a VM may be behind others before it gives up its watch. It must exceed the
/// time by which the store answers one VM later than another.
const MAX_LAG: Duration = Duration::from_millis(400);

/// The number of scans in a row after which the store is believed against what was heard or
/// read before.
const MAX_UNCONFIRMED_SCANS: u32 = 5;

/// What is known of the newest change from others than the open watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    pub position: Position,
    /// The VM that announced it; none if a check of this VM found it.
    pub from: Option<Name>,
    pub at: Instant,
    /// How many scans were answered since then without it.
    missed: u32,
}

/// A scan that the store has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scan {
    pub position: Position,
    pub at: Instant,
}

/// How what a VM has read compares with what it knows of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing was read yet.
    Unread,
    /// No newer change is known.
    Newest,
    /// The store has newer changes in the same era.
    Behind,
    /// The era in which this VM has read is over. What it has read may be lost.
    Superseded,
}

/// What to do about a VM that has been behind for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Read everything again.
    Scan,
    /// Drop what was heard, as the store has no such change.
    Forget,
}

/// The state of the reading of one VM.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    position: Option<Position>,
    era: Option<Era>,
    heard: Heard,
    scan: Option<Scan>,
    /// What was heard last and is not in the store. VMs that do not know that yet announce it
    /// again.
    refuted: Option<Position>,
    /// How many scans in a row were of an era that is over.
    late_scans: u32,
    announced: Position,
    lag_deadline: Option<Instant>,
}

impl Reading {
    /// Returns the position up to which this VM has read; none before the first scan.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the latest era that the store has stated.
    pub fn era(&self) -> Option<Era> {
        self.era
    }

    /// Returns what others know of the newest change.
    pub fn heard(&self) -> &Heard {
        &self.heard
    }

    /// Returns the last scan that was answered.
    pub fn last_scan(&self) -> Option<Scan> {
        self.scan
    }

    /// Returns when this VM reads everything again if it is still behind.
    pub fn lag_deadline(&self) -> Option<Instant> {
        self.lag_deadline
    }

    /// Returns the newest position that this VM knows of.
    pub fn newest(&self) -> Position {
        self.position.unwrap_or_default().max(self.heard.position)
    }

    /// Compares what was read with what is known.
    pub fn standing(&self) -> Standing {
        let Some(own) = self.position else { return Standing::Unread };
        let newest_era = self.era.unwrap_or_default().max(self.heard.position.era);
        if own.era < newest_era {
            Standing::Superseded
        } else if own < self.heard.position {
            Standing::Behind
        } else {
            Standing::Newest
        }
    }

    /// Returns whether this VM has read everything that the store has if `newest` is the
    /// store's newest change. A position before the own one is of an earlier time, and proves
    /// nothing.
    pub fn is_complete_at(&self, newest: Position) -> bool {
        self.position == Some(newest)
    }

    /// Records the era that an answer of the store states. Returns the era that has ended,
    /// if a later one has begun.
    pub fn state_era(&mut self, era: Era) -> Option<Era> {
        let ended = self.era.filter(|known| *known < era);
        self.era = self.era.max(Some(era));
        ended
    }

    /// Records a scan that was read at `position`. Returns false if it is of an era that is
    /// over, so that it was under way while the current one began. Several such scans in a
    /// row show that the store counts its eras anew.
    pub fn finish_scan(&mut self, position: Position, now: Instant) -> bool {
        let is_late = self.era.is_some_and(|era| position.era < era);
        self.late_scans = if is_late { self.late_scans + 1 } else { 0 };
        if is_late && self.late_scans < MAX_UNCONFIRMED_SCANS {
            return false;
        }
        self.late_scans = 0;
        self.era = Some(position.era);
        self.position = Some(position);
        self.scan = Some(Scan { position, at: now });
        if position < self.heard.position {
            self.heard.missed += 1;
        }
        true
    }

    /// Records that a watch has read up to `position`. Returns whether the watch continued
    /// what this VM has read; if not, the store has begun another era meanwhile.
    pub fn advance(&mut self, position: Position) -> bool {
        let Some(own) = &mut self.position else { return false };
        if own.era != position.era {
            return false;
        }
        *own = position.max(*own);
        true
    }

    /// Records what `from`, or a check of this VM, says about the newest change. Returns whether
    /// it is news.
    pub fn hear(&mut self, position: Position, from: Option<Name>, now: Instant) -> bool {
        if position <= self.newest() || Some(position) == self.refuted {
            return false;
        }
        self.heard = Heard { position, from, at: now, missed: 0 };
        true
    }

    /// Sets when this VM reads again, unless it is earlier already.
    pub fn schedule_scan(&mut self, at: Instant) {
        self.lag_deadline = Some(self.lag_deadline.map_or(at, |deadline| deadline.min(at)));
    }

    /// Sets when this VM reads again if it is still behind, unless that is set already.
    pub fn start_lag(&mut self, from: Instant) {
        self.lag_deadline.get_or_insert(from + MAX_LAG);
    }

    /// Returns whether this VM has been behind for too long.
    pub fn is_overdue(&mut self, now: Instant) -> bool {
        if matches!(self.standing(), Standing::Newest | Standing::Unread) {
            self.lag_deadline = None;
        }
        self.lag_deadline.is_some_and(|at| at <= now)
    }

    /// Returns what to do about being behind for too long, and starts the next time limit.
    pub fn remedy(&mut self, now: Instant) -> Remedy {
        self.lag_deadline = Some(now + MAX_LAG);
        if self.heard.missed >= MAX_UNCONFIRMED_SCANS { Remedy::Forget } else { Remedy::Scan }
    }

    /// Drops what was heard and not confirmed by the store.
    pub fn forget_heard(&mut self) {
        self.refuted = Some(self.heard.position);
        self.heard = Heard::default();
        self.announced = self.position.unwrap_or_default();
    }

    /// Returns whether there is news for other VMs.
    pub fn has_news(&self) -> bool {
        self.announced < self.newest()
    }

    /// Records that the newest position was announced, and returns it.
    pub fn announce(&mut self) -> Position {
        self.announced = self.newest();
        self.announced
    }

    /// Forgets what was read. It would be old when this VM reads again.
    pub fn reset(&mut self) {
        self.position = None;
    }
}
