//! A simulated fleet: the control engines of many VMs in virtual time, whose CPU time
//! is measured.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use laburnum_core::{
    claims,
    control::{Engine, Event, Limits, Message, Outbox, Request, RequestId, Setup},
    name::Name,
    notice::Notice,
    store::{CallId, Outcome, Reply},
    time::{Instant, Wall},
    view::{State, Vm},
};

use super::{fixture, meter};
use crate::{
    control::Json,
    standin::platform::{
        List,
        list::{Change, Raw},
        system::{self, Input, Output},
        table::{Tables, Ticket},
    },
};

/// The wall-clock time at virtual time zero, in milliseconds.
const WALL_EPOCH_MS: u64 = 1_700_000_000_000;

/// The delivery time of a message between VMs.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// The response time of the platform's service.
const PLATFORM_DELAY: Duration = Duration::from_millis(2);

/// A delivery on its way to a VM.
enum Delivery {
    /// An encoded message.
    Message(Vec<u8>),
    /// A reply of the platform's service, with the number of the start that called:
    /// a VM that has restarted since then must not get it.
    Reply(u64, CallId, Reply),
}

/// A call that the platform's service has not answered.
struct Call {
    vm: Name,
    start_number: u64,
    id: CallId,
}

/// A running VM.
struct Node {
    engine: Engine,
    /// The number of its start, unique in the fleet.
    start_number: u64,
    /// The time of its next step.
    wake: Instant,
    /// The number of live VMs in its latest view.
    live_vms: usize,
    /// The revision in force in its latest view.
    revision: u64,
}

/// The total cost of all VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// The number of messages sent.
    pub messages: u64,
    /// The encoded size of these messages.
    pub bytes: u64,
    /// The CPU time of steps, encoding and decoding.
    pub cpu_time: Duration,
    /// The CPU time of the longest step.
    pub longest_step: Duration,
    /// The number of views that were published.
    pub views: u64,
}

/// Control engines that are connected with each other and the platform's service.
pub struct Fleet {
    /// The virtual time.
    pub now: Instant,
    /// The cost since it was last reset.
    pub cost: Cost,
    nodes: BTreeMap<Name, Node>,
    platform: Tables,
    calls: BTreeMap<Ticket, Call>,
    /// The number of the latest ticket.
    tickets: u64,
    /// The deliveries in order of their time.
    queue: BTreeMap<(Instant, u64), (Name, Delivery)>,
    wakes: BTreeSet<(Instant, Name)>,
    /// Orders deliveries of the same time and numbers publications.
    sequence: u64,
    /// The number of starts so far.
    starts: u64,
}

impl Fleet {
    /// Starts a fleet; the platform lists all of its VMs and targets.
    pub fn new(vms: usize, targets: usize) -> Fleet {
        let shards = targets.clamp(1, 1100);
        let raw = Raw {
            vms: (0..vms).map(fixture::vm).collect(),
            targets: (0..targets).map(|number| fixture::target(number, shards)).collect(),
        };
        let list = List::try_from(raw).expect("every row is live");
        let mut fleet = Fleet {
            now: Instant(1_000_000),
            cost: Cost::default(),
            nodes: BTreeMap::new(),
            platform: Tables::new(list),
            calls: BTreeMap::new(),
            tickets: 0,
            queue: BTreeMap::new(),
            wakes: BTreeSet::new(),
            sequence: 0,
            starts: 0,
        };
        (0..vms).for_each(|number| fleet.start(number));
        fleet
    }

    /// The number of running VMs.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    /// Starts a VM, or restarts it if it is running.
    pub fn start(&mut self, number: usize) {
        self.kill(number);
        self.starts += 1;
        let vm = Vm { incarnation: self.wall().0 + self.starts, ..fixture::vm(number) };
        let name = vm.name.clone();
        let limits = Limits::default();
        let setup = Setup {
            vm,
            seeds: Vec::new(),
            limits,
            claims: claims::Limits::default(),
            seed: self.starts,
            codec: Box::new(Json),
        };
        let engine = Engine::new(setup);
        let wake = self.now;
        let node = Node { engine, start_number: self.starts, wake, live_vms: 0, revision: 0 };
        self.nodes.insert(name.clone(), node);
        self.wakes.insert((wake, name));
    }

    /// Ends a VM without notice to others.
    pub fn kill(&mut self, number: usize) {
        let name = fixture::vm_name(number);
        if let Some(node) = self.nodes.remove(&name) {
            self.wakes.remove(&(node.wake, name));
        }
    }

    /// Removes a VM from the platform's list.
    pub fn remove_from_list(&mut self, number: usize) {
        let ticket = self.next_ticket();
        self.call_platform(vec![(
            ticket,
            Input::ChangeList(Change::RemoveVm(fixture::vm_name(number))),
        )]);
    }

    /// Publishes profiles through a VM; each publication has a different content.
    pub fn publish(&mut self, number: usize) {
        self.sequence += 1;
        let concurrency = u32::try_from(self.sequence % 90_000).unwrap_or_default() + 1;
        let mut profiles = fixture::document(1).profiles.clone();
        profiles.values_mut().for_each(|profile| profile.concurrency = concurrency);
        let request = Request::Publish {
            profiles,
            expect: None,
            who: "operator".to_owned(),
            team: fixture::name("field"),
            dry_run: false,
        };
        let id = RequestId(self.sequence);
        self.step(&fixture::vm_name(number), vec![Event::Request { id, request }]);
    }

    /// Advances virtual time by `span`.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next_time().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.tick();
        }
        self.now = end;
    }

    /// Runs until `is_done` holds, but at most for `limit`; returns the time that
    /// passed.
    pub fn run_until(&mut self, limit: Duration, is_done: impl Fn(&Fleet) -> bool) -> Duration {
        let start = self.now;
        while !is_done(self) && self.now.since(start) < limit {
            self.run_for(Duration::from_millis(50));
        }
        self.now.since(start)
    }

    /// Whether every running VM sees as many live VMs as are running.
    pub fn is_converged(&self) -> bool {
        self.nodes.values().all(|node| node.live_vms == self.nodes.len())
    }

    /// Whether no VM has gossip left to send.
    pub fn is_gossip_done(&self) -> bool {
        self.nodes.values().all(|node| node.engine.tables().gossip.is_empty())
    }

    /// The lowest revision in force on any running VM.
    pub fn lowest_revision(&self) -> u64 {
        self.nodes.values().map(|node| node.revision).min().unwrap_or_default()
    }

    fn wall(&self) -> Wall {
        Wall(WALL_EPOCH_MS + self.now.0 / 1000)
    }

    fn next_time(&self) -> Option<Instant> {
        let queued = self.queue.keys().next().map(|&(at, _)| at);
        let wakes = self.wakes.first().map(|&(at, _)| at);
        [queued, wakes, self.platform.next_deadline()].into_iter().flatten().min()
    }

    fn tick(&mut self) {
        if self.platform.next_deadline().is_some_and(|at| at <= self.now) {
            self.call_platform(Vec::new());
        }
        let mut events: BTreeMap<Name, Vec<Event>> = BTreeMap::new();
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let (vm, delivery) = entry.remove();
            if let Some(event) = self.delivered_event(&vm, delivery) {
                events.entry(vm).or_default().push(event);
            }
        }
        let due = self.wakes.iter().take_while(|(at, _)| *at <= self.now);
        for (_, vm) in due {
            events.entry(vm.clone()).or_default();
        }
        for (vm, events) in events {
            self.step(&vm, events);
        }
    }

    /// Turns a delivery into an event; none if the VM is not running or has restarted.
    fn delivered_event(&mut self, vm: &Name, delivery: Delivery) -> Option<Event> {
        let node = self.nodes.get(vm)?;
        match delivery {
            Delivery::Message(bytes) => {
                let (took, message) = meter::timed(|| decode(&bytes));
                self.cost.cpu_time += took;
                Some(Event::Message(message))
            }
            Delivery::Reply(start_number, call, reply) => (start_number == node.start_number)
                .then_some(Event::Store(Outcome { id: call, era: None, reply })),
        }
    }

    fn step(&mut self, vm: &Name, events: Vec<Event>) {
        let wall = self.wall();
        let Some(node) = self.nodes.get_mut(vm) else { return };
        let mut out = Outbox::default();
        let now = self.now;
        let (took, ()) = meter::timed(|| node.engine.tick(now, wall, events, &mut out));
        self.cost.cpu_time += took;
        self.cost.longest_step = self.cost.longest_step.max(took);
        self.wakes.remove(&(node.wake, vm.clone()));
        node.wake = node.engine.wake().unwrap_or(now + Duration::from_secs(1));
        self.wakes.insert((node.wake, vm.clone()));
        self.flush(vm, out);
    }

    fn flush(&mut self, vm: &Name, out: Outbox) {
        let Some(node) = self.nodes.get_mut(vm) else { return };
        for (_, notice) in out.notices {
            if let Notice::View(view) = notice {
                self.cost.views += 1;
                node.live_vms = view.vms.values().filter(|vm| vm.state == State::Live).count();
                node.revision = view.document.revision.0;
            }
        }
        let start_number = node.start_number;
        for envelope in out.messages {
            let (took, bytes) = meter::timed(|| encode(&envelope.message));
            self.cost.cpu_time += took;
            self.cost.messages += 1;
            self.cost.bytes += bytes.len() as u64;
            self.enqueue(MESSAGE_DELAY, envelope.vm, Delivery::Message(bytes));
        }
        for (id, call) in out.calls {
            let ticket = self.next_ticket();
            self.calls.insert(ticket, Call { vm: vm.clone(), start_number, id });
            self.call_platform(vec![(
                ticket,
                Input::Call { vm: Some(vm.clone()), connection: None, call },
            )]);
        }
    }

    fn next_ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    fn call_platform(&mut self, inputs: Vec<(Ticket, Input)>) {
        let mut outputs = Vec::new();
        system::run(&mut self.platform, self.now, inputs, &mut outputs);
        for (ticket, output) in outputs {
            let (Output::Reply(reply), Some(call)) = (output, self.calls.remove(&ticket)) else {
                continue;
            };
            self.enqueue(
                PLATFORM_DELAY,
                call.vm,
                Delivery::Reply(call.start_number, call.id, reply),
            );
        }
    }

    fn enqueue(&mut self, delay: Duration, vm: Name, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (vm, delivery));
    }
}

fn encode(message: &Message) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("a message can always be encoded")
}

fn decode(bytes: &[u8]) -> Message {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(message, _)| message)
        .expect("the message was encoded here")
}
