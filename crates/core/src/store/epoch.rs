//! Decides what an answer of the store says about its era.
//!
//! A store may count its eras anew, so a lower era than before is no proof of a late
//! answer. Only the order of events in this process is: an answer to a call that was
//! started after an era was known cannot come from before that era. See
//! `docs/design/platform.md`.

use super::Era;

/// The time in which the store has stated one era, as one reader of its answers sees it.
/// Two epochs may have the same era if the store counts its eras anew, so what belongs to
/// an epoch is compared by the epoch and not by its era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Epoch {
    era: Option<Era>,
    /// The highest era of the epochs before.
    highest: Option<Era>,
    /// How many epochs came before. Before the first answer there is one without an era.
    number: u64,
}

/// What an answer says about the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// The era is the one that is known.
    Current,
    /// The era that was known is over.
    New,
    /// The answer may come from an era that is over, and proves nothing.
    Late,
}

impl Epoch {
    /// Returns the era that the store states; none before its first answer.
    pub fn era(&self) -> Option<Era> {
        self.era
    }

    /// Returns whether the store has counted its eras anew and may have stated this one in
    /// an earlier history too.
    pub fn may_repeat(&self) -> bool {
        self.era.is_some() && self.era <= self.highest
    }

    /// Records the era in the answer to a call that was started in the epoch `started`.
    ///
    /// A lower era in the answer to a call that was started in the present epoch shows that
    /// the store counts its eras anew. After an earlier start it shows nothing.
    pub fn observe(&mut self, started: Epoch, stated: Era) -> Statement {
        if self.era == Some(stated) {
            return Statement::Current;
        }
        let is_proof = started == *self;
        let is_later = started.era != Some(stated) && self.era < Some(stated);
        if !is_proof && !is_later {
            return Statement::Late;
        }
        self.begin(stated);
        Statement::New
    }

    /// Begins the next epoch, for a reader that has learnt otherwise that the store states
    /// this era.
    pub fn begin(&mut self, era: Era) {
        let highest = self.highest.max(self.era);
        *self = Epoch { era: Some(era), highest, number: self.number + 1 };
    }
}
