//! Plans the legs of queries: pins a snapshot version and divides the key space
//! among the shards.

use std::{sync::Arc, time::Duration};

use crate::{
    count::Count,
    digest::Fingerprint,
    fault::{Fault, Kind},
    id,
    key::{Range, Set},
    log::{Event, Line},
    message,
    name::Name,
    target::{Version, Work},
    traffic::{
        Context, Outbox, Tables,
        system::leg,
        table::{
            Leg,
            index::{Part, Plan},
            query::{Search, Stage, Task},
        },
    },
};

/// How often the legs of one search may be planned. Without a limit, targets
/// that disagree about what they hold could keep it busy until its deadline.
const MAX_PLANS: u32 = 8;

/// The divisor that gives the part of a query's remaining time for which its
/// legs may be expected to wait for slots. The rest is for running and for
/// waits that grow in the meantime. The limit also bounds the backlog at the
/// end of a burst.
const WAIT_DIVISOR: u32 = 2;

/// The longest expected wait for slots with which a search is started, however
/// long its deadline is. At 60 % load a queue drains in 2.5 times its wait, so
/// latency is back to normal 2 seconds after a burst.
const MAX_WAIT: Duration = Duration::from_millis(750);

/// Chooses the plans of indexes that have changed, then plans the queries that
/// need legs.
pub fn run(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    for name in std::mem::take(&mut tables.to_choose) {
        if let Some(index) = tables.indexes.get_mut(&name) {
            index.choose_plan();
        }
    }
    for id in std::mem::take(&mut tables.to_plan) {
        let Some(query) = tables.queries.get(&id) else { continue };
        match &query.task {
            Task::Search(search) if search.version.is_none() => start_search(tables, cx, id, out),
            Task::Search(_) => replan(tables, cx, id, out),
            Task::Operation(_) => send_operation(tables, cx, id, out),
        }
    }
}

/// Pins a version and sends the first legs, or refuses the search before
/// anything is sent.
fn start_search(tables: &mut Tables, cx: &mut Context, id: id::Query, out: &mut Outbox) {
    match first_plan(tables, cx, id) {
        Ok((version, parts)) => {
            let is_trial = parts.len() > 1 && needs_trial(tables, id, version);
            let fingerprint = tables.queries.get(&id).map(|query| query.fingerprint);
            let Some(fingerprint) = fingerprint else { return };
            let Some(search) = search_mut(tables, id) else { return };
            search.version = Some(version);
            search.trial = is_trial.then_some(0);
            let parts = if is_trial { trial_part(fingerprint, 0, parts) } else { parts };
            send(tables, cx, id, version, parts, out);
        }
        Err(fault) => {
            if let Some(search) = search_mut(tables, id) {
                search.fault = Some(fault);
            }
            tables.to_answer.insert(id);
        }
    }
}

/// Whether a search has to be tried at one shard before it goes to all. A
/// search that was answered at this version recently needs no trial.
fn needs_trial(tables: &Tables, id: id::Query, version: Version) -> bool {
    tables.queries.get(&id).is_some_and(|query| {
        query.pinned_profile.canary && !tables.answered.contains(query.fingerprint, version)
    })
}

/// Picks the one part at which a search is tried. Equal searches get the same
/// part at every VM, so that one home sees all targets that are lost with them.
/// A trial that failed is followed by one at the next part.
fn trial_part(fingerprint: Fingerprint, plans: u32, mut parts: Vec<Part>) -> Vec<Part> {
    let number = fingerprint.0.wrapping_add(u64::from(plans)) % parts.len().max(1) as u64;
    vec![parts.swap_remove(usize::try_from(number).unwrap_or(0))]
}

/// The parts whose shards lost no target to the search, so that a second loss
/// leaves every shard a replica. If there are none, all parts.
fn parts_without_loss(search: &Search, parts: Vec<Part>) -> Vec<Part> {
    let has_lost = |part: &Part| search.crashed.values().any(|shard| *shard == part.shard);
    if parts.iter().all(has_lost) {
        return parts;
    }
    parts.into_iter().filter(|part| !has_lost(part)).collect()
}

/// The version of the best plan, with those of its parts that can be answered
/// in time. It is an error if they do not cover what the profile requires.
fn first_plan(tables: &Tables, cx: &Context, id: id::Query) -> Result<(Version, Vec<Part>), Fault> {
    let unavailable = |detail: String| Fault::not_run(Kind::Unavailable, detail);
    let Some(query) = tables.queries.get(&id) else {
        return Err(unavailable("the request is no longer open".to_owned()));
    };
    let index_name = &query.pinned_profile.index;
    let index = tables.indexes.get(index_name);
    let Some((index, best)) = index.and_then(|index| Some((index, index.best.clone()?))) else {
        return Err(unavailable(format!("no target of index {index_name} is known")));
    };
    let longest = (query.deadline.remaining(cx.now) / WAIT_DIVISOR).min(MAX_WAIT);
    let is_in_time = |part: &&Part| {
        let holding = index.shards.get(&part.shard);
        holding.is_none_or(|holding| holding.wait(&query.profile, cx.now) <= longest)
    };
    let parts: Vec<Part> = best.parts.iter().filter(is_in_time).cloned().collect();
    let is_cut = parts.len() < best.parts.len();
    let covered = covered_keys(&best, &parts);
    if covered.parts_per_million(Range::ALL) < query.pinned_profile.coverage {
        let kind = if is_cut { Kind::Overloaded } else { Kind::CoverageTooLow };
        let detail = format!(
            "{} ppm of index {index_name} can be read in time, the profile requires {} ppm",
            covered.parts_per_million(Range::ALL),
            query.pinned_profile.coverage
        );
        return Err(Fault::not_run(kind, detail));
    }
    Ok((best.version, parts))
}

fn covered_keys(best: &Arc<Plan>, parts: &[Part]) -> Set {
    if parts.len() == best.parts.len() {
        return best.covered.clone();
    }
    let mut covered = Set::new();
    for part in parts {
        covered.insert(part.range);
    }
    covered
}

/// Plans the keys that were not read yet and have no leg in flight. The search
/// is restarted if another version now covers more than its own still can.
fn replan(tables: &mut Tables, cx: &mut Context, id: id::Query, out: &mut Outbox) {
    let Some(query) = tables.queries.get(&id) else { return };
    let Task::Search(search) = &query.task else { return };
    let Some(version) = search.version else { return };
    let Some(index) = tables.indexes.get(&query.pinned_profile.index) else { return };
    if search.plans >= MAX_PLANS {
        answer_if_idle(tables, id);
        return;
    }
    let mut wanted = search.covered.missing(Range::ALL);
    for leg in query.legs.iter().filter_map(|leg| tables.legs.get(leg)) {
        wanted.remove(leg.range);
    }
    let plan = index.plan(version, &wanted);
    let is_newer = index.best.as_ref().filter(|best| {
        best.version != version && best.covered.size() > reachable_keys(&wanted, &plan)
    });
    if let Some(best) = is_newer.cloned() {
        restart(tables, cx, id, &best, out);
    } else if plan.parts.is_empty() {
        answer_if_idle(tables, id);
    } else {
        let is_trial = search.trial.is_some();
        let fingerprint = query.fingerprint;
        let plans = search.plans;
        let parts = if is_trial {
            trial_part(fingerprint, plans, parts_without_loss(search, plan.parts))
        } else {
            plan.parts
        };
        send(tables, cx, id, version, parts, out);
    }
}

/// The number of keys that a search can cover at its version if only those of
/// the `wanted` keys that are in `plan` can still be read.
fn reachable_keys(wanted: &Set, plan: &Plan) -> u128 {
    Range::ALL.size() - (wanted.size() - plan.covered.size())
}

/// Restarts a search at another version. Nothing that was read at the first one
/// is kept, so that all rows come from one version.
fn restart(
    tables: &mut Tables,
    cx: &mut Context,
    id: id::Query,
    best: &Arc<Plan>,
    out: &mut Outbox,
) {
    let Some(query) = tables.queries.get(&id) else { return };
    for leg in query.legs.clone() {
        leg::withdraw(tables, cx, leg, out);
    }
    let Some(search) = search_mut(tables, id) else { return };
    search.version = Some(best.version);
    search.covered = Set::new();
    search.rows.clear();
    search.failed_keys = Set::new();
    out.count(Count::Restarts);
    let fields = vec![("version", best.version.0.to_string())];
    out.lines.push(Line::for_query(id, Event::Restarted, fields));
    send(tables, cx, id, best.version, best.parts.clone(), out);
}

/// Sends one leg of a search for each of `parts`, to be read at `version`.
fn send(
    tables: &mut Tables,
    cx: &mut Context,
    id: id::Query,
    version: Version,
    parts: Vec<Part>,
    out: &mut Outbox,
) {
    let Some(search) = search_mut(tables, id) else { return };
    search.plans += 1;
    for part in &parts {
        search.failed_keys.remove(part.range);
    }
    let text = search.text.clone();
    for part in parts {
        let work = Work::Search { version, range: part.range, text: text.clone() };
        let request =
            LegRequest { shard: part.shard, range: part.range, version: Some(version), work };
        send_leg(tables, cx, id, request, out);
    }
}

/// The content of one leg.
struct LegRequest {
    shard: Name,
    range: Range,
    version: Option<Version>,
    work: Work,
}

fn send_leg(
    tables: &mut Tables,
    cx: &mut Context,
    id: id::Query,
    request: LegRequest,
    out: &mut Outbox,
) {
    let Some(query) = tables.queries.get(&id) else { return };
    let index = query.pinned_profile.index.clone();
    let lanes = leg::lanes(tables, cx, &index, &request.shard);
    let message = message::Leg {
        leg: cx.ids.leg(),
        query: id,
        index,
        shard: request.shard.clone(),
        profile: query.profile.clone(),
        work: request.work,
        fingerprint: query.fingerprint,
        remaining: query.deadline.remaining(cx.now),
        trial: matches!(&query.task, Task::Search(search) if search.trial.is_some()),
    };
    let row = Leg {
        query: id,
        shard: request.shard,
        range: request.range,
        version: request.version,
        lanes,
        lane_index: 0,
        message,
    };
    leg::send(tables, cx, row, out);
}

/// Sends an operation whose claim was granted to the shard that holds its
/// subject.
fn send_operation(tables: &mut Tables, cx: &mut Context, id: id::Query, out: &mut Outbox) {
    let Some(query) = tables.queries.get_mut(&id) else { return };
    let index = &query.pinned_profile.index;
    let Task::Operation(operation) = &mut query.task else { return };
    if operation.stage != Stage::Granted {
        return;
    }
    let subject = operation.subject;
    let shard = tables.indexes.get(index).and_then(|index| index.shard_of(subject)).cloned();
    let range = Range::try_from((subject, subject)).ok();
    let (Some(shard), Some(range)) = (shard, range) else {
        let detail = format!("no known target of index {index} holds key {subject}");
        operation.stage = Stage::Settled(Err(Fault::not_run(Kind::Unavailable, detail)));
        let request = operation.claim(query.fingerprint);
        let outcome = crate::claim::Outcome::NotRun;
        out.reports.push(crate::notice::Report::Outcome { request, outcome });
        tables.to_answer.insert(id);
        return;
    };
    operation.stage = Stage::Sent;
    let work = Work::Operate {
        subject,
        operation: operation.operation.clone(),
        detail: operation.detail.clone(),
        token: operation.token,
    };
    send_leg(tables, cx, id, LegRequest { shard, range, version: None, work }, out);
}

fn search_mut(tables: &mut Tables, id: id::Query) -> Option<&mut Search> {
    match &mut tables.queries.get_mut(&id)?.task {
        Task::Search(search) => Some(search),
        Task::Operation(_) => None,
    }
}

fn answer_if_idle(tables: &mut Tables, id: id::Query) {
    if tables.queries.get(&id).is_some_and(|query| query.legs.is_empty()) {
        tables.to_answer.insert(id);
    }
}
