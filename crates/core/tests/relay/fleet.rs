//! A simulated store with the feeds of several VMs.

use std::{net::SocketAddr, time::Duration};

use laburnum_core::{
    digest::Fingerprint,
    relay::{feed::progress::Progress, view::Vm},
    time::Instant,
};

use crate::store::{Reader, STEP, Store, vm};

/// The time after a common start in which all VMs have read, announced and confirmed.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// A simulated store with the feeds of several VMs, which announce to each other.
pub struct Fleet {
    pub now: Instant,
    pub store: Store,
    pub vms: Vec<Reader>,
    addresses: Vec<SocketAddr>,
    /// The announcements that arrive in the next tick.
    underway: Vec<(SocketAddr, Progress)>,
    /// The requests that the first VM quarantines in the next tick.
    quarantined: Vec<Fingerprint>,
}

impl Fleet {
    /// Creates `count` VMs that start together with a store that has a configuration
    /// and a target.
    pub fn new(count: u16, seed: u64) -> Fleet {
        let mut store = Store::new();
        store.put("config", "3");
        store.put("target/desk-1", "desk");
        let address = |number| SocketAddr::from(([10, 9, 9, 9], 7000 + number));
        let reader = |number| {
            let own = Vm { address: address(number), ..vm(170) };
            Reader::new(&format!("vm-{number:03}"), own, seed + u64::from(number))
        };
        Fleet {
            now: Instant(1_000_000),
            store,
            vms: (0..count).map(reader).collect(),
            addresses: (0..count).map(address).collect(),
            underway: Vec::new(),
            quarantined: Vec::new(),
        }
    }

    /// Creates `count` VMs that have read version 3 and what the others announced.
    pub fn settled(count: u16) -> Fleet {
        let mut fleet = Fleet::new(count, 7);
        fleet.pass(SETTLE_TIME);
        assert!(fleet.without_version(3).is_empty());
        fleet
    }

    /// Advances time by `span`, with a tick of every VM in each step.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let underway = std::mem::take(&mut self.underway);
            for (vm, address) in self.vms.iter_mut().zip(&self.addresses) {
                let incoming = underway.iter().filter(|(to, _)| to == address);
                let incoming = incoming.map(|(_, progress)| progress.clone()).collect();
                let quarantined = std::mem::take(&mut self.quarantined);
                vm.tick(self.now, &mut self.store, incoming, quarantined, Vec::new());
                self.underway.append(&mut vm.announced);
            }
            self.now = self.now + STEP;
        }
    }

    /// Lets the answers of all open calls of all VMs be lost.
    pub fn lose_calls(&mut self) {
        self.vms.iter_mut().for_each(Reader::lose_calls);
    }

    /// Ends all open calls of all VMs with their connections.
    pub fn end_calls(&mut self) {
        self.vms.iter_mut().for_each(Reader::end_calls);
    }

    /// Ends every VM but those with these numbers for good; their entries stay.
    pub fn keep_only(&mut self, numbers: &[usize]) {
        let mut number = 0..;
        self.vms.retain(|_| numbers.contains(&number.next().unwrap()));
        let mut number = 0..;
        self.addresses.retain(|_| numbers.contains(&number.next().unwrap()));
    }

    /// Lets the first VM quarantine a request.
    pub fn quarantine_at_first(&mut self, request: Fingerprint) {
        self.quarantined.push(request);
    }

    /// Lets an announcement arrive at the first VM.
    pub fn announce_to_first(&mut self, progress: Progress) {
        self.underway.push((self.addresses[0], progress));
    }

    /// Returns the VMs, by number, without the configuration `version`.
    pub fn without_version(&self, version: u64) -> Vec<usize> {
        let numbered = self.vms.iter().enumerate();
        numbered.filter(|(_, vm)| vm.version() != Some(version)).map(|(n, _)| n).collect()
    }

    /// Returns the number of calls to the store so far.
    pub fn count_calls(&self) -> usize {
        self.vms.iter().map(|vm| vm.calls.len()).sum()
    }
}
