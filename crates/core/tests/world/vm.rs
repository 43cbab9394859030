//! A simulated VM with the real engines.

use laburnum_core::{
    id::Origin,
    name::Name,
    time::Instant,
    traffic::{Engine, Event, Limits, Outbox, Policies, Setup},
    view::{Lane, State},
};

use super::control::Control;

pub struct Vm {
    pub name: Name,
    /// The number of the current start, which grows with each restart.
    pub start: u64,
    /// The time of the current start.
    pub started: Instant,
    /// Its state in the list, or none if it is not listed.
    pub listed: Option<State>,
    /// Whether its process runs.
    pub alive: bool,
    /// The time until which its process is paused.
    pub paused_until: Instant,
    /// The events that its traffic thread has not processed yet.
    pub inbox: Vec<Event>,
    /// The engine of its traffic thread.
    pub engine: Engine,
    /// Its control thread, if the world has them.
    pub control: Option<Control>,
    /// The number of milliseconds by which its wall clock is ahead.
    pub skew_millis: i64,
    /// The sum of its counters over all ticks.
    pub counts: laburnum_core::count::Counts,
}

impl Vm {
    /// Creates a VM that is live and has no control thread.
    pub fn new(name: Name, start: u64, origin: Origin) -> Vm {
        let engine = Engine::new(Setup {
            lane: Lane { vm: name.clone(), thread: 0 },
            domain: Name::try_from("domain-1").unwrap(),
            origin,
            limits: Limits::default(),
            policies: Policies::default(),
        });
        Vm {
            name,
            start,
            started: Instant::default(),
            listed: Some(State::Live),
            alive: true,
            paused_until: Instant::default(),
            inbox: Vec::new(),
            engine,
            control: None,
            skew_millis: 0,
            counts: Default::default(),
        }
    }

    /// Returns when the VM next has work, or none if it waits for events.
    pub fn wake(&self) -> Option<Instant> {
        if !self.alive {
            return None;
        }
        let wake =
            if self.inbox.is_empty() { self.engine.wake() } else { Some(Instant::default()) };
        let control = self.control.as_ref().and_then(Control::wake);
        let first = [wake, control].into_iter().flatten().min();
        first.map(|at| at.max(self.paused_until))
    }

    pub fn is_due(&self, now: Instant) -> bool {
        self.wake().is_some_and(|at| at <= now)
    }

    /// Runs a tick of the traffic thread.
    pub fn tick(&mut self, now: Instant) -> Outbox {
        let mut out = Outbox::default();
        let events = std::mem::take(&mut self.inbox);
        self.engine.tick(now, events, &mut out);
        for (count, times) in out.counts.iter() {
            self.counts.add_many(count, times);
        }
        out
    }
}
