//! Views, engines and messages of a chosen size.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use laburnum_core::{
    id::Origin,
    key::Range,
    message::{HeldRange, Holding, Message},
    name::Name,
    notice::Notice,
    profile::{Document, Profile, Raw, Revision},
    target::Version,
    time::Instant,
    traffic::{Engine, Event, Limits, Outbox, Policies, Setup},
    view::{Lane, State, Target, View, Vm},
};

/// The index of every shard.
pub const INDEX: &str = "register";

/// The profile of every query.
pub const PROFILE: &str = "clearance";

/// The version that every target holds.
pub const VERSION: Version = Version(1);

/// The content of a row, 32 bytes.
pub const BODY: &str = "a licence of thirty-two bytes ..";

/// The failure domains.
const DOMAINS: usize = 19;

/// The factor that spreads the names of shards over the key space, prime to
/// every number of shards that is measured.
const SPREAD: usize = 7919;

/// The sizes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of VMs.
    pub vms: usize,
    /// The number of shards.
    pub shards: usize,
    /// The number of targets.
    pub targets: usize,
}

/// Makes a name from constants of this module.
pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("the text holds only characters of a name")
}

/// The name of a VM.
pub fn vm_name(number: usize) -> Name {
    name(&format!("vm-{number:04}"))
}

/// The name of a shard.
pub fn shard_name(number: usize) -> Name {
    name(&format!("shard-{number:04}"))
}

/// The lane of a VM.
pub fn lane(number: usize) -> Lane {
    Lane { vm: vm_name(number), thread: 0 }
}

/// An address that differs by number; nothing listens there.
pub fn address(number: usize) -> SocketAddr {
    let [_, a, b, c] = u32::try_from(number).unwrap_or_default().to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7000))
}

/// A VM as others know it.
pub fn vm(number: usize) -> Vm {
    Vm {
        name: vm_name(number),
        domain: name(&format!("domain-{:02}", number % DOMAINS)),
        incarnation: 1,
        state: State::Live,
        control: address(number),
        traffic: vec![address(number)],
    }
}

/// A target as the platform lists it.
pub fn target(number: usize, shards: usize) -> Target {
    Target {
        name: name(&format!("replica-{number:05}")),
        index: name(INDEX),
        shard: shard_name(number % shards),
        domain: name(&format!("domain-{:02}", number % DOMAINS)),
        address: address(number),
        slots: 2,
        connections: 55,
        state: State::Live,
    }
}

/// Profiles of which only the revision differs.
pub fn document(revision: u64) -> Arc<Document> {
    let profile = Profile::try_from(Raw {
        team: "field".to_owned(),
        index: INDEX.to_owned(),
        coverage_ppm: 1_000_000,
        deadline: Duration::from_secs(60),
        tail: Duration::from_secs(1),
        extra_load_ppm: 50_000,
        concurrency: 100_000,
        priority: 10,
        canary: false,
    })
    .expect("the profile keeps to the limits");
    let profiles = BTreeMap::from([(name(PROFILE), profile)]);
    Arc::new(Document { revision: Revision(revision), profiles })
}

/// The view of the VM `own` of a deployment.
pub fn view(own: &Name, size: Size) -> View {
    let mut view = View::starting(own.clone(), name("domain-00"));
    view.vms = (0..size.vms).map(|number| (vm_name(number), vm(number))).collect();
    view.targets = (0..size.targets)
        .map(|number| target(number, size.shards))
        .map(|target| (target.name.clone(), target))
        .collect();
    view.document = document(1);
    view.ready = true;
    view
}

/// The range of a shard. The order of names is not the order of keys, as after
/// some repartitions.
pub fn range(shard: usize, shards: usize) -> Range {
    let place = (shard * SPREAD % shards) as u64;
    let width = u64::MAX / shards as u64;
    let last = if place + 1 == shards as u64 { u64::MAX } else { (place + 1) * width - 1 };
    Range::try_from((place * width, last)).expect("the range is not reversed")
}

/// What the homes of all shards say that they hold.
pub fn holdings(shards: usize) -> Vec<Holding> {
    let one = |shard| {
        let held = HeldRange { version: VERSION, range: range(shard, shards), replicas: 2 };
        Holding { index: name(INDEX), shard: shard_name(shard), ranges: vec![held] }
    };
    (0..shards).map(one).collect()
}

/// An engine of the VM `own` without a view.
pub fn engine(own: &Name) -> Engine {
    let limits = Limits {
        open_requests: usize::MAX,
        jobs: usize::MAX,
        status_interval: NEVER,
        status_max_age: NEVER,
        ..Limits::default()
    };
    Engine::new(Setup {
        lane: Lane { vm: own.clone(), thread: 0 },
        domain: name("domain-00"),
        origin: Origin(7),
        limits,
        policies: Policies::default(),
    })
}

/// The event of a new view.
pub fn viewed(view: View) -> Event {
    Event::Notice(Notice::View(Arc::new(view)))
}

/// A VM that is listed nowhere, so that it is home of no shard.
pub fn stranger() -> Name {
    name("entry")
}

/// An entry that is home of nothing and knows what every shard holds.
pub fn entry(size: Size) -> Engine {
    let own = stranger();
    let mut engine = engine(&own);
    step(&mut engine, vec![viewed(view(&own, size))]);
    let message = Message::Holdings(holdings(size.shards));
    step(&mut engine, vec![Event::Message { from: lane(0), message }]);
    engine
}

/// A time that no measurement reaches.
const NEVER: Duration = Duration::from_secs(1_000_000);

/// The time of a step where time stands still, so that no timer is due.
pub const NOW: Instant = Instant(1_000_000);

/// Runs one step at [`NOW`].
pub fn step(engine: &mut Engine, events: Vec<Event>) -> Outbox {
    step_at(engine, NOW, events)
}

/// Runs one step.
pub fn step_at(engine: &mut Engine, now: Instant, events: Vec<Event>) -> Outbox {
    let mut out = Outbox::default();
    engine.tick(now, events, &mut out);
    out
}
