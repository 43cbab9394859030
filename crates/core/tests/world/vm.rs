//! One VM with the real engine.

use laburnum_core::{
    id::Origin,
    name::Name,
    time::Instant,
    traffic::{Engine, Event, Limits, Outbox, Policies, Setup},
    view::{Lane, State},
};

use super::control::Control;

/// A VM.
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// The number of its start.
    pub start: u64,
    /// When it started.
    pub started: Instant,
    /// What the list says of it, or none if it is not listed.
    pub listed: Option<State>,
    /// Whether its process runs.
    pub alive: bool,
    /// Until when it is stopped.
    pub paused_until: Instant,
    /// The events that it has not seen yet.
    pub inbox: Vec<Event>,
    /// Its traffic thread.
    pub engine: Engine,
    /// Its control thread, if the world has them.
    pub control: Option<Control>,
    /// The milliseconds by which its clock is ahead.
    pub skew: i64,
    /// What it has counted.
    pub counts: laburnum_core::count::Counts,
}

impl Vm {
    /// Starts a VM.
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
            skew: 0,
            counts: Default::default(),
        }
    }

    /// When it has something to do next.
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

    /// Whether it has something to do now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.wake().is_some_and(|at| at <= now)
    }

    /// Runs a tick.
    pub fn step(&mut self, now: Instant) -> Outbox {
        let mut out = Outbox::default();
        let events = std::mem::take(&mut self.inbox);
        self.engine.step(now, events, &mut out);
        for (count, many) in out.counts.iter() {
            self.counts.add_many(count, many);
        }
        out
    }
}
