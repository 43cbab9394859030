//! The checks of a soak, as systems that run over its rows. Each returns the violations
//! that it finds; the bounds are those that `docs/SOAK.md` states.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{
    caller::REQUEST_DEADLINE_MS,
    deployment::{
        APPLY_LIMIT, DRAIN_PERIOD, MIN_COVERAGE, OPERATION_ROUTE, RELAY_CORES, RETRY_RATIO,
        RETRY_SLACK, RETRY_WINDOW, SEARCH_ROUTE, TOP_K,
    },
    entries::ATTEMPTS,
    ledger::{Answer, Attempt, Kind, Outcome, Request, Rows, Subject, Version},
};

/// How late an answer may be, how far a stated deadline may exceed the remaining time, and
/// how long after a cancellation attempts may still arrive.
const LATENESS_LIMIT: Duration = Duration::from_millis(500);

/// How long nothing may have been disturbed before the bounds on changes apply.
const STABLE_PERIOD: Duration = Duration::from_secs(4);

/// How long after an attempt under one version a caller may still send requests that run
/// under an older one.
const VERSION_ORDER_DELAY: Duration = Duration::from_millis(250);

/// The period at the end of a soak, and the least share of its requests that must be
/// served.
const RECOVERY: (Duration, f64) = (Duration::from_secs(3), 0.95);

/// How many attempts of a soak may arrive later than [`LATENESS_LIMIT`] after a
/// cancellation.
const MAX_ATTEMPTS_AFTER_CANCEL: usize = 3;

/// How many more targets may crash later than [`STABLE_PERIOD`] after the third crash.
const MAX_CRASHES_AFTER_QUARANTINE: usize = 3;

/// The rows, with requests and attempts by the id of the request.
struct Index<'a> {
    rows: &'a Rows,
    end: Instant,
    requests: BTreeMap<&'a str, &'a Request>,
    attempts: BTreeMap<&'a str, Vec<&'a Attempt>>,
}

/// Runs all checks and returns the violations that were found by them and before them.
/// `end` is when the last request was sent.
pub fn violations(rows: &Rows, end: Instant) -> Vec<String> {
    let requests = rows.requests.iter().map(|request| (request.id.as_str(), request)).collect();
    let mut attempts: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in &rows.attempts {
        attempts.entry(&attempt.id).or_default().push(attempt);
    }
    let index = Index { rows, end, requests, attempts };
    let checks: [fn(&Index<'_>) -> Vec<String>; 13] = [
        answers,
        single_execution,
        refusals,
        forwarded_requests,
        attempt_limit,
        retry_budget,
        drains,
        versions,
        deadlines,
        closed_connections,
        cancellations,
        poison,
        recovery,
    ];
    let found = checks.iter().flat_map(|check| check(&index));
    rows.violations.iter().cloned().chain(found).collect()
}

impl<'a> Index<'a> {
    /// Returns the attempts of a request that its targets did not refuse.
    fn executions(&self, id: &str) -> impl Iterator<Item = &'a Attempt> + use<'a> {
        let attempts = self.attempts.get(id).cloned().unwrap_or_default();
        attempts.into_iter().filter(|attempt| !attempt.refused)
    }

    /// Returns the requests that were answered, with their answers.
    fn answered(&self) -> impl Iterator<Item = (&'a Request, &'a Answer)> {
        self.rows.requests.iter().filter_map(|request| match &request.outcome {
            Outcome::Answer(answer) => Some((request, answer)),
            Outcome::Closed { .. } | Outcome::Cancelled | Outcome::Malformed(_) => None,
        })
    }

    /// Returns whether nothing but links to targets was disturbed in a period.
    fn is_stable(&self, from: Instant, to: Instant) -> bool {
        let disturbances = self.rows.disturbances.iter();
        let mut disturbances = disturbances
            .filter(|disturbance| !matches!(disturbance.subject, Subject::TargetLink(_)));
        !disturbances.any(|disturbance| disturbance.from <= to && disturbance.to >= from)
    }

    /// Returns whether the process of a relay was disturbed in a period. The last relay
    /// hands its requests to the others, so that it is affected by their disturbances.
    fn is_disturbed(&self, relay: usize, from: Instant, to: Instant) -> bool {
        let affects = |subject: Subject| match subject {
            Subject::Relay(number) | Subject::Leaving(number) => {
                number == relay || relay + 1 == RELAY_CORES.len()
            }
            Subject::Store | Subject::TargetLink(_) => false,
        };
        let mut disturbances =
            self.rows.disturbances.iter().filter(|disturbance| affects(disturbance.subject));
        disturbances.any(|disturbance| disturbance.from <= to && disturbance.to >= from)
    }

    /// Returns whether the link to the target held back bytes between `from` and the
    /// arrival of an attempt. The attempt may have been sent in time even if it arrived
    /// late.
    fn is_held_back(&self, attempt: &Attempt, from: Instant) -> bool {
        let subject = Subject::TargetLink(attempt.endpoint);
        let mut disturbances =
            self.rows.disturbances.iter().filter(|disturbance| disturbance.subject == subject);
        disturbances.any(|disturbance| disturbance.from <= attempt.at && disturbance.to >= from)
    }

    /// Returns the versions written by a time that name a service for shards or for
    /// operations. Only under these can a request have been sent to it.
    fn versions_naming(&self, service: &str, by: Instant) -> impl Iterator<Item = &'a Version> {
        let versions = self.rows.versions.iter().filter(move |version| version.written <= by);
        let service = service.to_owned();
        versions
            .filter(move |v| v.desk == service || v.shards.iter().any(|shard| **shard == service))
    }
}

/// Returns whether a status promises that no target ran the request.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Every answer belongs to the caller's own request and consists of the parts whose
/// digests it names. A malformed answer counts unless the relay's process was disturbed.
fn answers(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for (request, answer) in index.answered() {
        let wrong = match (answer.status, request.kind) {
            (200, Kind::Operation) => is_wrong_operation_answer(index, request, answer),
            (200, Kind::Search | Kind::Poison) => is_wrong_search_answer(index, request, answer),
            (500, _) => {
                answer.digest.as_ref().is_some_and(|d| *d != format!("failed.{}", request.id))
            }
            (status, _) if promises_not_run(status) || status >= 500 => answer.digest.is_some(),
            (_, _) => true,
        };
        if wrong {
            found.push(format!(
                "{}: wrong answer: {} {:?}",
                request.id, answer.status, answer.digests
            ));
        }
    }
    for request in &index.rows.requests {
        let is_disturbed = index.is_disturbed(request.relay, request.sent, request.ended);
        if let Outcome::Malformed(detail) = &request.outcome
            && !is_disturbed
        {
            found.push(format!("{}: malformed answer: {detail}", request.id));
        }
    }
    found
}

/// Returns whether the answer to an operation differs from every reply of its targets.
fn is_wrong_operation_answer(index: &Index<'_>, request: &Request, answer: &Answer) -> bool {
    let Some(digest) = &answer.digest else { return true };
    !index
        .executions(&request.id)
        .any(|attempt| attempt.success == Some((digest.clone(), answer.body.clone())))
}

/// Returns whether the answer to a search is not the result of parts that belong to one
/// version and cover enough of its shards.
fn is_wrong_search_answer(index: &Index<'_>, request: &Request, answer: &Answer) -> bool {
    let parts: Vec<&Attempt> = index
        .executions(&request.id)
        .filter(|attempt| attempt.success.as_ref().is_some_and(|(d, _)| answer.digests.contains(d)))
        .collect();
    let services: BTreeSet<&str> = parts.iter().map(|attempt| attempt.service.as_str()).collect();
    let parts_match = parts.len() == answer.digests.len() && services.len() == parts.len();
    let shards = answer.digests.len() + answer.missing;
    let version_matches = index.rows.versions.iter().any(|version| {
        let services_match = services.iter().all(|service| version.shards.contains(service));
        services_match && version.shards.len() == shards && version.written <= request.ended
    });
    let share = parts.len() as f64 / shards.max(1) as f64;
    !(parts_match && version_matches && share >= MIN_COVERAGE && answer.body == top_records(&parts))
}

/// Returns the [`TOP_K`] greatest records of the parts.
fn top_records(parts: &[&Attempt]) -> Vec<u8> {
    let bodies = parts.iter().filter_map(|attempt| attempt.success.as_ref().map(|(_, body)| body));
    let mut records: Vec<&[u8]> = bodies.flat_map(|body| body.chunks_exact(16)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(TOP_K);
    records.concat()
}

/// An operation runs at most once.
fn single_execution(index: &Index<'_>) -> Vec<String> {
    let operations = index.rows.requests.iter().filter(|request| request.kind == Kind::Operation);
    operations
        .filter(|request| index.executions(&request.id).count() > 1)
        .map(|request| format!("{}: ran more than once", request.id))
        .collect()
}

/// No target ran an operation that was refused with the promise that it did not run.
fn refusals(index: &Index<'_>) -> Vec<String> {
    let refused = index.answered().filter(|(request, answer)| {
        request.kind == Kind::Operation && promises_not_run(answer.status)
    });
    refused
        .filter(|(request, _)| index.executions(&request.id).next().is_some())
        .map(|(request, answer)| {
            format!("{}: ran although it was answered {}", request.id, answer.status)
        })
        .collect()
}

/// Targets run exactly what callers sent, at a service that a version names, and get the
/// remaining time as the deadline.
fn forwarded_requests(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for attempt in index.rows.attempts.iter().filter(|attempt| !attempt.refused) {
        let Some(request) = index.requests.get(attempt.id.as_str()) else {
            found.push(format!(
                "{}: {} ran a request that no caller sent",
                attempt.id, attempt.target
            ));
            continue;
        };
        let path = match request.kind {
            Kind::Search => format!("/search/{}?page=2", request.id),
            Kind::Operation => format!("/desk/{}?step=1", request.id),
            Kind::Poison => "/search/poison".to_owned(),
        };
        if attempt.path != path || attempt.body != request.body {
            found.push(format!(
                "{}: {} ran another path or body than was sent",
                attempt.id, attempt.target
            ));
        }
        if index.versions_naming(&attempt.service, attempt.at).next().is_none() {
            found.push(format!("{}: no version names the service {}", attempt.id, attempt.service));
        }
        let remaining =
            Duration::from_millis(REQUEST_DEADLINE_MS).saturating_sub(attempt.at - request.sent);
        // A VM whose process was stopped does not know how long a request has waited.
        let is_excused = index.is_held_back(attempt, request.sent)
            || index.is_disturbed(request.relay, request.sent, attempt.at);
        if attempt.deadline > remaining + LATENESS_LIMIT && !is_excused {
            found.push(format!(
                "{}: {} got the deadline {:?}",
                attempt.id, attempt.target, attempt.deadline
            ));
        }
    }
    found
}

/// A request reaches at most as many targets of a service as its route allows.
fn attempt_limit(index: &Index<'_>) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for attempt in index.rows.attempts.iter().filter(|attempt| !attempt.refused) {
        *counts.entry((&attempt.id, &attempt.service)).or_default() += 1;
    }
    let excess = counts.into_iter().filter(|(_, count)| *count > ATTEMPTS);
    excess.map(|((id, service), count)| format!("{id}: {count} attempts at {service}")).collect()
}

/// All relays together stay within the retry budget of each service.
fn retry_budget(index: &Index<'_>) -> Vec<String> {
    let mut arrivals: BTreeMap<&str, Vec<(Instant, bool)>> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for attempt in &index.rows.attempts {
        let is_extra = !seen.insert((&attempt.id, &attempt.service));
        arrivals.entry(&attempt.service).or_default().push((attempt.at, is_extra));
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
            found
                .push(format!("{service}: {worst:.0} extra attempts beyond the ratio in a window"));
        }
    }
    found
}

/// A draining target gets no requests after [`DRAIN_PERIOD`].
fn drains(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for drain in &index.rows.drains {
        let late = drain.acknowledged + DRAIN_PERIOD;
        if !index.is_stable(drain.acknowledged - STABLE_PERIOD, drain.acknowledged + DRAIN_PERIOD) {
            continue;
        }
        let attempts = index.rows.attempts.iter().filter(|attempt| {
            // A request that no caller of this soak sent comes from a process of another one.
            let is_ours = index.requests.contains_key(attempt.id.as_str());
            let is_late = attempt.target == drain.target && attempt.at > late;
            is_late && is_ours && !index.is_held_back(attempt, late - DRAIN_PERIOD)
        });
        found.extend(attempts.map(|attempt| {
            format!("{}: reached {} after its draining", attempt.id, attempt.target)
        }));
    }
    found
}

/// A version is in force within [`APPLY_LIMIT`], and no relay returns to an older one.
fn versions(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    let mut seen_versions: BTreeMap<usize, Vec<(Instant, u64)>> = BTreeMap::new();
    for attempt in index.rows.attempts.iter().filter(|attempt| !attempt.refused) {
        let Some(request) = index.requests.get(attempt.id.as_str()) else { continue };
        let numbers: Vec<u64> =
            index.versions_naming(&attempt.service, attempt.at).map(|v| v.number).collect();
        let (Some(&oldest_version), Some(&newest_version)) =
            (numbers.iter().min(), numbers.iter().max())
        else {
            continue;
        };
        let due = index.rows.versions.iter().filter(|version| {
            version.acknowledged + APPLY_LIMIT <= request.sent
                && index.is_stable(version.acknowledged - STABLE_PERIOD, attempt.at)
        });
        let due = due.map(|version| version.number).max().unwrap_or(0);
        let seen = seen_versions.entry(request.relay).or_default();
        let before = seen.iter().filter(|(at, _)| *at + VERSION_ORDER_DELAY < request.sent);
        let before = before.filter(|(at, _)| index.is_stable(*at - STABLE_PERIOD, attempt.at));
        let before = before.map(|(_, number)| *number).max().unwrap_or(0);
        if newest_version < due.max(before) {
            let text = format!(
                "{}: ran under version {newest_version}, due {due}, seen before {before}",
                attempt.id
            );
            found.push(text);
        }
        if seen.last().is_none_or(|(_, number)| *number < oldest_version) {
            seen.push((attempt.at, oldest_version));
        }
    }
    found
}

/// Every request ends by its time limit, with [`LATENESS_LIMIT`] added.
fn deadlines(index: &Index<'_>) -> Vec<String> {
    let late = index.rows.requests.iter().filter(|request| {
        let route = if request.kind == Kind::Operation { OPERATION_ROUTE } else { SEARCH_ROUTE };
        let limit = route.timeout + LATENESS_LIMIT;
        request.ended - request.sent > limit
            && !index.is_disturbed(request.relay, request.sent, request.ended)
    });
    late.map(|request| format!("{}: took {:?}", request.id, request.ended - request.sent)).collect()
}

/// No connection ends without an answer unless its process was disturbed. A VM that shuts
/// down in an orderly way may close it only if no target ran the request.
fn closed_connections(index: &Index<'_>) -> Vec<String> {
    let mut found = Vec::new();
    for request in &index.rows.requests {
        let Outcome::Closed { detail } = &request.outcome else { continue };
        let overlaps = |subject: Subject| {
            let mut disturbances =
                index.rows.disturbances.iter().filter(|disturbance| disturbance.subject == subject);
            disturbances.any(|disturbance| {
                disturbance.from <= request.ended && disturbance.to >= request.sent
            })
        };
        let is_relay_disturbed = overlaps(Subject::Relay(request.relay));
        let is_unforwarded = overlaps(Subject::Leaving(request.relay))
            && index.executions(&request.id).next().is_none();
        if !is_relay_disturbed && !is_unforwarded {
            found.push(format!("{}: vm-{}: {detail}", request.id, request.relay));
        }
    }
    found
}

/// Attempts for a cancelled request stop.
fn cancellations(index: &Index<'_>) -> Vec<String> {
    let cancelled =
        index.rows.requests.iter().filter(|request| matches!(request.outcome, Outcome::Cancelled));
    let late = cancelled.flat_map(|request| {
        let is_undisturbed =
            !index.is_disturbed(request.relay, request.sent, request.ended + LATENESS_LIMIT);
        let late = move |attempt: &&Attempt| {
            attempt.at > request.ended + LATENESS_LIMIT
                && !index.is_held_back(attempt, request.sent)
        };
        index.executions(&request.id).filter(move |attempt| is_undisturbed && late(attempt))
    });
    let late: Vec<String> = late.map(|attempt| attempt.id.clone()).collect();
    if late.len() > MAX_ATTEMPTS_AFTER_CANCEL {
        vec![format!("attempts ran after the caller cancelled: {late:?}")]
    } else {
        Vec::new()
    }
}

/// A request that crashed three targets is quarantined.
fn poison(index: &Index<'_>) -> Vec<String> {
    let mut crashes: Vec<Instant> = index.rows.crashes.values().copied().collect();
    crashes.sort_unstable();
    let Some(third) = crashes.get(2) else { return Vec::new() };
    let late = crashes.iter().filter(|at| **at > *third + STABLE_PERIOD).count();
    let text = || format!("{late} targets crashed long after the third one");
    if late > MAX_CRASHES_AFTER_QUARANTINE { vec![text()] } else { Vec::new() }
}

/// Requests are served again at the end of the soak, through every relay.
fn recovery(index: &Index<'_>) -> Vec<String> {
    let (span, share) = RECOVERY;
    let mut found = Vec::new();
    for relay in 0..RELAY_CORES.len() {
        let requests = index.rows.requests.iter().filter(|request| {
            let is_last =
                request.sent >= index.end - span && !matches!(request.outcome, Outcome::Cancelled);
            request.relay == relay && is_last
        });
        let total = requests.clone().count();
        let served = requests.filter(|request| request.is_served()).count();
        if total < 30 || (served as f64) < share * total as f64 {
            found.push(format!("vm-{relay}: {served} of {total} served at the end"));
        }
    }
    found
}
