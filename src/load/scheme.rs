//! The ways to route, limit and hedge that are compared.

use laburnum_core::traffic::policy::{
    self, Adaptive, AllSlots, Direct, EqualShare, HEDGE_QUANTILE_PERMILLE, Hedge, Home,
    LeastExpected, Never, NeverCoalesce, Policies, Quantile, Route, Slots,
};

/// A set of policies under a name.
#[derive(Clone, Copy, Debug)]
pub struct Scheme {
    /// The name on the command line.
    pub name: &'static str,
    /// Makes the policies of a thread.
    pub policies: policy::Factory,
}

/// Every scheme; the first is the product.
pub const SCHEMES: &[Scheme] = &[
    Scheme { name: "homes", policies: Policies::default },
    Scheme { name: "homes-no-sharing", policies: || make(Home, AllSlots, hedge()) },
    Scheme { name: "homes-no-hedge", policies: || make(Home, AllSlots, Never) },
    Scheme { name: "share", policies: || make(Direct, EqualShare, hedge()) },
    Scheme { name: "share-no-hedge", policies: || make(Direct, EqualShare, Never) },
    Scheme { name: "adaptive", policies: || make(Direct, Adaptive::default(), hedge()) },
    Scheme { name: "adaptive-no-hedge", policies: || make(Direct, Adaptive::default(), Never) },
];

fn hedge() -> Quantile {
    Quantile { permille: HEDGE_QUANTILE_PERMILLE }
}

fn make(
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
    /// The scheme with this name.
    pub fn named(name: &str) -> Option<Scheme> {
        SCHEMES.iter().find(|scheme| scheme.name == name).copied()
    }

    /// Whether each VM goes to the targets on its own.
    pub fn is_baseline(&self) -> bool {
        !self.name.starts_with("homes")
    }
}
