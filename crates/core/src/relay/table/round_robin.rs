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
    /// Picks the next service of `services`. `draw`, from 0 to 1, is random and sets the
    /// phase of the first pick, so that VMs that start together pick differently.
    pub fn pick(&mut self, services: &[WeightedService], draw: f64) -> Option<Name> {
        let total: f64 = services.iter().map(|service| service.weight).sum();
        let is_known = services.iter().all(|service| self.credits.contains_key(&service.service));
        if !is_known || self.credits.len() != services.len() {
            let start =
                |service: &WeightedService| (service.service.clone(), service.weight * draw);
            self.credits = services.iter().map(start).collect();
        }
        for service in services {
            *self.credits.entry(service.service.clone()).or_default() += service.weight;
        }
        let best = services
            .iter()
            .max_by(|a, b| self.credits[&a.service].total_cmp(&self.credits[&b.service]))?;
        *self.credits.entry(best.service.clone()).or_default() -= total;
        Some(best.service.clone())
    }
}
