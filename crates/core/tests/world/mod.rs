//! Several VMs with the real tables and systems, and fakes at the borders, in
//! virtual time.

pub mod claims;
pub mod content;
pub mod control;
pub mod effect;
pub mod fault;
pub mod network;
pub mod oracle;
#[path = "../control/platform.rs"]
pub mod platform;
pub mod request;
pub mod targets;
pub mod vm;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use laburnum_core::{
    claim, control as core_control,
    digest::Fingerprint,
    id::{self, Origin},
    key::Range,
    name::Name,
    notice::{Notice, Report},
    profile::{Document, Profile, Raw, Revision},
    store::{self, CallId, Reply},
    target::Version,
    time::Instant,
    traffic::{Answer, Call, Event, Outbox},
    view::{self, Lane, State},
};

use self::{
    control::Operators, network::Network, oracle::Oracle, platform::Platform, targets::Targets,
    vm::Vm,
};

/// The index that every test searches.
pub const INDEX: &str = "register";

/// The profile that asks for all of the index.
pub const FULL_COVERAGE: &str = "whole";

/// The profile that takes any part of the index and tries a search at one shard
/// before it goes to all.
pub const CANARY: &str = "careful";

/// The profile that takes any part of the index.
pub const ANY_COVERAGE: &str = "any";

/// The deadline of both profiles.
pub const DEADLINE: Duration = Duration::from_secs(1);

/// Where an event goes.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// To a VM, if it is still in the same start.
    Vm { vm: Name, start: u64, event: Event },
    /// To a target: the end of an attempt's service time.
    Served { target: Name, attempt: id::Attempt },
    /// To the control thread of a VM, if it is still in the same start.
    Control { vm: Name, start: u64, event: core_control::Event },
    /// To a start of a VM: an answer of the platform's service.
    Stored((Name, u64), CallId, Reply),
    /// To the platform's service: a write whose client has given it up.
    Late(store::Call),
    /// To the platform: what it lists from now on.
    List(Box<(BTreeMap<Name, view::Vm>, BTreeMap<Name, view::Target>)>),
    /// To every VM: a view of what is listed now.
    Publish,
    /// To a VM that is leaving: the end of its process, if it is idle.
    Exit { vm: Name },
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
    /// The time that a claim takes.
    pub claim_delay: Duration,
    /// The answers that callers got.
    pub answers: BTreeMap<Call, Answer>,
    /// Reports of the traffic threads, but for claims.
    pub reports: Vec<Report>,
    /// The profiles in force.
    pub document: Document,
    /// The fingerprints that are held back.
    pub quarantine: BTreeSet<Fingerprint>,
    /// Whether VMs tell each other which requests were lost with targets.
    pub shares_suspects: bool,
    /// Whether a VM that is leaving ends when it has nothing in flight.
    pub exits_when_idle: bool,
    /// What was sent and what was promised.
    pub oracle: Oracle,
    /// What the operators asked and were told.
    pub operators: Operators,
    /// The platform's service, if the VMs have control threads.
    pub platform: Option<Platform>,
    keys: BTreeMap<u128, claim::Key>,
    /// The texts that were searched for.
    texts: BTreeSet<Arc<str>>,
    suspects: BTreeMap<Fingerprint, BTreeSet<Name>>,
    pending: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    calls: u64,
    starts: u64,
}

/// Makes a name in a test.
pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// The profiles of the tests, which differ by their concurrency.
pub fn profiles(concurrency: u32) -> BTreeMap<Name, Profile> {
    let careful = Profile { canary: true, ..profile(0, concurrency) };
    [
        (name(FULL_COVERAGE), profile(1_000_000, concurrency)),
        (name(ANY_COVERAGE), profile(0, concurrency)),
        (name(CANARY), careful),
    ]
    .into()
}

fn profile(coverage: u32, concurrency: u32) -> Profile {
    Profile::try_from(Raw {
        team: "tests".into(),
        index: INDEX.into(),
        coverage_ppm: coverage,
        deadline: DEADLINE,
        tail: Duration::from_millis(50),
        extra_load_ppm: 50_000,
        concurrency,
        priority: 10,
        canary: false,
    })
    .unwrap()
}

impl World {
    /// A deployment with `vms` VMs, `shards` shards of `replicas` targets each,
    /// which hold version one, after it has settled.
    pub fn new(vms: usize, shards: u64, replicas: u64) -> World {
        let mut world = World::empty(shards, replicas);
        for number in 1..=vms {
            world.start_vm(&format!("vm-{number}"));
        }
        world.run(Duration::from_millis(500));
        world
    }

    /// As [`World::new`], with the control threads and the platform's service.
    pub fn with_control(vms: usize, shards: u64, replicas: u64) -> World {
        let mut world = World::empty(shards, replicas);
        world.platform = Some(Platform::new());
        for number in 1..=vms {
            world.start_vm(&format!("vm-{number}"));
        }
        world.run(Duration::from_secs(3));
        world.publish_profiles("vm-1", None);
        world.run(Duration::from_secs(3));
        assert!(world.vms.values().all(|vm| vm.engine.is_ready()), "a VM is not ready");
        world
    }

    fn empty(shards: u64, replicas: u64) -> World {
        let document = Document { revision: Revision(1), profiles: profiles(1000) };
        World {
            now: Instant(1_000_000),
            vms: BTreeMap::new(),
            targets: Targets::new(shards, replicas),
            network: Network::default(),
            claims: BTreeMap::new(),
            claims_down: false,
            claim_delay: Duration::from_millis(5),
            answers: BTreeMap::new(),
            reports: Vec::new(),
            document,
            quarantine: BTreeSet::new(),
            shares_suspects: false,
            exits_when_idle: false,
            oracle: Oracle::default(),
            operators: Operators::default(),
            platform: None,
            keys: BTreeMap::new(),
            texts: BTreeSet::new(),
            suspects: BTreeMap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            calls: 0,
            starts: 0,
        }
    }

    /// Gives every VM a view of what is listed now.
    pub fn publish(&mut self) {
        if self.platform.is_some() {
            return self.relist();
        }
        let vms = self.listed_vms();
        let targets = self.targets.listed();
        let names: Vec<Name> = self.vms.keys().cloned().collect();
        for vm in names {
            let mut view = view::View::starting(vm.clone(), name("domain-1"));
            view.vms = vms.clone();
            view.targets = targets.clone();
            view.document = Arc::new(self.document.clone());
            view.suspects = self.suspects.clone();
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

    /// Runs until `reached` holds, at most for `span`, and says whether it does.
    pub fn run_until(&mut self, span: Duration, reached: impl Fn(&World) -> bool) -> bool {
        let end = self.now + span;
        while !reached(self) {
            let Some(at) = self.next_moment().filter(|&at| at <= end) else { return false };
            self.now = self.now.max(at);
            self.moment();
        }
        true
    }

    /// Delivers what is due and steps the VMs that have something to do.
    fn moment(&mut self) {
        self.targets.tick(self.now, self.is_list_read());
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
                Delivery::Control { vm, start, event } => {
                    if let Some(vm) = self.vms.get_mut(&vm).filter(|vm| vm.start == start)
                        && let Some(control) = &mut vm.control
                    {
                        control.inbox.push(event);
                    }
                }
                Delivery::Stored(caller, call, reply) => self.stored(&caller, call, reply),
                Delivery::Late(call) => self.write_late(call),
                Delivery::List(list) => {
                    let platform = self.platform();
                    (platform.vms, platform.targets) = *list;
                }
                Delivery::Publish => self.publish(),
                Delivery::Exit { vm } => self.exit(&vm),
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
            self.step_control(&vm);
            let out = self.vms.get_mut(&vm).unwrap().step(self.now);
            self.carry_out(&vm, out);
        }
        self.oracle.check(self.now, &self.targets, |request| {
            let vm = &self.vms[&request.vm];
            vm.alive && vm.start == request.start && vm.paused_until <= self.now
        });
    }

    fn carry_out(&mut self, vm: &Name, out: Outbox) {
        for report in out.reports {
            self.report(vm, report);
        }
        for (call, answer) in out.answers {
            self.oracle.answered(call, &answer, self.now, &self.targets);
            self.answers.insert(call, answer);
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
    }

    /// The name of the home of a shard.
    pub fn home_of(&self, shard: u64) -> Name {
        let seed = laburnum_core::rank::seed(&[INDEX, &format!("shard-{shard}")]);
        let live = self.vms.values().filter(|vm| vm.listed == Some(State::Live));
        laburnum_core::rank::first(seed, live.map(|vm| &vm.name)).unwrap().clone()
    }

    /// The name of a VM that is not the home of the shard.
    pub fn other_than_home_of(&self, shard: u64) -> Name {
        let home = self.home_of(shard);
        self.vms.keys().find(|vm| **vm != home).unwrap().clone()
    }
}

/// A version in a test.
pub fn version(number: u64) -> Version {
    Version(number)
}

/// The range of one key.
pub fn point(key: u64) -> Range {
    Range::try_from((key, key)).unwrap()
}
