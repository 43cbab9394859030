//! Use of a profile: open requests and the budget of extra attempts.

use crate::profile::WHOLE_PPM;

/// Use of a profile on this thread.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Its requests that are open at this entry.
    pub open: u32,
    /// The extra attempts that its first attempts allow, in millionths of an
    /// attempt.
    pub saved: u64,
    /// The retries that were made before first attempts allowed them.
    pub advanced: u32,
}

impl Usage {
    /// Notes a first attempt, which allows `extra_load` millionths of an extra
    /// one, up to `most` attempts in all.
    pub fn earn(&mut self, extra_load: u32, most: u32) {
        let most = u64::from(most) * u64::from(WHOLE_PPM);
        self.saved = (self.saved + u64::from(extra_load)).min(most);
    }

    /// Takes one hedge from what first attempts allow, or says that there is
    /// none.
    pub fn hedge(&mut self) -> bool {
        let rest = self.saved.checked_sub(u64::from(WHOLE_PPM));
        if let Some(rest) = rest {
            self.saved = rest;
        }
        rest.is_some()
    }

    /// Takes one retry, which may go ahead of the first attempts by up to `most`
    /// since the start: a target that is lost in the first seconds must not cost
    /// an answer. Hedges have no such advance, so that they stay within their
    /// part of the first attempts also in a short run.
    pub fn retry(&mut self, most: u32) -> bool {
        if self.hedge() {
            return true;
        }
        let is_allowed = self.advanced < most;
        self.advanced += u32::from(is_allowed);
        is_allowed
    }
}
