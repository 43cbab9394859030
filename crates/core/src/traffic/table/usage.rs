//! Use of a profile: its open requests and its retry budget.

use crate::profile::WHOLE_PPM;

/// The use of a profile on this thread.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// The requests that are open at this entry.
    pub open: u32,
    /// The extra attempts that first attempts have allowed and that are not
    /// used yet, in millionths of an attempt.
    pub saved_millionths: u64,
    /// The retries since the start that were made ahead of the first attempts
    /// that would allow them.
    pub retries_advanced: u32,
}

impl Usage {
    /// Adds to the budget for a first attempt, which allows `extra_load`
    /// millionths of an extra attempt. At most `max` extra attempts are saved
    /// up.
    pub fn deposit(&mut self, extra_load: u32, max: u32) {
        let max = u64::from(max) * u64::from(WHOLE_PPM);
        self.saved_millionths = (self.saved_millionths + u64::from(extra_load)).min(max);
    }

    /// Takes one hedge from what first attempts allow. Returns whether the
    /// budget had one.
    pub fn take_hedge(&mut self) -> bool {
        let rest = self.saved_millionths.checked_sub(u64::from(WHOLE_PPM));
        if let Some(rest) = rest {
            self.saved_millionths = rest;
        }
        rest.is_some()
    }

    /// Takes one retry and returns whether it is allowed. Up to `max` retries
    /// since the start may go ahead of the first attempts, so that a target
    /// that is lost in the first seconds does not cost an answer. Hedges have
    /// no such advance, so that they stay within their share of the first
    /// attempts in a short run too.
    pub fn take_retry(&mut self, max: u32) -> bool {
        if self.take_hedge() {
            return true;
        }
        let is_allowed = self.retries_advanced < max;
        self.retries_advanced += u32::from(is_allowed);
        is_allowed
    }
}
