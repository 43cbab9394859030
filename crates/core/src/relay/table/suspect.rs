//! Requests with which targets were lost.

use std::{collections::BTreeMap, time::Duration};

use crate::{digest::Fingerprint, name::Name, time::Instant};

/// The time for which a loss counts: a target is back after some seconds, and a
/// request that crashes targets may come again after that.
const MEMORY: Duration = Duration::from_secs(60);

/// The losses that are remembered of all requests.
const MAX_ROWS: usize = 1024;

/// When an attempt was sent and lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// When it was sent.
    pub sent: Instant,
    /// When its connection was lost.
    pub lost: Instant,
}

/// The targets that were lost with one request.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// Those that ended the connection, before it is known whether they run.
    pub unconfirmed: BTreeMap<Name, Loss>,
    /// Those that took no connection after it.
    pub down: BTreeMap<Name, Loss>,
}

impl Suspect {
    /// Whether two targets went down one after the other: the second one got
    /// the request after it had taken the first. Targets that go down together
    /// do so for another reason than the requests that they run.
    pub fn is_proven(&self) -> bool {
        self.down.iter().any(|(second, later)| {
            let mut others = self.down.iter().filter(|(first, _)| *first != second);
            others.any(|(_, first)| later.sent >= first.lost)
        })
    }

    fn is_over(&self, now: Instant) -> bool {
        let losses = self.unconfirmed.values().chain(self.down.values());
        losses.map(|loss| loss.lost).max().is_none_or(|last| now.since(last) > MEMORY)
    }
}

/// Everything that is suspected or held back.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// The requests with which targets were lost.
    pub rows: BTreeMap<Fingerprint, Suspect>,
    /// The requests that are held back, with the end of that.
    pub held: BTreeMap<Fingerprint, Instant>,
}

impl Suspects {
    /// Notes that an attempt was lost in a way in which targets end that crash.
    pub fn record_loss(&mut self, request: Fingerprint, target: &Name, loss: Loss) {
        self.rows.retain(|_, row| !row.is_over(loss.lost));
        if self.rows.len() < MAX_ROWS {
            self.rows.entry(request).or_default().unconfirmed.insert(target.clone(), loss);
        }
    }

    /// Notes that a target takes connections: it did not crash.
    pub fn clear_target(&mut self, target: &Name) {
        for row in self.rows.values_mut() {
            row.unconfirmed.remove(target);
        }
    }

    /// Notes that a target takes no connections, and returns the requests that
    /// are proven by it.
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

    /// Notes that a target answered a request, which therefore crashes none.
    pub fn clear_request(&mut self, request: Fingerprint) {
        self.rows.remove(&request);
    }

    /// Whether a request is held back by this VM.
    pub fn is_held(&self, request: Fingerprint, now: Instant) -> bool {
        self.held.get(&request).is_some_and(|until| *until > now)
    }
}
