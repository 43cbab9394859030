//! Use of a profile: open requests and the budget of extra attempts.

use crate::profile::WHOLE;

/// Use of a profile on this thread.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Its requests that are open at this entry.
    pub open: u32,
    /// The extra attempts that it may make, in millionths of an attempt.
    pub saved: u64,
    /// Whether the budget was filled for the first time.
    pub started: bool,
}

impl Usage {
    /// Notes a first attempt, which allows `extra_load` millionths of an extra
    /// one, up to `most` attempts in all.
    pub fn earn(&mut self, extra_load: u32, most: u32) {
        let most = u64::from(most) * u64::from(WHOLE);
        if !self.started {
            self.started = true;
            self.saved = if extra_load == 0 { 0 } else { most };
        }
        self.saved = (self.saved + u64::from(extra_load)).min(most);
    }

    /// Takes one extra attempt from the budget, or says that there is none.
    pub fn spend(&mut self) -> bool {
        let rest = self.saved.checked_sub(u64::from(WHOLE));
        if let Some(rest) = rest {
            self.saved = rest;
        }
        rest.is_some()
    }
}
