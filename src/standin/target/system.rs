//! The decisions of a stand-in target, without sockets and clocks.
//!
//! Each function takes the tables, the time and an [`Outbox`]. [`tick`] runs
//! the systems in their order.

use std::time::Duration;

use laburnum_core::{
    target::{Refusal, Request, Work},
    time::Instant,
};
use rand::RngExt;

use super::{
    answer::{self, Answer},
    fault::{Crash, Faults, Moment},
    table::{Change, Finish, Job, Link, Load, Running, Tables, Waiting, text},
};

/// What the engine does after a tick.
#[derive(Debug, Default)]
pub struct Outbox {
    /// The answers to requests.
    pub answers: Vec<(Job, Answer)>,
    /// Whether the target crashed.
    pub crashed: bool,
    /// The connections that become silent.
    pub silenced: Vec<Link>,
}

/// Takes or refuses a connection.
pub fn connect(tables: &mut Tables, now: Instant, link: Link) -> bool {
    let full = tables.links.len() >= tables.settings.connections as usize;
    if full || now < tables.started {
        tables.counts.connections_refused += 1;
        return false;
    }
    tables.links.insert(link);
    tables.counts.connections_total += 1;
    count_links(tables);
    true
}

/// Forgets a connection that was closed.
pub fn disconnect(tables: &mut Tables, link: Link) {
    tables.links.remove(&link);
    count_links(tables);
}

fn count_links(tables: &mut Tables) {
    let open = u32::try_from(tables.links.len()).unwrap_or(u32::MAX);
    tables.counts.connections_open = open;
    tables.counts.connections_highest = tables.counts.connections_highest.max(open);
}

/// Puts faults in force.
///
/// Connections that become silent are no longer counted: the target's end of
/// them is as good as closed.
pub fn put(tables: &mut Tables, faults: Faults, out: &mut Outbox) {
    if faults.silence {
        out.silenced.extend(std::mem::take(&mut tables.links));
        count_links(tables);
    }
    tables.faults = faults;
}

/// Takes a request into the queue or refuses it.
pub fn arrive(tables: &mut Tables, now: Instant, job: Job, request: Request, out: &mut Outbox) {
    tables.counts.attempts += 1;
    if let Some(refusal) = refusal(tables, &request) {
        match refusal {
            Refusal::Shed => tables.counts.shed += 1,
            _ => tables.counts.refused += 1,
        }
        out.answers.push((job, answer::refusal(tables, request.attempt, refusal)));
        return;
    }
    let deadline = now + request.remaining;
    tables.waiting.insert(job, Waiting { request, deadline });
}

fn refusal(tables: &Tables, request: &Request) -> Option<Refusal> {
    if tables.faults.drain {
        return Some(Refusal::Draining);
    }
    if let Work::Search { version, range, .. } = &request.work {
        match tables.holds().get(version) {
            None => return Some(Refusal::VersionGone),
            Some(held) if !held.covers(*range) => return Some(Refusal::RangeMoved),
            Some(_) => {}
        }
    }
    let room = tables.settings.slots.saturating_add(tables.settings.queue);
    let taken = tables.running.len() + tables.waiting.len();
    (tables.faults.shed || taken >= room as usize).then_some(Refusal::Shed)
}

/// Frees what a withdrawn request holds.
pub fn withdraw(tables: &mut Tables, job: Job) {
    let waited = tables.waiting.remove(&job).is_some();
    let ran = tables.running.remove(&job).is_some();
    if waited || ran {
        tables.counts.cancelled += 1;
    }
}

/// Runs the systems once.
pub fn tick(tables: &mut Tables, now: Instant, out: &mut Outbox) {
    finish(tables, now, out);
    expire(tables, now, out);
    start(tables, now, out);
    observe(tables, now);
}

/// The time at which the next tick is due, if there is one.
pub fn next(tables: &Tables) -> Option<Instant> {
    let ends = tables.running.values().filter_map(|running| running.end);
    let deadlines = tables.waiting.values().map(|waiting| waiting.deadline);
    ends.chain(deadlines).min()
}

/// Ends the requests whose service time is over.
fn finish(tables: &mut Tables, now: Instant, out: &mut Outbox) {
    let ended: Vec<Job> = tables
        .running
        .iter()
        .filter(|(_, running)| running.end.is_some_and(|end| end <= now))
        .map(|(&job, _)| job)
        .collect();
    for job in ended {
        // A crash of an earlier one empties the table.
        if let Some(running) = tables.running.remove(&job) {
            finish_one(tables, now, job, &running, out);
        }
    }
}

fn finish_one(tables: &mut Tables, now: Instant, job: Job, running: &Running, out: &mut Outbox) {
    let mark = text(&running.request.work);
    let crash = tables.faults.crash(mark).cloned();
    if running.finish == Finish::Crash {
        crash_now(tables, now, crash.as_ref(), out);
        return;
    }
    execute(tables, &running.request.work);
    tables.counts.finished += 1;
    if let Some(crash) = crash.filter(|crash| crash.moment == Moment::After) {
        crash_now(tables, now, Some(&crash), out);
        return;
    }
    let wrong = tables.faults.take(mark, false);
    out.answers.push((job, answer::result(tables, &running.request, wrong)));
}

/// Records that an operation took effect.
fn execute(tables: &mut Tables, work: &Work) {
    let Work::Operate { subject, detail, token, .. } = work else {
        return;
    };
    let executions = &mut tables.executions;
    *executions.tokens.entry(*token).or_default() += 1;
    *executions.details.entry(detail.clone()).or_default() += 1;
    *executions.subjects.entry(*subject).or_default() += 1;
}

/// Loses all that is in memory; the target is down for the time of the crash.
fn crash_now(tables: &mut Tables, now: Instant, crash: Option<&Crash>, out: &mut Outbox) {
    tables.running.clear();
    tables.waiting.clear();
    tables.links.clear();
    count_links(tables);
    tables.counts.crashes += 1;
    tables.incarnation += 1;
    tables.started = now + crash.map_or(Duration::ZERO, |crash| crash.down);
    out.answers.clear();
    out.crashed = true;
}

/// Refuses the requests whose deadline passed before they got a slot.
fn expire(tables: &mut Tables, now: Instant, out: &mut Outbox) {
    let late: Vec<Job> = tables
        .waiting
        .iter()
        .filter(|(_, waiting)| waiting.deadline <= now)
        .map(|(&job, _)| job)
        .collect();
    for job in late {
        if let Some(waiting) = tables.waiting.remove(&job) {
            tables.counts.expired += 1;
            let attempt = waiting.request.attempt;
            let answer = answer::refusal(tables, attempt, Refusal::DeadlinePassed);
            out.answers.push((job, answer));
        }
    }
}

/// Gives free slots to the requests that wait, the earliest first.
fn start(tables: &mut Tables, now: Instant, out: &mut Outbox) {
    while tables.running.len() < tables.settings.slots as usize {
        let Some((job, waiting)) = tables.waiting.pop_first() else {
            return;
        };
        start_one(tables, now, job, waiting.request, out);
    }
}

fn start_one(tables: &mut Tables, now: Instant, job: Job, request: Request, out: &mut Outbox) {
    tables.counts.started += 1;
    let mark = text(&request.work).to_owned();
    let crash = tables.faults.crash(&mark).cloned();
    let mute = tables.faults.take(&mark, true).is_some();
    let service = service(tables, now);
    let (end, finish) = match crash.as_ref().map(|crash| crash.moment) {
        Some(Moment::Start) => return crash_now(tables, now, crash.as_ref(), out),
        Some(Moment::Midway) => (now + service / 2, Finish::Crash),
        Some(Moment::After) | None => (now + service, Finish::Answer),
    };
    tables.running.insert(job, Running { request, end: (!mute).then_some(end), finish });
    let running = tables.load().running;
    tables.counts.running_highest = tables.counts.running_highest.max(running);
}

/// Draws a service time.
fn service(tables: &mut Tables, now: Instant) -> Duration {
    let settings = &tables.settings;
    let faults = &tables.faults;
    let straggler_ppm = faults.straggler_ppm.unwrap_or(settings.straggler_ppm);
    let straggler_factor = faults.straggler_factor.unwrap_or(settings.straggler_factor);
    let cold = cold_factor(tables, now);
    let mut factor = (settings.spread * normal(&mut tables.random)).exp();
    if tables.random.random_range(0..1_000_000) < straggler_ppm {
        factor *= straggler_factor;
    }
    settings.service.mul_f64((factor * faults.slow_factor * cold).clamp(0.0, 1e6))
}

/// Draws from an approximate normal distribution: the sum of twelve uniform
/// numbers has a variance of one.
fn normal(random: &mut impl RngExt) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    sum - 6.0
}

/// Falls from the cold factor to one over the time after a start.
fn cold_factor(tables: &Tables, now: Instant) -> f64 {
    let age = now.since(tables.started);
    let whole = tables.settings.cold;
    if age >= whole {
        return 1.0;
    }
    let left = 1.0 - age.as_secs_f64() / whole.as_secs_f64();
    1.0 + (tables.settings.cold_factor - 1.0) * left
}

/// Keeps the load of the time that is still reported.
fn observe(tables: &mut Tables, now: Instant) {
    let load = tables.load();
    if tables.loads.back().is_none_or(|change| change.load != load) {
        tables.loads.push_back(Change { at: now, load });
    }
    let lag = tables.settings.load_lag;
    while tables.loads.get(1).is_some_and(|change| now.since(change.at) >= lag) {
        tables.loads.pop_front();
    }
}

/// The load as it is reported: as it was some time ago.
pub fn reported(tables: &Tables, now: Instant) -> Load {
    if let Some(load) = tables.faults.load {
        return load;
    }
    let lag = tables.settings.load_lag;
    let old = tables.loads.iter().rev().find(|change| now.since(change.at) >= lag);
    let idle = Load { slots: tables.settings.slots, ..Load::default() };
    old.map_or(idle, |change| change.load)
}
