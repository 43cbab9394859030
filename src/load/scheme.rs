//! The sets of policies for routing, slots and hedging that are compared.

use laburnum_core::traffic::policy::{
    self, Adaptive, AllSlots, Direct, EqualShare, HEDGE_QUANTILE_PERMILLE, Hedge, Home,
    LeastExpected, Never, NeverCoalesce, Policies, Quantile, Route, Slots,
};

/// A named set of policies.
#[derive(Clone, Copy, Debug)]
pub struct Scheme {
    /// The name on the command line.
    pub name: &'static str,
    /// Makes the policies of one traffic thread.
    pub policies: policy::Factory,
}

/// All schemes; the first is the one that the product uses.
pub const SCHEMES: &[Scheme] = &[
    Scheme { name: "homes", policies: Policies::default },
    Scheme { name: "homes-no-sharing", policies: || policies(Home, AllSlots, default_hedge()) },
    Scheme { name: "homes-no-hedge", policies: || policies(Home, AllSlots, Never) },
    Scheme { name: "share", policies: || policies(Direct, EqualShare, default_hedge()) },
    Scheme { name: "share-no-hedge", policies: || policies(Direct, EqualShare, Never) },
    Scheme {
        name: "adaptive",
        policies: || policies(Direct, Adaptive::default(), default_hedge()),
    },
    Scheme { name: "adaptive-no-hedge", policies: || policies(Direct, Adaptive::default(), Never) },
];

fn default_hedge() -> Quantile {
    Quantile { permille: HEDGE_QUANTILE_PERMILLE }
}

fn policies(
    route: impl Route + Send + 'static,
    slots: impl Slots + Send + 'static,
    hedge: impl Hedge + Send + 'static,
) -> Policies {
    Policies {
        route: Box::new(route),
        slots: Box::new(slots),
        hedge: Box::new(hedge),
        choice: Box::new(LeastExpected),
        coalesce: Box::new(NeverCoalesce),
    }
}

impl Scheme {
    /// Finds a scheme by its name.
    pub fn named(name: &str) -> Option<Scheme> {
        SCHEMES.iter().find(|scheme| scheme.name == name).copied()
    }

    /// Whether this is a scheme to compare the product with, in which each VM sends
    /// to the targets itself, without homes.
    pub fn is_baseline(&self) -> bool {
        !self.name.starts_with("homes")
    }
}
