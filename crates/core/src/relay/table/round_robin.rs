//! Weighted round robin over the services of a route.

use std::collections::BTreeMap;

use crate::{name::Name, relay::route::WeightedService};

/// The credit of each service of a route. The service with the most credit is
/// picked next, which keeps the shares exact over any sequence of requests.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    credits: BTreeMap<Name, f64>,
}

impl RoundRobin {
    /// Picks the next service of `parts`. `draw`, from 0 to 1, is random and sets the
    /// phase of the first pick, so that VMs that start together pick differently.
    pub fn pick(&mut self, parts: &[WeightedService], draw: f64) -> Option<Name> {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        let is_known = parts.iter().all(|part| self.credits.contains_key(&part.service));
        if !is_known || self.credits.len() != parts.len() {
            let start = |part: &WeightedService| (part.service.clone(), part.weight * draw);
            self.credits = parts.iter().map(start).collect();
        }
        for part in parts {
            *self.credits.entry(part.service.clone()).or_default() += part.weight;
        }
        let best = parts
            .iter()
            .max_by(|a, b| self.credits[&a.service].total_cmp(&self.credits[&b.service]))?;
        *self.credits.entry(best.service.clone()).or_default() -= total;
        Some(best.service.clone())
    }
}
