//! A simulated deployment in virtual time: several VMs with the real tables and
//! systems, and fakes of everything else.

pub mod claims;
pub mod content;
pub mod control;
pub mod drill;
pub mod effect;
pub mod fault;
#[path = "../control/history.rs"]
pub mod history;
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
    store,
    target::Version,
    time::Instant,
    traffic::{Answer, Call, Event, Outbox},
    view::{self, Lane, State},
};

use self::{
    control::Operators, network::Network, oracle::Oracle, platform::Platform, targets::Targets,
    vm::Vm,
};

/// The index of all searches.
pub const INDEX: &str = "register";

/// The profile that requires the whole index to be covered.
pub const FULL_COVERAGE: &str = "whole";

/// The profile that accepts any coverage and tries a search at one shard before it
/// is sent to all.
pub const CANARY: &str = "careful";

/// The profile that accepts any coverage.
pub const ANY_COVERAGE: &str = "any";

/// The deadline of all profiles.
pub const DEADLINE: Duration = Duration::from_secs(1);

/// The number of ticks at one time from which a VM counts as spinning.
const MAX_TICKS_AT_ONCE: u32 = 1_000;

/// A scheduled event and its receiver.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// An event for a traffic thread, dropped if the VM has restarted since.
    Vm { vm: Name, start: u64, event: Event },
    /// The end of an attempt's service time at a target.
    ServiceEnd { target: Name, attempt: id::Attempt },
    /// An event for a control thread, dropped if the VM has restarted since.
    Control { vm: Name, start: u64, event: core_control::Event },
    /// A reply of the platform's service to one start of a VM.
    StoreReply(platform::Answer),
    /// The platform's service comes back from a copy.
    StoreReturn(Box<platform::Copy>),
    /// The deployment writes its list again.
    ListRewrite,
    /// A write, sent in an era, that reaches the platform's service after its client gave up.
    LateWrite(store::Era, store::Call),
    /// The new content of the platform's list.
    ListUpdate(Box<(platform::Vms, platform::Targets)>),
    /// Publishes a view of the listed VMs and targets to every VM.
    Publish,
    /// Ends the process of a VM that is leaving, if it is idle.
    Exit { vm: Name },
}

/// The simulated deployment.
pub struct World {
    pub now: Instant,
    pub vms: BTreeMap<Name, Vm>,
    pub targets: Targets,
    pub network: Network,
    /// The granted claims with their outcomes, by key.
    pub claims: BTreeMap<claim::Key, (claim::Request, Option<claim::Outcome>)>,
    /// Whether claims get no answer.
    pub claims_down: bool,
    /// Whether claims end as unsettled.
    pub claims_unsettled: bool,
    /// The time until a claim is answered.
    pub claim_delay: Duration,
    /// The answers that callers received.
    pub answers: BTreeMap<Call, Answer>,
    /// The reports of the traffic threads, except claims and their outcomes.
    pub reports: Vec<Report>,
    /// The profiles in force.
    pub document: Document,
    /// The fingerprints in quarantine.
    pub quarantine: BTreeSet<Fingerprint>,
    /// Whether VMs share which targets were lost while they ran a request.
    pub shares_suspects: bool,
    /// Whether a VM that is leaving exits when it has nothing in flight.
    pub exits_when_idle: bool,
    pub oracle: Oracle,
    pub operators: Operators,
    /// The platform's service, if the VMs have control threads.
    pub platform: Option<Platform>,
    /// Whether the platform's list is that of an older copy, or cannot be written.
    is_list_old: bool,
    /// The number of ticks since the time last advanced.
    ticks_at_once: u32,
    keys: BTreeMap<u128, claim::Key>,
    /// The texts of all searches.
    texts: BTreeSet<Arc<str>>,
    suspects: BTreeMap<Fingerprint, BTreeSet<Name>>,
    pending: BTreeMap<(Instant, u64), Delivery>,
    sequence: u64,
    calls: u64,
    starts: u64,
}

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Returns the profiles, with `concurrency` as the limit of each.
pub fn profiles(concurrency: u32) -> BTreeMap<Name, Profile> {
    let canary = Profile { canary: true, ..profile(0, concurrency) };
    [
        (name(FULL_COVERAGE), profile(1_000_000, concurrency)),
        (name(ANY_COVERAGE), profile(0, concurrency)),
        (name(CANARY), canary),
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
    /// Creates a deployment of `vms` VMs and `shards` shards with `replicas`
    /// targets each, which hold version 1, and lets it start up. The VMs have only
    /// traffic threads.
    pub fn new(vms: usize, shards: u64, replicas: u64) -> World {
        let mut world = World::empty(shards, replicas);
        for number in 1..=vms {
            world.start_vm(&format!("vm-{number}"));
        }
        world.run(Duration::from_millis(500));
        world
    }

    /// Like [`World::new`], with control threads and the platform's service.
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
            claims_unsettled: false,
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
            is_list_old: false,
            ticks_at_once: 0,
            keys: BTreeMap::new(),
            texts: BTreeSet::new(),
            suspects: BTreeMap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            calls: 0,
            starts: 0,
        }
    }

    /// Publishes a view of the listed VMs and targets to every VM, or updates the
    /// platform's list if the VMs have control threads.
    pub fn publish(&mut self) {
        if self.platform.is_some() {
            return self.update_list();
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

    /// Delivers an event to the traffic thread of a VM after a delay.
    pub fn deliver(&mut self, vm: &Name, after: Duration, event: Event) {
        let Some(start) = self.vms.get(vm).map(|vm| vm.start) else { return };
        self.schedule(self.now + after, Delivery::Vm { vm: vm.clone(), start, event });
    }

    fn schedule(&mut self, at: Instant, delivery: Delivery) {
        self.sequence += 1;
        self.pending.insert((at, self.sequence), delivery);
    }

    /// Advances the time by `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next_due().filter(|&at| at <= end) {
            self.advance(at);
            self.process_due();
        }
        self.now = end;
    }

    /// Advances the time to that of the next event, and checks that it does not stand
    /// still.
    fn advance(&mut self, at: Instant) {
        self.ticks_at_once = if at > self.now { 0 } else { self.ticks_at_once + 1 };
        let due = self.vms.values().filter(|vm| vm.is_due(self.now));
        let due: Vec<&Name> = due.map(|vm| &vm.name).collect();
        assert!(self.ticks_at_once < MAX_TICKS_AT_ONCE, "{due:?} spin at {:?}", self.now);
        self.now = self.now.max(at);
    }

    fn next_due(&self) -> Option<Instant> {
        let delivery = self.pending.keys().next().map(|(at, _)| *at);
        let wake = self.vms.values().filter_map(Vm::wake).min();
        [delivery, wake].into_iter().flatten().min()
    }

    /// Runs until `reached` returns true, for at most `span`, and returns whether it
    /// did.
    pub fn run_until(&mut self, span: Duration, reached: impl Fn(&World) -> bool) -> bool {
        let end = self.now + span;
        while !reached(self) {
            let Some(at) = self.next_due().filter(|&at| at <= end) else { return false };
            self.advance(at);
            self.process_due();
        }
        true
    }

    /// Delivers the due events, then runs the VMs that have work and checks the
    /// guarantees.
    fn process_due(&mut self) {
        self.targets.tick(self.now, self.is_list_readable());
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
                Delivery::StoreReply(answer) => self.take_store_reply(answer),
                Delivery::StoreReturn(copy) => {
                    self.platform().restore(*copy);
                    self.note_lost_revision();
                }
                Delivery::ListRewrite => self.rewrite_list(),
                Delivery::LateWrite(sent, call) => self.write_late(sent, call),
                Delivery::ListUpdate(list) => self.set_list(*list),
                Delivery::Publish => self.publish(),
                Delivery::Exit { vm } => self.exit(&vm),
                Delivery::ServiceEnd { target, attempt } => {
                    for (after, vm, event) in self.targets.end_service(&target, attempt) {
                        self.deliver(&vm, after, event);
                    }
                }
            }
        }
        let due: Vec<Name> =
            self.vms.values().filter(|vm| vm.is_due(self.now)).map(|vm| vm.name.clone()).collect();
        for vm in due {
            self.tick_control(&vm);
            let out = self.vms.get_mut(&vm).unwrap().tick(self.now);
            self.apply_outbox(&vm, out);
        }
        self.oracle.check(self.now, &self.targets, |request| {
            let vm = &self.vms[&request.vm];
            vm.alive && vm.start == request.start && vm.paused_until <= self.now
        });
    }

    fn apply_outbox(&mut self, vm: &Name, out: Outbox) {
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
            for (after, vm, event) in effect.reports {
                self.deliver(&vm, after, event);
            }
            for (after, target, attempt) in effect.service_ends {
                self.schedule(self.now + after, Delivery::ServiceEnd { target, attempt });
            }
        }
    }

    /// Returns the home of a shard.
    pub fn home_of(&self, shard: u64) -> Name {
        let seed = laburnum_core::rank::seed(&[INDEX, &format!("shard-{shard}")]);
        let live = self.vms.values().filter(|vm| vm.listed == Some(State::Live));
        laburnum_core::rank::first(seed, live.map(|vm| &vm.name)).unwrap().clone()
    }

    /// Returns a VM that is not the home of the shard.
    pub fn other_than_home_of(&self, shard: u64) -> Name {
        let home = self.home_of(shard);
        self.vms.keys().find(|vm| **vm != home).unwrap().clone()
    }
}

pub fn version(number: u64) -> Version {
    Version(number)
}

/// Returns the range of a single key.
pub fn point(key: u64) -> Range {
    Range::try_from((key, key)).unwrap()
}
