//! Several VMs with the real tables and systems, and fakes at the borders, in
//! virtual time.

pub mod network;
pub mod targets;
pub mod vm;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use laburnum_core::{
    claim::{self, Verdict},
    id::{self, Origin},
    key::Range,
    name::Name,
    notice::{Notice, Report},
    profile::{Document, Profile, Raw, Revision},
    time::Instant,
    traffic::{Answer, Body, Call, Event, Found, Operate, Outbox, Search},
    view::{self, Lane, State},
};

use self::{network::Network, targets::Targets, vm::Vm};

/// The index that every test searches.
pub const INDEX: &str = "register";

/// The profile that asks for all of the index.
pub const WHOLE: &str = "whole";

/// The profile that takes any part of the index.
pub const ANY: &str = "any";

/// Where an event goes.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// To a VM, if it is still in the same start.
    Vm { vm: Name, start: u64, event: Event },
    /// To a target: the end of an attempt's service time.
    Served { target: Name, attempt: id::Attempt },
}

/// A deployment in virtual time.
pub struct World {
    /// The time.
    pub now: Instant,
    /// The VMs by name.
    pub vms: BTreeMap<Name, Vm>,
    /// The targets.
    pub targets: Targets,
    /// The network between VMs.
    pub network: Network,
    /// The claims that were granted, by key.
    pub claims: BTreeMap<claim::Key, (claim::Request, Option<claim::Outcome>)>,
    /// Whether claims are answered.
    pub claims_down: bool,
    /// The answers that callers got.
    pub answers: BTreeMap<Call, Answer>,
    /// Reports of the traffic threads, but for claims.
    pub reports: Vec<Report>,
    /// The profiles in force.
    pub document: Document,
    /// The fingerprints that are held back.
    pub quarantine: BTreeSet<laburnum_core::digest::Fingerprint>,
    pending: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    calls: u64,
}

/// Makes a name in a test.
pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn profile(coverage: u32) -> Profile {
    Profile::try_from(Raw {
        team: "tests".into(),
        index: INDEX.into(),
        coverage_ppm: coverage,
        deadline: Duration::from_millis(1000),
        tail: Duration::from_millis(50),
        extra_load_ppm: 50_000,
        concurrency: 1000,
        priority: 10,
    })
    .unwrap()
}

impl World {
    /// A deployment with `vms` VMs, `shards` shards of `replicas` targets each,
    /// which hold version one, after it has settled.
    pub fn new(vms: usize, shards: u64, replicas: u64) -> World {
        let mut document = Document { revision: Revision(1), ..Document::default() };
        document.profiles.insert(name(WHOLE), profile(1_000_000));
        document.profiles.insert(name(ANY), profile(0));
        let mut world = World {
            now: Instant(1_000_000),
            vms: BTreeMap::new(),
            targets: Targets::new(shards, replicas),
            network: Network::default(),
            claims: BTreeMap::new(),
            claims_down: false,
            answers: BTreeMap::new(),
            reports: Vec::new(),
            document,
            quarantine: BTreeSet::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            calls: 0,
        };
        for number in 1..=vms {
            world.start_vm(&format!("vm-{number}"));
        }
        world.run(Duration::from_millis(500));
        world
    }

    /// Starts a VM, or starts it again after it was killed.
    pub fn start_vm(&mut self, vm: &str) {
        let vm = name(vm);
        let start = self.vms.get(&vm).map_or(1, |old| old.start + 1);
        let origin = Origin((self.vms.len() as u64 + 1) * 1000 + start);
        self.vms.insert(vm.clone(), Vm::new(vm, start, origin));
        self.publish();
    }

    /// Ends a VM without a word; the other VMs' views keep it until
    /// [`World::forget_vm`].
    pub fn kill_vm(&mut self, vm: &str) {
        let vm = self.vms.get_mut(&name(vm)).unwrap();
        vm.alive = false;
    }

    /// Takes a VM out of every view and reports the lost connections.
    pub fn forget_vm(&mut self, vm: &str) {
        let gone = name(vm);
        self.vms.get_mut(&gone).unwrap().listed = None;
        self.publish();
        self.lose_lane(&gone);
    }

    /// Tells every VM that messages to `vm` are lost.
    pub fn lose_lane(&mut self, vm: &Name) {
        let lane = Lane { vm: vm.clone(), thread: 0 };
        let others: Vec<Name> = self.vms.keys().filter(|other| *other != vm).cloned().collect();
        for other in others {
            self.deliver(&other, Duration::ZERO, Event::Lost { lane: lane.clone() });
        }
    }

    /// Marks a VM as leaving in every view.
    pub fn leave_vm(&mut self, vm: &str) {
        self.vms.get_mut(&name(vm)).unwrap().listed = Some(State::Leaving);
        self.publish();
    }

    /// Stops a VM for a time, as a signal would; what arrives waits.
    pub fn pause_vm(&mut self, vm: &str, span: Duration) {
        let until = self.now + span;
        self.vms.get_mut(&name(vm)).unwrap().paused_until = until;
    }

    /// Gives every VM a view of what is listed now.
    pub fn publish(&mut self) {
        let vms = self.listed_vms();
        let targets = self.targets.listed();
        let names: Vec<Name> = self.vms.keys().cloned().collect();
        for vm in names {
            let mut view = view::View::starting(vm.clone(), name("domain-1"));
            view.vms = vms.clone();
            view.targets = targets.clone();
            view.document = Arc::new(self.document.clone());
            view.quarantine = self.quarantine.iter().map(|&f| (f, Origin(0))).collect();
            view.ready = true;
            view.leaving = self.vms[&vm].listed == Some(State::Leaving);
            self.deliver(&vm, Duration::ZERO, Event::Notice(Notice::View(Arc::new(view))));
        }
    }

    fn listed_vms(&self) -> BTreeMap<Name, view::Vm> {
        let address = "127.0.0.1:1".parse().unwrap();
        self.vms
            .values()
            .filter_map(|vm| {
                let row = view::Vm {
                    name: vm.name.clone(),
                    domain: name("domain-1"),
                    incarnation: vm.start,
                    state: vm.listed?,
                    control: address,
                    traffic: vec![address],
                };
                Some((vm.name.clone(), row))
            })
            .collect()
    }

    /// Sends a search to a VM.
    pub fn search(&mut self, vm: &str, profile: &str, text: &str) -> Call {
        self.calls += 1;
        let call = Call(self.calls);
        let search = Search { profile: name(profile), text: text.into(), deadline: None };
        self.deliver(&name(vm), Duration::ZERO, Event::Search { call, search });
        call
    }

    /// Sends an operation to a VM.
    pub fn operate(&mut self, vm: &str, key: u128, subject: u64, detail: &str) -> Call {
        self.calls += 1;
        let call = Call(self.calls);
        let operate = Operate {
            profile: name(WHOLE),
            operation: name("clearance"),
            subject,
            detail: detail.into(),
            key: claim::Key(uuid::Uuid::from_u128(key)),
            deadline: None,
        };
        self.deliver(&name(vm), Duration::ZERO, Event::Operate { call, operate });
        call
    }

    /// The answer that a call got.
    pub fn answer(&self, call: Call) -> &Answer {
        self.answers.get(&call).unwrap_or_else(|| panic!("{call:?} was not answered"))
    }

    /// The rows that a call got.
    pub fn found(&self, call: Call) -> &Found {
        match &self.answer(call).body {
            Body::Found(found) => found,
            other => panic!("{call:?} got {other:?}"),
        }
    }

    /// Sends a search, waits for its answer and returns its rows.
    pub fn find(&mut self, vm: &str, profile: &str, text: &str) -> Found {
        let call = self.search(vm, profile, text);
        self.run(Duration::from_millis(1100));
        self.found(call).clone()
    }

    /// Delivers an event to a VM after a time.
    pub fn deliver(&mut self, vm: &Name, after: Duration, event: Event) {
        let Some(start) = self.vms.get(vm).map(|vm| vm.start) else { return };
        self.schedule(self.now + after, Delivery::Vm { vm: vm.clone(), start, event });
    }

    fn schedule(&mut self, at: Instant, delivery: Delivery) {
        self.sequence += 1;
        self.pending.insert((at, self.sequence), delivery);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next_moment().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.moment();
        }
        self.now = end;
    }

    fn next_moment(&self) -> Option<Instant> {
        let delivery = self.pending.keys().next().map(|(at, _)| *at);
        let wake = self.vms.values().filter_map(Vm::wake).min();
        [delivery, wake].into_iter().flatten().min()
    }

    /// Delivers what is due and steps the VMs that have something to do.
    fn moment(&mut self) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Delivery::Vm { vm, start, event } => {
                    if let Some(vm) = self.vms.get_mut(&vm)
                        && vm.start == start
                    {
                        vm.inbox.push(event);
                    }
                }
                Delivery::Served { target, attempt } => {
                    for (after, vm, event) in self.targets.served(&target, attempt) {
                        self.deliver(&vm, after, event);
                    }
                }
            }
        }
        let due: Vec<Name> =
            self.vms.values().filter(|vm| vm.is_due(self.now)).map(|vm| vm.name.clone()).collect();
        for vm in due {
            let out = self.vms.get_mut(&vm).unwrap().step(self.now);
            self.carry_out(&vm, out);
        }
    }

    fn carry_out(&mut self, vm: &Name, out: Outbox) {
        for (call, answer) in out.answers {
            let before = self.answers.insert(call, answer);
            assert!(before.is_none(), "{call:?} was answered twice");
        }
        for (lane, messages) in out.messages {
            for message in messages {
                if let Some(after) = self.network.delay(vm, &lane.vm) {
                    let from = Lane { vm: vm.clone(), thread: 0 };
                    self.deliver(&lane.vm, after, Event::Message { from, message });
                }
            }
        }
        for command in out.commands {
            let effect = self.targets.command(vm, command);
            for (after, event) in effect.events {
                self.deliver(vm, after, Event::Target(event));
            }
            for (after, vm, event) in effect.others {
                self.deliver(&vm, after, event);
            }
            for (after, target, attempt) in effect.serves {
                self.schedule(self.now + after, Delivery::Served { target, attempt });
            }
        }
        for report in out.reports {
            self.report(vm, report);
        }
    }

    fn report(&mut self, vm: &Name, report: Report) {
        match report {
            Report::Claim { operation, request, .. } => {
                if self.claims_down {
                    return;
                }
                let verdict = self.claim(request);
                let notice = Notice::Claimed { operation, verdict };
                self.deliver(vm, Duration::from_millis(5), Event::Notice(notice));
            }
            Report::Outcome { request, outcome } => {
                if let Some((own, recorded)) = self.claims.get_mut(&request.key)
                    && own.token == request.token
                {
                    *recorded = Some(outcome);
                }
            }
            other => self.reports.push(other),
        }
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

    /// Ends the process of a target.
    pub fn crash_target(&mut self, shard: u64, replica: u64) {
        let effect = self.targets.get(shard, replica).crash();
        for (after, vm, event) in effect.others {
            self.deliver(&vm, after, event);
        }
    }

    /// The rows that an answer must hold: all of its version in what it covers.
    pub fn check(&self, found: &Found) {
        let mut covered = laburnum_core::key::Set::from_range(Range::ALL);
        for &range in found.missing.ranges() {
            covered.remove(range);
        }
        let expected = targets::rows(found.version, |key| covered.covers(point(key)));
        assert_eq!(found.rows, expected, "rows of {:?} in {covered:?}", found.version);
        assert_eq!(found.coverage, covered.parts_per_million(Range::ALL));
    }

    /// The name of the home of a shard.
    pub fn home_of(&self, shard: u64) -> Name {
        let seed = laburnum_core::rank::seed(&[INDEX, &format!("shard-{shard}")]);
        let live = self.vms.values().filter(|vm| vm.listed == Some(State::Live));
        laburnum_core::rank::first(seed, live.map(|vm| &vm.name)).unwrap().clone()
    }

    /// The name of a VM that is not the home of the shard.
    pub fn stranger_to(&self, shard: u64) -> Name {
        let home = self.home_of(shard);
        self.vms.keys().find(|vm| **vm != home).unwrap().clone()
    }
}

/// The range of one key.
pub fn point(key: u64) -> Range {
    Range::try_from((key, key)).unwrap()
}
