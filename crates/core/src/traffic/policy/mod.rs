//! Policies of the traffic threads, as trait objects, so that ways to route and
//! to limit can be compared in one run. See `docs/design/homes.md`.

pub mod route;
pub mod slots;
pub mod hedge;
pub mod choice;
pub mod join;

use std::fmt;

pub use self::{
    choice::{Chance, Choice, LeastExpected},
    hedge::{Hedge, Never, Quantile},
    join::{Alone, Join, Searches},
    route::{Direct, Home, Route},
    slots::{Adaptive, Exact, Share, Slots},
};

/// The policies of a traffic thread.
pub struct Policies {
    /// Where a shard is served.
    pub route: Box<dyn Route + Send>,
    /// How many attempts run at a target.
    pub slots: Box<dyn Slots + Send>,
    /// When a slow attempt is hedged.
    pub hedge: Box<dyn Hedge + Send>,
    /// Which target gets a job.
    pub choice: Box<dyn Choice + Send>,
    /// Which legs share an attempt.
    pub join: Box<dyn Join + Send>,
}

/// Makes the policies of a thread; each thread has its own.
pub type Make = fn() -> Policies;

/// The quantile beyond which an attempt is hedged, in thousandths.
pub const HEDGE_QUANTILE: u32 = 970;

impl fmt::Debug for Policies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entry(&self.route)
            .entry(&self.slots)
            .entry(&self.hedge)
            .entry(&self.choice)
            .entry(&self.join)
            .finish()
    }
}

impl Default for Policies {
    fn default() -> Policies {
        Policies {
            route: Box::new(Home),
            slots: Box::new(Exact),
            hedge: Box::new(Quantile { part: HEDGE_QUANTILE }),
            choice: Box::new(LeastExpected),
            join: Box::new(Searches),
        }
    }
}
