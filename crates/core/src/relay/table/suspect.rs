//! Requests suspected of crashing targets.

use std::{collections::BTreeMap, time::Duration};

use crate::{digest::Fingerprint, name::Name, time::Instant};

/// How long a loss counts. A target is back after some seconds, and a request
/// that crashes targets may be sent again after that.
const LOSS_RETENTION: Duration = Duration::from_secs(60);

/// How long it is remembered that a request crashed targets, after its last quarantine
/// began. It exceeds the longest quarantine.
const PROOF_RETENTION: Duration = Duration::from_secs(3600);

/// How long a request is refused after the first proof. Each further proof doubles it.
pub const FIRST_HOLD: Duration = Duration::from_secs(60);

/// The longest time for which a request is refused without a trial. The users' store
/// allows leases of ten minutes.
const LONGEST_HOLD: Duration = Duration::from_secs(480);

/// The most suspected requests. Beyond it, the one whose last loss is the oldest is dropped,
/// those that are proven last.
const MAX_SUSPECTS: usize = 1024;

/// When an attempt was sent, and when its connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    pub sent: Instant,
    pub lost: Instant,
}

/// The targets that were lost while they ran one request.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// The targets that ended the connection, until it is known whether they still run.
    pub unconfirmed: BTreeMap<Name, Loss>,
    /// The targets that took no connection afterwards.
    pub down: BTreeMap<Name, Loss>,
    /// How often it was proven that the request crashes targets.
    pub proofs: u32,
    /// When it was last proven.
    pub proven_at: Option<Instant>,
}

impl Suspect {
    /// Returns whether two targets went down one after the other, where the second
    /// got the request after the first was lost. Targets that go down together do
    /// so for another reason than the requests that they run. If it was proven before,
    /// one further target is enough.
    pub fn is_proven(&self) -> bool {
        if self.proofs > 0 {
            return !self.down.is_empty();
        }
        self.down.iter().any(|(second, later)| {
            let mut others = self.down.iter().filter(|(first, _)| *first != second);
            others.any(|(_, first)| later.sent >= first.lost)
        })
    }

    /// Counts a proof, for which the losses so far are used up, and returns how long the
    /// request is refused.
    fn count_proof(&mut self, now: Instant) -> Duration {
        let hold = FIRST_HOLD.saturating_mul(1 << self.proofs.min(8)).min(LONGEST_HOLD);
        self.proofs = self.proofs.saturating_add(1);
        self.proven_at = Some(now);
        self.down.clear();
        hold
    }

    fn last_loss(&self) -> Option<Instant> {
        self.unconfirmed.values().chain(self.down.values()).map(|loss| loss.lost).max()
    }

    fn is_expired(&self, now: Instant) -> bool {
        let is_forgotten = |at: Option<Instant>, retention: Duration| {
            at.is_none_or(|at| now.since(at) > retention)
        };
        is_forgotten(self.last_loss(), LOSS_RETENTION)
            && is_forgotten(self.proven_at, PROOF_RETENTION)
    }
}

/// The requests that are suspected of crashing targets or quarantined for it.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// The suspected requests with their losses.
    pub rows: BTreeMap<Fingerprint, Suspect>,
    /// The requests that this VM quarantined, with the time at which that ends.
    pub quarantined: BTreeMap<Fingerprint, Instant>,
    /// Whether a request was quarantined in this tick, so that legs of it may be queued.
    pub is_news: bool,
}

impl Suspects {
    /// Records that the connection of an attempt ended as it does when a target crashes.
    pub fn record_loss(&mut self, request: Fingerprint, target: &Name, loss: Loss) {
        self.make_room(loss.lost);
        self.rows.entry(request).or_default().unconfirmed.insert(target.clone(), loss);
    }

    /// Records that another VM lost a target, which took no connections afterwards.
    /// Returns whether this proves that the request crashes targets.
    pub fn record_down(&mut self, request: Fingerprint, target: Name, loss: Loss) -> bool {
        self.make_room(loss.lost);
        let row = self.rows.entry(request).or_default();
        row.down.insert(target, loss);
        row.is_proven()
    }

    fn make_room(&mut self, now: Instant) {
        self.rows.retain(|_, row| !row.is_expired(now));
        if self.rows.len() >= MAX_SUSPECTS
            && let Some((oldest, _)) =
                self.rows.iter().min_by_key(|(_, row)| (row.proven_at, row.last_loss()))
        {
            let oldest = *oldest;
            self.rows.remove(&oldest);
        }
    }

    /// Returns the requests with a loss of this target that is not confirmed.
    pub fn unconfirmed_on(&self, target: &Name) -> Vec<(Fingerprint, Loss)> {
        let loss = |row: &Suspect| row.unconfirmed.get(target).copied();
        self.rows.iter().filter_map(|(request, row)| Some((*request, loss(row)?))).collect()
    }

    /// Drops the unconfirmed losses of a target that takes connections: it did not
    /// crash.
    pub fn clear_target(&mut self, target: &Name) {
        for row in self.rows.values_mut() {
            row.unconfirmed.remove(target);
        }
    }

    /// Records that a target takes no connections, and returns the requests that
    /// this proves to crash targets.
    pub fn confirm_down(&mut self, target: &Name) -> Vec<Fingerprint> {
        let mut proven = Vec::new();
        for (request, row) in &mut self.rows {
            let Some(loss) = row.unconfirmed.remove(target) else { continue };
            row.down.insert(target.clone(), loss);
            if row.is_proven() {
                proven.push(*request);
            }
        }
        proven
    }

    /// Drops a request that a target answered, as it does not crash targets. Returns
    /// whether other VMs know of a loss.
    pub fn clear_request(&mut self, request: Fingerprint) -> bool {
        self.rows.remove(&request).is_some_and(|row| !row.down.is_empty())
    }

    /// Quarantines a request that is proven to crash targets, and returns how long.
    pub fn quarantine(&mut self, request: Fingerprint, now: Instant) -> Duration {
        let hold = self.rows.entry(request).or_default().count_proof(now);
        self.quarantined.retain(|_, until| *until > now);
        self.quarantined.insert(request, now + hold);
        self.is_news = true;
        hold
    }

    /// Returns how much longer this VM quarantines a request, if it does.
    pub fn time_left(&self, request: Fingerprint, now: Instant) -> Option<Duration> {
        let left = self.quarantined.get(&request)?.remaining(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether this VM quarantines a request.
    pub fn is_quarantined(&self, request: Fingerprint, now: Instant) -> bool {
        self.time_left(request, now).is_some()
    }
}
