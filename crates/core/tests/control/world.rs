//! A simulation of several VMs with a network and the platform's service, in
//! virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use laburnum_core::{
    claim::Verdict,
    control::{
        Answer, Engine, Event, Limits, Message, Outbox, Request, RequestId, Setup,
        table::call::CLAIMS_CALL_BIT,
    },
    id::Query,
    log::Line,
    name::Name,
    notice::{Notice, Report},
    profile::{Document, Revision},
    store::{Call, CallId, Era, Outcome},
    time::{Instant, Wall},
    view::{State, View, Vm},
};

use crate::{
    fixture::{Json, address, name, profiles, row, target, team, vm},
    network::Network,
    platform::{
        Answer as StoreAnswer, CALL_TIMEOUT, Caller, Copy, Drill, Mode, Platform, Targets, Vms,
    },
};

/// The wall-clock time at virtual time zero.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// The time after which a write takes effect in [`Mode::Late`].
const LATE_WRITE_DELAY: Duration = Duration::from_secs(8);

/// Something that arrives at a later time.
enum Delivery {
    Message(Name, Box<Message>),
    Reply(StoreAnswer),
    Event(Caller, Event),
    /// A write that was sent in an era, and takes effect late.
    Late(Era, Call),
    /// The service comes back from a copy.
    Return(Box<Copy>),
    /// The deployment writes its list again.
    List(Vms, Targets),
}

/// A VM of the simulation.
pub struct Node {
    pub engine: Engine,
    /// The last view that the engine published.
    pub view: Option<Arc<View>>,
    /// The log lines of this start.
    pub lines: Vec<Line>,
    /// The number of messages that the VM sent, and their bytes.
    pub sent: (u64, u64),
    start: u64,
    wake: Instant,
    paused: Option<Instant>,
}

/// The simulation.
pub struct World {
    /// The virtual time.
    pub now: Instant,
    /// The VMs that run.
    pub nodes: BTreeMap<Name, Node>,
    pub network: Network,
    pub platform: Platform,
    /// The number of calls of the platform's service that claims engines made.
    pub claim_calls: u64,
    /// The verdict on the claim of each operation.
    pub verdicts: BTreeMap<Query, Verdict>,
    /// The answers to requests of operators.
    pub answers: BTreeMap<RequestId, Answer>,
    /// The limits for VMs that start from now on.
    pub limits: Limits,
    /// The highest revision that was in force on each VM since it started.
    pub highest: BTreeMap<Name, Revision>,
    asked: BTreeMap<RequestId, (Name, u64)>,
    queue: BTreeMap<(Instant, u64), Delivery>,
    wakes: BTreeSet<(Instant, Name)>,
    sequence: u64,
    starts: u64,
    seed: u64,
}

impl World {
    /// A simulation of `count` VMs that start at the same time.
    pub fn new(count: usize, seed: u64) -> World {
        let mut world = World::empty(seed);
        for number in 0..count {
            world.start(&vm(number));
        }
        world
    }

    /// A simulation without VMs, with two targets.
    pub fn empty(seed: u64) -> World {
        let mut platform = Platform::new();
        platform.targets = BTreeMap::from([(name("r1"), target("r1")), (name("r2"), target("r2"))]);
        World {
            now: Instant(1_000_000),
            nodes: BTreeMap::new(),
            network: Network::new(),
            platform,
            claim_calls: 0,
            verdicts: BTreeMap::new(),
            answers: BTreeMap::new(),
            limits: Limits::default(),
            highest: BTreeMap::new(),
            asked: BTreeMap::new(),
            queue: BTreeMap::new(),
            wakes: BTreeSet::new(),
            sequence: 0,
            starts: 0,
            seed,
        }
    }

    /// Starts or restarts a VM, which the platform lists from now on.
    pub fn start(&mut self, vm: &Name) {
        self.platform.vms.insert(vm.clone(), row(vm));
        self.start_with(vm, &[]);
    }

    /// Starts or restarts a VM with the control addresses of `seeds` in its
    /// settings.
    pub fn start_with(&mut self, vm: &Name, seeds: &[Name]) {
        self.kill(vm);
        self.starts += 1;
        let incarnation = EPOCH_MS + self.now.0 / 1000;
        let setup = Setup {
            vm: Vm { incarnation, ..row(vm) },
            seeds: seeds.iter().map(|vm| (vm.clone(), address(vm, 7000))).collect(),
            limits: self.limits.clone(),
            claims: Default::default(),
            seed: self.seed * 1_000_003 + self.starts,
            codec: Box::new(Json),
        };
        let node = Node {
            engine: Engine::new(setup),
            view: None,
            lines: Vec::new(),
            sent: (0, 0),
            start: self.starts,
            wake: self.now,
            paused: None,
        };
        self.highest.remove(vm);
        self.nodes.insert(vm.clone(), node);
        self.wakes.insert((self.now, vm.clone()));
    }

    /// Stops a VM for good without notice. The platform still lists it.
    pub fn kill(&mut self, vm: &Name) {
        if let Some(node) = self.nodes.remove(vm) {
            self.wakes.remove(&(node.wake, vm.clone()));
        }
    }

    /// Pauses a VM for a time. Events that arrive meanwhile are delivered
    /// afterwards.
    pub fn pause(&mut self, vm: &Name, span: Duration) {
        let until = self.now + span;
        let node = self.nodes.get_mut(vm).unwrap();
        node.paused = Some(until);
        self.wakes.remove(&(node.wake, vm.clone()));
        node.wake = node.wake.max(until);
        self.wakes.insert((node.wake, vm.clone()));
    }

    /// Cuts a VM off from every other one, in both directions.
    pub fn isolate(&mut self, vm: &Name) {
        let others: Vec<Name> = self.nodes.keys().filter(|other| *other != vm).cloned().collect();
        for other in others {
            self.network.cut(vm, &other);
            self.network.cut(&other, vm);
        }
    }

    /// Runs the simulation for a time.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.tick();
        }
        self.now = end;
    }

    /// Runs until `done` holds and returns the time that this took, or `None`
    /// if it took longer than `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&World) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            let at = self.next().filter(|at| at.since(start) <= limit)?;
            self.now = self.now.max(at);
            self.tick();
        }
        Some(self.now.since(start))
    }

    fn next(&self) -> Option<Instant> {
        let queued = self.queue.keys().next().map(|&(at, _)| at);
        let wakes = self.wakes.first().map(|&(at, _)| at);
        queued.into_iter().chain(wakes).min()
    }

    fn tick(&mut self) {
        let mut events: BTreeMap<Name, Vec<Event>> = BTreeMap::new();
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let delivery = entry.remove();
            self.deliver(delivery, &mut events);
        }
        for (_, vm) in self.wakes.iter().take_while(|(at, _)| *at <= self.now) {
            events.entry(vm.clone()).or_default();
        }
        for (vm, events) in events {
            self.tick_vm(&vm, events);
        }
    }

    fn deliver(&mut self, delivery: Delivery, events: &mut BTreeMap<Name, Vec<Event>>) {
        let vm = match &delivery {
            Delivery::Message(vm, _) | Delivery::Event((vm, _), _) => vm.clone(),
            Delivery::Reply(answer) => answer.vm.0.clone(),
            Delivery::Late(..) | Delivery::Return(_) | Delivery::List(..) => {
                return self.change_platform(delivery);
            }
        };
        if let Delivery::Reply(answer) = &delivery {
            self.platform.end_watch(&answer.vm, answer.call);
        }
        let Some(node) = self.nodes.get(&vm) else { return };
        if let Some(until) = node.paused.filter(|&until| until > self.now) {
            return self.enqueue(until, delivery);
        }
        let event = match delivery {
            Delivery::Message(_, message) => Event::Message(*message),
            Delivery::Event((_, start), _) if start != node.start => return,
            Delivery::Reply(answer) if answer.vm.1 != node.start => return,
            Delivery::Event(_, event) => event,
            Delivery::Reply(StoreAnswer { call: id, era, reply, .. }) => {
                Event::Store(Outcome { id, era, reply })
            }
            Delivery::Late(..) | Delivery::Return(_) | Delivery::List(..) => return,
        };
        events.entry(vm).or_default().push(event);
    }

    /// Handles a delivery that concerns no VM.
    fn change_platform(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Late(sent, call) => {
                let answers = self.platform.apply_late(self.now, sent, call);
                self.enqueue_answers(answers);
            }
            Delivery::Return(copy) => self.platform.restore(*copy),
            Delivery::List(vms, targets) => self.platform.set_list(self.now, vms, targets),
            Delivery::Message(..) | Delivery::Reply(_) | Delivery::Event(..) => {}
        }
    }

    fn enqueue_answers(&mut self, answers: Vec<StoreAnswer>) {
        for answer in answers {
            self.enqueue(answer.at, Delivery::Reply(answer));
        }
    }

    /// Lets the service go away and come back from an older copy, unless it is away.
    pub fn drill(&mut self, drill: Drill) {
        if self.platform.is_away {
            return;
        }
        let is_reply = |delivery: &Delivery| matches!(delivery, Delivery::Reply(_));
        let replies = self.queue.extract_if(.., |_, delivery| is_reply(delivery));
        let underway = replies.filter_map(|(_, delivery)| match delivery {
            Delivery::Reply(answer) => Some(answer),
            _ => None,
        });
        let underway = underway.collect();
        let copy = self.platform.copy_of(self.now, drill.age);
        let list = Delivery::List(self.platform.vms.clone(), self.platform.targets.clone());
        let answers = self.platform.go_away(self.now, drill, underway);
        self.enqueue_answers(answers);
        self.enqueue(self.now + drill.away, Delivery::Return(Box::new(copy)));
        self.enqueue(self.now + drill.away + drill.rewrite, list);
    }

    fn enqueue(&mut self, at: Instant, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    /// Runs one tick of a VM. If it is paused, the events are queued until it
    /// resumes.
    pub fn tick_vm(&mut self, vm: &Name, events: Vec<Event>) {
        let Some(node) = self.nodes.get_mut(vm) else { return };
        if let Some(until) = node.paused.filter(|&until| until > self.now) {
            let start = (vm.clone(), node.start);
            for event in events {
                self.enqueue(until, Delivery::Event(start.clone(), event));
            }
            return;
        }
        node.paused = None;
        let mut out = Outbox::default();
        let wall = Wall(EPOCH_MS + self.now.0 / 1000);
        node.engine.tick(self.now, wall, events, &mut out);
        let wake = node.engine.wake().unwrap();
        assert!(wake > self.now, "{vm} would spin at {:?}", self.now);
        self.wakes.remove(&(node.wake, vm.clone()));
        node.wake = wake;
        self.wakes.insert((wake, vm.clone()));
        self.flush(vm, out);
    }

    fn flush(&mut self, vm: &Name, out: Outbox) {
        let node = self.nodes.get_mut(vm).unwrap();
        node.lines.extend(out.lines);
        for (_, notice) in out.notices {
            match notice {
                Notice::View(view) => node.view = Some(view),
                Notice::Claimed { operation, verdict } => {
                    self.verdicts.insert(operation, verdict);
                }
            }
        }
        let start = (vm.clone(), node.start);
        for envelope in &out.messages {
            let config = bincode::config::standard();
            let size = bincode::serde::encode_to_vec(&envelope.message, config).unwrap().len();
            node.sent = (node.sent.0 + 1, node.sent.1 + size as u64);
        }
        self.check_revision(vm);
        for envelope in out.messages {
            if self.network.carries(vm, &envelope.vm) {
                let at = self.now + self.network.delay;
                self.enqueue(at, Delivery::Message(envelope.vm, Box::new(envelope.message)));
            }
        }
        for (id, call) in out.calls {
            if self.platform.mode == Mode::Late && matches!(call, Call::Swap { .. }) {
                self.delay_write(start.clone(), id, call);
                continue;
            }
            if id.0 & CLAIMS_CALL_BIT != 0 {
                self.claim_calls += 1;
            }
            let answers = self.platform.call(self.now, start.clone(), id, call);
            self.enqueue_answers(answers);
        }
        self.answers.extend(out.answers);
    }

    /// Reports a write as lost, and lets it take effect only after that.
    fn delay_write(&mut self, start: (Name, u64), id: CallId, call: Call) {
        let lost = StoreAnswer::lost(self.now + CALL_TIMEOUT, start, id);
        self.enqueue(lost.at, Delivery::Reply(lost));
        self.enqueue(self.now + LATE_WRITE_DELAY, Delivery::Late(self.platform.era, call));
    }

    /// Checks after each tick that the revision in force on a VM never goes
    /// down.
    fn check_revision(&mut self, vm: &Name) {
        let revision = self.revision(vm);
        let highest = self.highest.entry(vm.clone()).or_default();
        assert!(revision >= *highest, "{vm} went back from {highest:?} to {revision:?}");
        *highest = revision;
    }

    /// Sends a request of an operator to a VM.
    pub fn submit(&mut self, vm: &Name, request: Request) -> RequestId {
        self.sequence += 1;
        let id = RequestId(self.sequence);
        self.asked.insert(id, (vm.clone(), self.nodes[vm].start));
        self.tick_vm(vm, vec![Event::Request { id, request }]);
        id
    }

    /// Publishes [`profiles`] with the given mark through a VM.
    pub fn publish(&mut self, vm: &Name, mark: u32, expect: Option<Revision>) -> RequestId {
        let who = format!("operator-{mark}");
        let request = Request::Publish {
            profiles: profiles(mark),
            expect,
            who,
            team: team(),
            dry_run: false,
        };
        self.submit(vm, request)
    }

    /// Runs until a request is answered, and returns the answer.
    pub fn answer(&mut self, id: RequestId) -> Answer {
        self.run_until(Duration::from_secs(20), |world| world.answers.contains_key(&id));
        self.answers.get(&id).cloned().expect("every request is answered")
    }

    /// Whether the VM that received a request was stopped or restarted since.
    pub fn restarted(&self, id: RequestId) -> bool {
        let (vm, start) = &self.asked[&id];
        self.nodes.get(vm).is_none_or(|node| node.start != *start)
    }

    /// Sends a report of a traffic thread to the control engine of a VM.
    pub fn report(&mut self, vm: &Name, report: Report) {
        self.tick_vm(vm, vec![Event::Report { thread: 0, report }]);
    }

    /// The last view that a VM published.
    pub fn view(&self, vm: &Name) -> &View {
        self.nodes[vm].view.as_deref().unwrap()
    }

    /// The document in force on a VM.
    pub fn document(&self, vm: &Name) -> &Document {
        &self.nodes[vm].engine.tables().in_force.document
    }

    /// The revision in force on a VM.
    pub fn revision(&self, vm: &Name) -> Revision {
        self.document(vm).revision
    }

    /// Whether the view of every VM that runs satisfies `test`.
    pub fn all(&self, test: impl Fn(&View) -> bool) -> bool {
        self.nodes.values().all(|node| node.view.as_deref().is_some_and(&test))
    }

    /// Whether every VM that runs is ready, and its live VMs are exactly those
    /// that run.
    pub fn settled(&self) -> bool {
        self.all(|view| {
            let live = view.vms.values().filter(|vm| vm.state == State::Live);
            view.ready && live.map(|vm| &vm.name).eq(self.nodes.keys())
        })
    }
}
