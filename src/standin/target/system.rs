//! The decisions of a stand-in target, without sockets or clocks.
//!
//! The functions work on the tables, get the time from outside and write their
//! decisions to an [`Outbox`]. [`tick`] runs the systems in order.

use std::time::Duration;

use laburnum_core::{
    target::{Refusal, Request, Work},
    time::Instant,
};
use rand::RngExt;

use super::{
    answer::{self, Answer},
    fault::{Crash, Faults, Moment},
    table::{Change, Completion, Connection, Job, Load, Running, Tables, Waiting, match_text},
};

/// The decisions that the engine carries out after a tick.
#[derive(Debug, Default)]
pub struct Outbox {
    pub answers: Vec<(Job, Answer)>,
    /// Whether the target crashed.
    pub crashed: bool,
    /// The connections to silence.
    pub silenced: Vec<Connection>,
}

/// Accepts or refuses a connection; returns whether it is accepted.
pub fn connect(tables: &mut Tables, now: Instant, connection: Connection) -> bool {
    let is_full = tables.connections.len() >= tables.settings.connections as usize;
    if is_full || now < tables.started {
        tables.counts.connections_refused += 1;
        return false;
    }
    tables.connections.insert(connection);
    tables.counts.connections_total += 1;
    count_connections(tables);
    true
}

/// Removes a connection that was closed.
pub fn disconnect(tables: &mut Tables, connection: Connection) {
    tables.connections.remove(&connection);
    count_connections(tables);
}

fn count_connections(tables: &mut Tables) {
    let open = u32::try_from(tables.connections.len()).unwrap_or(u32::MAX);
    tables.counts.connections_open = open;
    tables.counts.connections_highest = tables.counts.connections_highest.max(open);
}

/// Replaces all faults.
///
/// Silenced connections no longer count towards the limit, as if the target had closed
/// them.
pub fn set_faults(tables: &mut Tables, faults: Faults, out: &mut Outbox) {
    if faults.silence {
        out.silenced.extend(std::mem::take(&mut tables.connections));
        count_connections(tables);
    }
    tables.faults = faults;
}

/// Adds a request to the queue or refuses it.
pub fn admit(tables: &mut Tables, now: Instant, job: Job, request: Request, out: &mut Outbox) {
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
    let capacity = tables.settings.slots.saturating_add(tables.settings.queue);
    let used = tables.running.len() + tables.waiting.len();
    (tables.faults.shed || used >= capacity as usize).then_some(Refusal::Shed)
}

/// Removes a cancelled request from the queue or from its slot.
pub fn cancel(tables: &mut Tables, job: Job) {
    let was_waiting = tables.waiting.remove(&job).is_some();
    let was_running = tables.running.remove(&job).is_some();
    if was_waiting || was_running {
        tables.counts.cancelled += 1;
    }
}

/// Runs the systems once.
pub fn tick(tables: &mut Tables, now: Instant, out: &mut Outbox) {
    finish(tables, now, out);
    expire(tables, now, out);
    start(tables, now, out);
    record_load(tables, now);
}

/// The time at which the next tick is due, if any.
pub fn next_tick(tables: &Tables) -> Option<Instant> {
    let ends = tables.running.values().filter_map(|running| running.end);
    let deadlines = tables.waiting.values().map(|waiting| waiting.deadline);
    ends.chain(deadlines).min()
}

/// Completes the requests whose service time has elapsed.
fn finish(tables: &mut Tables, now: Instant, out: &mut Outbox) {
    let ended: Vec<Job> = tables
        .running
        .iter()
        .filter(|(_, running)| running.end.is_some_and(|end| end <= now))
        .map(|(&job, _)| job)
        .collect();
    for job in ended {
        // An earlier request of the same tick may have crashed the target, which empties
        // the table.
        if let Some(running) = tables.running.remove(&job) {
            finish_one(tables, now, job, &running, out);
        }
    }
}

fn finish_one(tables: &mut Tables, now: Instant, job: Job, running: &Running, out: &mut Outbox) {
    let text = match_text(&running.request.work);
    let crash = tables.faults.crash_for(text).cloned();
    if running.completion == Completion::Crash {
        crash_target(tables, now, crash.as_ref(), out);
        return;
    }
    record_execution(tables, &running.request.work);
    tables.counts.finished += 1;
    if let Some(crash) = crash.filter(|crash| crash.moment == Moment::After) {
        crash_target(tables, now, Some(&crash), out);
        return;
    }
    let defect = tables.faults.take_defect(text, false);
    out.answers.push((job, answer::result(tables, &running.request, defect)));
}

/// Records that an operation took effect.
fn record_execution(tables: &mut Tables, work: &Work) {
    let Work::Operate { subject, detail, token, .. } = work else {
        return;
    };
    let executions = &mut tables.executions;
    *executions.tokens.entry(*token).or_default() += 1;
    *executions.details.entry(detail.clone()).or_default() += 1;
    *executions.subjects.entry(*subject).or_default() += 1;
}

/// Drops all requests, connections and pending answers; the target stays down for the
/// time that the crash states.
fn crash_target(tables: &mut Tables, now: Instant, crash: Option<&Crash>, out: &mut Outbox) {
    tables.running.clear();
    tables.waiting.clear();
    tables.connections.clear();
    count_connections(tables);
    tables.counts.crashes += 1;
    tables.incarnation += 1;
    tables.started = now + crash.map_or(Duration::ZERO, |crash| crash.down);
    out.answers.clear();
    out.crashed = true;
}

/// Refuses the waiting requests whose deadline has passed.
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

/// Gives free slots to waiting requests in order of arrival.
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
    let text = match_text(&request.work).to_owned();
    let crash = tables.faults.crash_for(&text).cloned();
    let is_mute = tables.faults.take_defect(&text, true).is_some();
    let service_time = draw_service_time(tables, now);
    let (end, completion) = match crash.as_ref().map(|crash| crash.moment) {
        Some(Moment::Start) => return crash_target(tables, now, crash.as_ref(), out),
        Some(Moment::Midway) => (now + service_time / 2, Completion::Crash),
        Some(Moment::After) | None => (now + service_time, Completion::Answer),
    };
    tables.running.insert(job, Running { request, end: (!is_mute).then_some(end), completion });
    let running = tables.load().running;
    tables.counts.running_highest = tables.counts.running_highest.max(running);
}

/// Draws the service time of a request that starts now.
fn draw_service_time(tables: &mut Tables, now: Instant) -> Duration {
    let settings = &tables.settings;
    let faults = &tables.faults;
    let straggler_ppm = faults.straggler_ppm.unwrap_or(settings.straggler_ppm);
    let straggler_factor = faults.straggler_factor.unwrap_or(settings.straggler_factor);
    let cold_factor = current_cold_factor(tables, now);
    let mut factor = (settings.spread * draw_normal(&mut tables.random)).exp();
    if tables.random.random_range(0..1_000_000) < straggler_ppm {
        factor *= straggler_factor;
    }
    settings.service.mul_f64((factor * faults.slow_factor * cold_factor).clamp(0.0, 1e6))
}

/// Draws from an approximate normal distribution: the sum of twelve uniform
/// numbers has a variance of one.
fn draw_normal(random: &mut impl RngExt) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    sum - 6.0
}

/// The factor by which requests take longer after a start; it falls from the setting
/// to one, linearly over the cold time.
fn current_cold_factor(tables: &Tables, now: Instant) -> f64 {
    let age = now.since(tables.started);
    let cold = tables.settings.cold;
    if age >= cold {
        return 1.0;
    }
    let remaining = 1.0 - age.as_secs_f64() / cold.as_secs_f64();
    1.0 + (tables.settings.cold_factor - 1.0) * remaining
}

/// Records the load and drops the entries that are older than the one to report.
fn record_load(tables: &mut Tables, now: Instant) {
    let load = tables.load();
    if tables.load_history.back().is_none_or(|change| change.load != load) {
        tables.load_history.push_back(Change { at: now, load });
    }
    let lag = tables.settings.load_lag;
    while tables.load_history.get(1).is_some_and(|change| now.since(change.at) >= lag) {
        tables.load_history.pop_front();
    }
}

/// The load as it is reported: as it was one [`load_lag`] ago.
///
/// [`load_lag`]: super::Settings::load_lag
pub fn reported_load(tables: &Tables, now: Instant) -> Load {
    if let Some(load) = tables.faults.load {
        return load;
    }
    let lag = tables.settings.load_lag;
    let lagging = tables.load_history.iter().rev().find(|change| now.since(change.at) >= lag);
    let idle = Load { slots: tables.settings.slots, ..Load::default() };
    lagging.map_or(idle, |change| change.load)
}
