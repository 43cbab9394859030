//! What must hold, as systems that run over the rows of a soak. Each returns
//! what broke it; the bounds are those that `docs/SOAK.md` states.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    bed::{
        APPLY, DRAIN, LEAST, OPERATION, RELAYS, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, SEARCH, TOP,
    },
    caller::PATIENCE_MS,
    entries::ATTEMPTS,
    ledger::{Answer, Ask, Kind, Outcome, Rows, Run, Subject, Version},
};

/// How late a final answer may be.
const LATE: Duration = Duration::from_millis(500);

/// The time without disturbance after which bounds on changes hold.
const STABLE: Duration = Duration::from_secs(4);

/// The time after which a version that was seen must not be followed by an
/// older one.
const ROLLBACK: Duration = Duration::from_millis(250);

/// The time at the end in which requests must be served again, and its share.
const RECOVERED: (Duration, f64) = (Duration::from_secs(3), 0.95);

/// The requests that may reach a target although their caller left.
const LEFT_OVER: usize = 3;

/// The runs of the poison after it has crashed three targets.
const POISONED: usize = 3;

/// What the checks look up in the rows.
struct Index<'a> {
    rows: &'a Rows,
    end: Instant,
    asks: BTreeMap<&'a str, &'a Ask>,
    runs: BTreeMap<&'a str, Vec<&'a Run>>,
}

/// Runs every check; `end` is when the last request was sent.
pub fn run(rows: &Rows, end: Instant) -> Vec<String> {
    let asks = rows.asks.iter().map(|ask| (ask.id.as_str(), ask)).collect();
    let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &rows.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let index = Index { rows, end, asks, runs };
    let checks: [fn(&Index<'_>) -> Vec<String>; 13] = [
        answers,
        once,
        refusals,
        unchanged,
        attempts,
        budget,
        drains,
        versions,
        deadlines,
        closings,
        withdrawals,
        poison,
        recovery,
    ];
    let found = checks.iter().flat_map(|check| check(&index));
    rows.breaches.iter().cloned().chain(found).collect()
}

impl<'a> Index<'a> {
    fn runs(&self, id: &str) -> impl Iterator<Item = &'a Run> + use<'a> {
        let runs = self.runs.get(id).cloned().unwrap_or_default();
        runs.into_iter().filter(|run| !run.refused)
    }

    fn answered(&self) -> impl Iterator<Item = (&'a Ask, &'a Answer)> {
        self.rows.asks.iter().filter_map(|ask| match &ask.outcome {
            Outcome::Answer(answer) => Some((ask, answer)),
            Outcome::Closed { .. } | Outcome::Left | Outcome::Stray(_) => None,
        })
    }

    /// Whether anything but targets was disturbed in a time.
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        let spells = self.rows.spells.iter();
        let mut spells = spells.filter(|spell| !matches!(spell.subject, Subject::Link(_)));
        !spells.any(|spell| spell.from <= to && spell.to >= from)
    }

    /// Whether the process of a relay was disturbed in a time. The last relay
    /// hands its requests on, so that it shares the disturbances of the others.
    fn is_disturbed(&self, relay: usize, from: Instant, to: Instant) -> bool {
        let concerns = |subject: Subject| match subject {
            Subject::Relay(number) | Subject::Leaving(number) => {
                number == relay || relay + 1 == RELAYS.len()
            }
            Subject::Store | Subject::Link(_) => false,
        };
        let mut spells = self.rows.spells.iter().filter(|spell| concerns(spell.subject));
        spells.any(|spell| spell.from <= to && spell.to >= from)
    }

    /// Whether the link to the target of a run held bytes back in a time. What
    /// arrives late by that was sent in time.
    fn is_held_up(&self, run: &Run, from: Instant) -> bool {
        let subject = Subject::Link(run.place);
        let mut spells = self.rows.spells.iter().filter(|spell| spell.subject == subject);
        spells.any(|spell| spell.from <= run.at && spell.to >= from)
    }

    /// The versions that may have sent a request to a service by a time.
    fn named(&self, service: &str, by: Instant) -> impl Iterator<Item = &'a Version> {
        let versions = self.rows.versions.iter().filter(move |version| version.written <= by);
        let service = service.to_owned();
        versions
            .filter(move |v| v.desk == service || v.shards.iter().any(|shard| **shard == service))
    }
}

fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whole answers to one's own request, with the parts that they name.
fn answers(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for (ask, answer) in index.answered() {
        let wrong = match (answer.status, ask.kind) {
            (200, Kind::Operation) => passed_on(index, ask, answer),
            (200, Kind::Search | Kind::Poison) => gathered(index, ask, answer),
            (500, _) => answer.digest.as_ref().is_some_and(|d| *d != format!("failed.{}", ask.id)),
            (status, _) if is_promise(status) || status >= 500 => answer.digest.is_some(),
            (_, _) => true,
        };
        if wrong {
            found.push(format!("{}: wrong answer: {} {:?}", ask.id, answer.status, answer.digests));
        }
    }
    for ask in &index.rows.asks {
        let is_disturbed = index.is_disturbed(ask.relay, ask.sent, ask.ended);
        if let Outcome::Stray(detail) = &ask.outcome
            && !is_disturbed
        {
            found.push(format!("{}: no answer: {detail}", ask.id));
        }
    }
    found
}

/// Whether the answer to an operation is not the reply of its target.
fn passed_on(index: &Index<'_>, ask: &Ask, answer: &Answer) -> bool {
    let Some(digest) = &answer.digest else { return true };
    !index.runs(&ask.id).any(|run| run.success == Some((digest.clone(), answer.body.clone())))
}

/// Whether the answer to a search is not made of parts of one version.
fn gathered(index: &Index<'_>, ask: &Ask, answer: &Answer) -> bool {
    let parts: Vec<&Run> = index
        .runs(&ask.id)
        .filter(|run| run.success.as_ref().is_some_and(|(d, _)| answer.digests.contains(d)))
        .collect();
    let services: BTreeSet<&str> = parts.iter().map(|run| run.service.as_str()).collect();
    let is_named = parts.len() == answer.digests.len() && services.len() == parts.len();
    let shards = answer.digests.len() + answer.missing;
    let is_version = index.rows.versions.iter().any(|version| {
        let all = services.iter().all(|service| version.shards.contains(service));
        all && version.shards.len() == shards && version.written <= ask.ended
    });
    let share = parts.len() as f64 / shards.max(1) as f64;
    !(is_named && is_version && share >= LEAST && answer.body == greatest(&parts))
}

/// The greatest records of parts.
fn greatest(parts: &[&Run]) -> Vec<u8> {
    let bodies = parts.iter().filter_map(|run| run.success.as_ref().map(|(_, body)| body));
    let mut records: Vec<&[u8]> = bodies.flat_map(|body| body.chunks_exact(16)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(TOP);
    records.concat()
}

/// An operation runs once at most.
fn once(index: &Index<'_>) -> Vec<String> {
    let operations = index.rows.asks.iter().filter(|ask| ask.kind == Kind::Operation);
    operations
        .filter(|ask| index.runs(&ask.id).count() > 1)
        .map(|ask| format!("{}: ran twice", ask.id))
        .collect()
}

/// A refusal that promises that nothing ran is true.
fn refusals(index: &Index<'_>) -> Vec<String> {
    let promised = index
        .answered()
        .filter(|(ask, answer)| ask.kind == Kind::Operation && is_promise(answer.status));
    promised
        .filter(|(ask, _)| index.runs(&ask.id).next().is_some())
        .map(|(ask, answer)| format!("{}: ran, was answered {}", ask.id, answer.status))
        .collect()
}

/// Targets run what callers sent, where a version sent it, with the time that is
/// left.
fn unchanged(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for run in index.rows.runs.iter().filter(|run| !run.refused) {
        let Some(ask) = index.asks.get(run.id.as_str()) else {
            found.push(format!("{}: nobody sent what {} ran", run.id, run.target));
            continue;
        };
        let path = match ask.kind {
            Kind::Search => format!("/search/{}?page=2", ask.id),
            Kind::Operation => format!("/desk/{}?step=1", ask.id),
            Kind::Poison => "/search/poison".to_owned(),
        };
        if run.path != path || run.body != ask.body {
            found.push(format!("{}: {} ran something else", run.id, run.target));
        }
        if index.named(&run.service, run.at).next().is_none() {
            found.push(format!("{}: no version sends it to {}", run.id, run.service));
        }
        let left = Duration::from_millis(PATIENCE_MS).saturating_sub(run.at - ask.sent);
        // A VM that stood still does not know how long a request has waited.
        let is_excused =
            index.is_held_up(run, ask.sent) || index.is_disturbed(ask.relay, ask.sent, run.at);
        if run.deadline > left + LATE && !is_excused {
            found.push(format!("{}: {} was told {:?}", run.id, run.target, run.deadline));
        }
    }
    found
}

/// One request reaches as many targets of a service as its route allows.
fn attempts(index: &Index<'_>) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for run in index.rows.runs.iter().filter(|run| !run.refused) {
        *counts.entry((&run.id, &run.service)).or_default() += 1;
    }
    let over = counts.into_iter().filter(|(_, count)| *count > ATTEMPTS);
    over.map(|((id, service), count)| format!("{id}: {count} attempts at {service}")).collect()
}

/// All relays together keep to the retry budget of each service.
fn budget(index: &Index<'_>) -> Vec<String> {
    let mut arrivals: BTreeMap<&str, Vec<(Instant, bool)>> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for run in &index.rows.runs {
        let is_extra = !seen.insert((&run.id, &run.service));
        arrivals.entry(&run.service).or_default().push((run.at, is_extra));
    }
    let mut found = Vec::new();
    for (service, arrivals) in arrivals {
        let worst = arrivals.iter().map(|(from, _)| {
            let window = arrivals.iter().filter(|(at, _)| at >= from && *at < *from + RETRY_WINDOW);
            let extra = window.clone().filter(|(_, is_extra)| *is_extra).count() as f64;
            extra - RETRY_RATIO * (window.count() as f64 - extra)
        });
        let worst = worst.fold(0.0, f64::max);
        if worst > RETRY_SLACK {
            found.push(format!("{service}: {worst:.0} extra attempts beyond the share"));
        }
    }
    found
}

/// A target that leaves gets nothing new after its time.
fn drains(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for drain in &index.rows.drains {
        let late = drain.acknowledged + DRAIN;
        if !index.is_calm(drain.acknowledged - STABLE, drain.acknowledged + DRAIN) {
            continue;
        }
        let runs = index.rows.runs.iter().filter(|run| {
            // What no caller here sent comes from a process of another run.
            let is_ours = index.asks.contains_key(run.id.as_str());
            let is_late = run.target == drain.target && run.at > late;
            is_late && is_ours && !index.is_held_up(run, late - DRAIN)
        });
        found.extend(runs.map(|run| format!("{}: reached {} that left", run.id, run.target)));
    }
    found
}

/// A version is in force in its time, and is never followed by an older one.
fn versions(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    let mut newest: BTreeMap<usize, Vec<(Instant, u64)>> = BTreeMap::new();
    for run in index.rows.runs.iter().filter(|run| !run.refused) {
        let Some(ask) = index.asks.get(run.id.as_str()) else { continue };
        let numbers: Vec<u64> = index.named(&run.service, run.at).map(|v| v.number).collect();
        let (Some(&least), Some(&most)) = (numbers.iter().min(), numbers.iter().max()) else {
            continue;
        };
        let due = index.rows.versions.iter().filter(|version| {
            version.acknowledged + APPLY <= ask.sent
                && index.is_calm(version.acknowledged - STABLE, run.at)
        });
        let due = due.map(|version| version.number).max().unwrap_or(0);
        let seen = newest.entry(ask.relay).or_default();
        let before = seen.iter().filter(|(at, _)| *at + ROLLBACK < ask.sent);
        let before = before.filter(|(at, _)| index.is_calm(*at - STABLE, run.at));
        let before = before.map(|(_, number)| *number).max().unwrap_or(0);
        if most < due.max(before) {
            let text = format!("{}: version {most} after {due} and {before}", run.id);
            found.push(text);
        }
        if seen.last().is_none_or(|(_, number)| *number < least) {
            seen.push((run.at, least));
        }
    }
    found
}

/// Every request ends in its time.
fn deadlines(index: &Index<'_>) -> Vec<String> {
    let late = index.rows.asks.iter().filter(|ask| {
        let route = if ask.kind == Kind::Operation { OPERATION } else { SEARCH };
        let limit = route.timeout + LATE;
        ask.ended - ask.sent > limit && !index.is_disturbed(ask.relay, ask.sent, ask.ended)
    });
    late.map(|ask| format!("{}: took {:?}", ask.id, ask.ended - ask.sent)).collect()
}

/// No connection ends without an answer, but at the end of its process; a VM
/// that leaves may do so only to a request that it has not passed on.
fn closings(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for ask in &index.rows.asks {
        let Outcome::Closed { detail } = &ask.outcome else { continue };
        let overlaps = |subject: Subject| {
            let mut spells = index.rows.spells.iter().filter(|spell| spell.subject == subject);
            spells.any(|spell| spell.from <= ask.ended && spell.to >= ask.sent)
        };
        let is_killed = overlaps(Subject::Relay(ask.relay));
        let is_crossing =
            overlaps(Subject::Leaving(ask.relay)) && index.runs(&ask.id).next().is_none();
        if !is_killed && !is_crossing {
            found.push(format!("{}: vm-{}: {detail}", ask.id, ask.relay));
        }
    }
    found
}

/// Nothing goes on for a caller that left.
fn withdrawals(index: &Index<'_>) -> Vec<String> {
    let left = index.rows.asks.iter().filter(|ask| matches!(ask.outcome, Outcome::Left));
    let late = left.flat_map(|ask| {
        let calm = !index.is_disturbed(ask.relay, ask.sent, ask.ended + LATE);
        let late = move |run: &&Run| run.at > ask.ended + LATE && !index.is_held_up(run, ask.sent);
        index.runs(&ask.id).filter(move |run| calm && late(run))
    });
    let late: Vec<String> = late.map(|run| run.id.clone()).collect();
    if late.len() > LEFT_OVER { vec![format!("callers had left: {late:?}")] } else { Vec::new() }
}

/// A request that crashed three targets is held back.
fn poison(index: &Index<'_>) -> Vec<String> {
    let mut crashes: Vec<Instant> = index.rows.crashes.values().copied().collect();
    crashes.sort_unstable();
    let Some(third) = crashes.get(2) else { return Vec::new() };
    let late = crashes.iter().filter(|at| **at > *third + STABLE).count();
    let text = || format!("the poison crashed {late} targets after it was known");
    if late > POISONED { vec![text()] } else { Vec::new() }
}

/// Requests are served again at the end, through every relay.
fn recovery(index: &Index<'_>) -> Vec<String> {
    let (span, share) = RECOVERED;
    let mut found = Vec::new();
    for relay in 0..RELAYS.len() {
        let asks = index.rows.asks.iter().filter(|ask| {
            let is_last = ask.sent >= index.end - span && !matches!(ask.outcome, Outcome::Left);
            ask.relay == relay && is_last
        });
        let total = asks.clone().count();
        let served = asks.filter(|ask| ask.is_served()).count();
        if total < 30 || (served as f64) < share * total as f64 {
            found.push(format!("vm-{relay}: {served} of {total} served at the end"));
        }
    }
    found
}
