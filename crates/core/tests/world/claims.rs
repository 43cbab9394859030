//! A stand-in for the control thread: claims, held-back requests and the end of
//! a VM that is leaving.

use std::time::Duration;

use laburnum_core::{
    claim::{self, Verdict},
    name::Name,
    notice::{Notice, Report},
    traffic::Event,
    view::State,
};

use super::{Delivery, World};

/// The time after which every VM knows of a request that is held back.
pub const SPREAD: Duration = Duration::from_millis(50);

/// The time for which a VM that has nothing in flight still runs.
const LINGER: Duration = Duration::from_millis(500);

/// The targets that a request may crash before it is held back.
const LOST_TARGETS: usize = 2;

impl World {
    /// Takes a report of a traffic thread.
    pub(super) fn report(&mut self, vm: &Name, report: Report) {
        if self.platform.is_some() {
            return self.report_to_control(vm, report);
        }
        match &report {
            Report::Claim { operation, request, .. } => {
                self.oracle.tokens.insert(*operation, request.token);
                if self.claims_down {
                    return;
                }
                let verdict = self.claim(request.clone());
                let notice = Notice::Claimed { operation: *operation, verdict };
                return self.deliver(vm, self.claim_delay, Event::Notice(notice));
            }
            Report::Outcome { request, outcome } => {
                if let Some((own, recorded)) = self.claims.get_mut(&request.key)
                    && own.token == request.token
                {
                    *recorded = Some(outcome.clone());
                }
                return;
            }
            Report::Suspect { fingerprint, target, .. } if self.shares_suspects => {
                let targets = self.suspects.entry(*fingerprint).or_default();
                targets.insert(target.clone());
                if targets.len() >= LOST_TARGETS {
                    self.quarantine.insert(*fingerprint);
                }
                self.schedule(self.now + SPREAD, Delivery::Publish);
            }
            Report::InFlight { count: 0 } if self.exits_when_idle => {
                self.schedule(self.now + LINGER, Delivery::Exit { vm: vm.clone() });
            }
            _ => {}
        }
        self.reports.push(report);
    }

    fn claim(&mut self, request: claim::Request) -> Verdict {
        match self.claims.get(&request.key) {
            Some((own, _)) if own.fingerprint != request.fingerprint => Verdict::Reused,
            Some((_, Some(claim::Outcome::Done { result }))) => {
                Verdict::Recorded { result: result.clone() }
            }
            Some((_, None)) => Verdict::Unknown,
            None | Some((_, Some(claim::Outcome::NotRun))) => {
                self.claims.insert(request.key, (request, None));
                Verdict::Granted
            }
        }
    }

    /// Ends the process of a VM that is leaving, if it has nothing in flight.
    pub(super) fn exit(&mut self, name: &Name) {
        let Some(vm) = self.vms.get_mut(name) else { return };
        let is_idle = vm.engine.tables().in_flight() == 0 && vm.inbox.is_empty();
        if !vm.alive || vm.listed != Some(State::Leaving) || !is_idle || vm.paused_until > self.now
        {
            return;
        }
        vm.alive = false;
        vm.listed = None;
        self.targets.forget(name);
        self.publish();
        self.report_lost_lane(name);
    }
}
