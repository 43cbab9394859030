//! The policies of a traffic thread: routing, limits on targets, hedging,
//! choice of targets and coalescing. They are trait objects, so that
//! alternatives can be compared in one run. See `docs/design/homes.md`.

pub mod route;
pub mod slots;
pub mod hedge;
pub mod choice;
pub mod coalesce;

use std::fmt;

pub use self::{
    choice::{Candidate, Choice, LeastExpected},
    coalesce::{Coalesce, CoalesceSearches, NeverCoalesce},
    hedge::{Hedge, Never, Quantile},
    route::{Direct, Home, Route},
    slots::{Adaptive, AllSlots, EqualShare, Slots},
};

/// The policies of a traffic thread.
pub struct Policies {
    /// Which VMs serve a shard.
    pub route: Box<dyn Route + Send>,
    /// How many attempts run at a target at a time.
    pub slots: Box<dyn Slots + Send>,
    /// When a slow attempt is hedged.
    pub hedge: Box<dyn Hedge + Send>,
    /// Which target gets a job.
    pub choice: Box<dyn Choice + Send>,
    /// Which legs share an attempt.
    pub coalesce: Box<dyn Coalesce + Send>,
}

/// Creates the policies of one thread. Each thread has its own, because
/// policies may hold state.
pub type Factory = fn() -> Policies;

/// The quantile of the latencies beyond which an attempt is hedged by default,
/// in thousandths.
pub const HEDGE_QUANTILE_PERMILLE: u32 = 970;

impl fmt::Debug for Policies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entry(&self.route)
            .entry(&self.slots)
            .entry(&self.hedge)
            .entry(&self.choice)
            .entry(&self.coalesce)
            .finish()
    }
}

impl Default for Policies {
    fn default() -> Policies {
        Policies {
            route: Box::new(Home),
            slots: Box::new(AllSlots),
            hedge: Box::new(Quantile { permille: HEDGE_QUANTILE_PERMILLE }),
            choice: Box::new(LeastExpected),
            coalesce: Box::new(CoalesceSearches),
        }
    }
}
