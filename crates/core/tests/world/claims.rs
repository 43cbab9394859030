//! A replacement for the control threads in worlds without them: claims,
//! quarantine and the exit of a VM that is leaving.

use std::time::Duration;

use laburnum_core::{
    claim::{self, Verdict},
    name::Name,
    notice::{Notice, Report},
    traffic::Event,
    view::State,
};

use super::{Delivery, World};

/// The time until every VM knows of a request in quarantine.
pub const SPREAD_DELAY: Duration = Duration::from_millis(50);

/// The time from the report that nothing is in flight to the exit of the VM.
const EXIT_DELAY: Duration = Duration::from_millis(500);

/// The number of lost targets at which a request goes into quarantine.
const QUARANTINE_THRESHOLD: usize = 2;

impl World {
    /// Handles a report of a traffic thread.
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
                if targets.len() >= QUARANTINE_THRESHOLD {
                    self.quarantine.insert(*fingerprint);
                }
                self.schedule(self.now + SPREAD_DELAY, Delivery::Publish);
            }
            Report::InFlight { count: 0 } if self.exits_when_idle => {
                self.schedule(self.now + EXIT_DELAY, Delivery::Exit { vm: vm.clone() });
            }
            _ => {}
        }
        self.reports.push(report);
    }

    fn claim(&mut self, request: claim::Request) -> Verdict {
        if self.claims_unsettled {
            return Verdict::Unsettled { detail: "the claim was not stored in time".to_owned() };
        }
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
        self.note_lost_revision();
        self.targets.close_connections_of(name);
        self.publish();
        self.report_lost_lane(name);
    }
}
