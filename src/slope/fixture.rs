//! Fixtures of a chosen size for the measurements: names, views, profiles and
//! traffic engines.

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

/// The name of the index that every shard belongs to.
pub const INDEX_NAME: &str = "register";

/// The name of the profile that every query uses.
pub const PROFILE_NAME: &str = "clearance";

/// The version that every target holds.
pub const VERSION: Version = Version(1);

/// The body of a row, 32 bytes long.
pub const ROW_BODY: &str = "a licence of thirty-two bytes ..";

/// The number of failure domains.
const DOMAIN_COUNT: usize = 19;

/// The stride between the ranges of shards that follow each other by name. It is
/// coprime to every number of shards that is measured, so that each range is used
/// once.
const RANGE_STRIDE: usize = 7919;

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub vms: usize,
    pub shards: usize,
    pub targets: usize,
}

/// Makes a name from a text that is known to be valid.
pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("the text holds only characters of a name")
}

pub fn vm_name(number: usize) -> Name {
    name(&format!("vm-{number:04}"))
}

pub fn shard_name(number: usize) -> Name {
    name(&format!("shard-{number:04}"))
}

/// The lane of the only traffic thread of a VM.
pub fn lane(number: usize) -> Lane {
    Lane { vm: vm_name(number), thread: 0 }
}

/// A distinct address for each number; nothing listens there.
pub fn address(number: usize) -> SocketAddr {
    let [_, a, b, c] = u32::try_from(number).unwrap_or_default().to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7000))
}

/// A live VM with one traffic thread.
pub fn vm(number: usize) -> Vm {
    Vm {
        name: vm_name(number),
        domain: name(&format!("domain-{:02}", number % DOMAIN_COUNT)),
        incarnation: 1,
        state: State::Live,
        control: address(number),
        traffic: vec![address(number)],
    }
}

/// A live target; targets are assigned to the shards in turn.
pub fn target(number: usize, shards: usize) -> Target {
    Target {
        name: name(&format!("replica-{number:05}")),
        index: name(INDEX_NAME),
        shard: shard_name(number % shards),
        domain: name(&format!("domain-{:02}", number % DOMAIN_COUNT)),
        address: address(number),
        slots: 2,
        connections: 55,
        state: State::Live,
    }
}

/// A document with the same profile for every revision.
pub fn document(revision: u64) -> Arc<Document> {
    let profile = Profile::try_from(Raw {
        team: "field".to_owned(),
        index: INDEX_NAME.to_owned(),
        coverage_ppm: 1_000_000,
        deadline: Duration::from_secs(60),
        tail: Duration::from_secs(1),
        extra_load_ppm: 50_000,
        concurrency: 100_000,
        priority: 10,
        canary: false,
    })
    .expect("the profile keeps to the limits");
    let profiles = BTreeMap::from([(name(PROFILE_NAME), profile)]);
    Arc::new(Document { revision: Revision(revision), profiles })
}

/// The view of a deployment that the VM `own` has.
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

/// The range of a shard. Ranges are not in the order of shard names, as in a
/// deployment that has been repartitioned.
pub fn range(shard: usize, shards: usize) -> Range {
    let position = (shard * RANGE_STRIDE % shards) as u64;
    let width = u64::MAX / shards as u64;
    let last = if position + 1 == shards as u64 { u64::MAX } else { (position + 1) * width - 1 };
    Range::try_from((position * width, last)).expect("the range is not reversed")
}

/// The holdings of all shards, as their homes announce them.
pub fn holdings(shards: usize) -> Vec<Holding> {
    let holding = |shard| {
        let held = HeldRange { version: VERSION, range: range(shard, shards), replicas: 2 };
        Holding { index: name(INDEX_NAME), shard: shard_name(shard), ranges: vec![held] }
    };
    (0..shards).map(holding).collect()
}

/// A traffic engine of the VM `own` that has no view yet. Its limits on
/// requests and jobs and its status intervals never take effect.
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

/// The event that hands a new view to the engine.
pub fn view_event(view: View) -> Event {
    Event::Notice(Notice::View(Arc::new(view)))
}

/// The name of a VM that no view lists, so that it is home of no shard.
pub fn unlisted_vm() -> Name {
    name("entry")
}

/// The engine of an entry that is home of no shard and has the holdings of all.
pub fn entry(size: Size) -> Engine {
    let own = unlisted_vm();
    let mut engine = engine(&own);
    step(&mut engine, vec![view_event(view(&own, size))]);
    let message = Message::Holdings(holdings(size.shards));
    step(&mut engine, vec![Event::Message { from: lane(0), message }]);
    engine
}

/// An interval longer than any measurement, so that it never elapses.
const NEVER: Duration = Duration::from_secs(1_000_000);

/// The time of steps that do not advance the clock, so that no timer becomes due.
pub const FIXED_NOW: Instant = Instant(1_000_000);

/// Runs one step at [`FIXED_NOW`].
pub fn step(engine: &mut Engine, events: Vec<Event>) -> Outbox {
    step_at(engine, FIXED_NOW, events)
}

/// Runs one step of the engine and returns its output.
pub fn step_at(engine: &mut Engine, now: Instant, events: Vec<Event>) -> Outbox {
    let mut out = Outbox::default();
    engine.tick(now, events, &mut out);
    out
}
