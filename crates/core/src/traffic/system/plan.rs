//! Plans the legs of queries: pins a version and shares the key space out.

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

/// How often the legs of one search are planned, so that targets which disagree
/// about what they hold cannot keep it busy until its deadline.
const MAX_PLANS: u32 = 8;

/// The part of a query's time that its legs may be expected to wait for slots.
/// The rest is for running and for waits that grow on the way; it also bounds
/// what is left over when a burst ends.
const WAIT_PART: u32 = 2;

/// The longest wait for slots that a search starts with, however long its
/// deadline. At 60 % load a queue drains in 2.5 times its wait, so that latency
/// is back 2 seconds after a burst.
const MAX_WAIT: Duration = Duration::from_millis(750);

/// Plans the queries that need legs.
pub fn run(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    for name in std::mem::take(&mut tables.to_choose) {
        if let Some(index) = tables.indexes.get_mut(&name) {
            index.choose();
        }
    }
    for id in std::mem::take(&mut tables.to_plan) {
        let Some(query) = tables.queries.get(&id) else { continue };
        match &query.task {
            Task::Search(search) if search.version.is_none() => begin(tables, cx, id, out),
            Task::Search(_) => replan(tables, cx, id, out),
            Task::Operation(_) => send_operation(tables, cx, id, out),
        }
    }
}

/// Pins a version and sends the first legs, or refuses before anything is sent.
fn begin(tables: &mut Tables, cx: &mut Context, id: id::Query, out: &mut Outbox) {
    match first_plan(tables, cx, id) {
        Ok((version, parts)) => {
            let is_cautious = parts.len() > 1 && is_cautious(tables, id, version);
            let fingerprint = tables.queries.get(&id).map(|query| query.fingerprint);
            let Some(fingerprint) = fingerprint else { return };
            let Some(search) = search_mut(tables, id) else { return };
            search.version = Some(version);
            search.trial = is_cautious.then_some(0);
            let parts = if is_cautious { canary(fingerprint, 0, parts) } else { parts };
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

/// Whether a search has to be tried at one shard before it goes to all.
fn is_cautious(tables: &Tables, id: id::Query, version: Version) -> bool {
    tables.queries.get(&id).is_some_and(|query| {
        query.terms.canary && !tables.proven.contains(query.fingerprint, version)
    })
}

/// Picks the one part at which a search is tried: the same for equal searches
/// through any VM, so that their losses meet at one home. A trial that failed is
/// followed by one at the next part.
fn canary(fingerprint: Fingerprint, plans: u32, mut parts: Vec<Part>) -> Vec<Part> {
    let number = fingerprint.0.wrapping_add(u64::from(plans)) % parts.len().max(1) as u64;
    vec![parts.swap_remove(usize::try_from(number).unwrap_or(0))]
}

/// The parts of shards that lost no target to the search, so that a second lost
/// target leaves every shard a replica; all parts where no other is left.
fn spare(search: &Search, parts: Vec<Part>) -> Vec<Part> {
    let has_lost = |part: &Part| search.crashed.values().any(|shard| *shard == part.shard);
    if parts.iter().all(has_lost) {
        return parts;
    }
    parts.into_iter().filter(|part| !has_lost(part)).collect()
}

/// The parts of the best plan that can be answered in time.
fn first_plan(tables: &Tables, cx: &Context, id: id::Query) -> Result<(Version, Vec<Part>), Fault> {
    let unavailable = |detail: String| Fault::not_run(Kind::Unavailable, detail);
    let Some(query) = tables.queries.get(&id) else {
        return Err(unavailable("the request is no longer open".to_owned()));
    };
    let index_name = &query.terms.index;
    let index = tables.indexes.get(index_name);
    let Some((index, best)) = index.and_then(|index| Some((index, index.best.clone()?))) else {
        return Err(unavailable(format!("no target of index {index_name} is known")));
    };
    let longest = (query.deadline.remaining(cx.now) / WAIT_PART).min(MAX_WAIT);
    let is_in_time = |part: &&Part| {
        let holding = index.shards.get(&part.shard);
        holding.is_none_or(|holding| holding.wait(&query.profile, cx.now) <= longest)
    };
    let parts: Vec<Part> = best.parts.iter().filter(is_in_time).cloned().collect();
    let is_cut = parts.len() < best.parts.len();
    let covered = covered(&best, &parts);
    if covered.parts_per_million(Range::ALL) < query.terms.coverage {
        let kind = if is_cut { Kind::Overloaded } else { Kind::CoverageTooLow };
        let detail = format!(
            "{} of a million parts of index {index_name} can be read in time, {} are asked for",
            covered.parts_per_million(Range::ALL),
            query.terms.coverage
        );
        return Err(Fault::not_run(kind, detail));
    }
    Ok((best.version, parts))
}

fn covered(best: &Arc<Plan>, parts: &[Part]) -> Set {
    if parts.len() == best.parts.len() {
        return best.covered.clone();
    }
    let mut covered = Set::new();
    for part in parts {
        covered.insert(part.range);
    }
    covered
}

/// Plans the keys again that no target holds where they were asked for.
fn replan(tables: &mut Tables, cx: &mut Context, id: id::Query, out: &mut Outbox) {
    let Some(query) = tables.queries.get(&id) else { return };
    let Task::Search(search) = &query.task else { return };
    let Some(version) = search.version else { return };
    let Some(index) = tables.indexes.get(&query.terms.index) else { return };
    if search.plans >= MAX_PLANS {
        answer_if_idle(tables, id);
        return;
    }
    let mut wanted = search.covered.missing(Range::ALL);
    for leg in query.legs.iter().filter_map(|leg| tables.legs.get(leg)) {
        wanted.remove(leg.range);
    }
    let plan = index.plan(version, &wanted);
    let is_newer = index
        .best
        .as_ref()
        .filter(|best| best.version != version && best.covered.size() > reach(&wanted, &plan));
    if let Some(best) = is_newer.cloned() {
        restart(tables, cx, id, &best, out);
    } else if plan.parts.is_empty() {
        answer_if_idle(tables, id);
    } else {
        let is_trial = search.trial.is_some();
        let fingerprint = query.fingerprint;
        let plans = search.plans;
        let parts = if is_trial {
            canary(fingerprint, plans, spare(search, plan.parts))
        } else {
            plan.parts
        };
        send(tables, cx, id, version, parts, out);
    }
}

/// The number of keys that a search can still cover at its version, when of the
/// `wanted` keys only those of `plan` can be read.
fn reach(wanted: &Set, plan: &Plan) -> u128 {
    Range::ALL.size() - (wanted.size() - plan.covered.size())
}

/// Starts a search over on another version: nothing that was read at the first
/// one is kept.
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
    search.lost = Set::new();
    out.count(Count::Restarts);
    let fields = vec![("version", best.version.0.to_string())];
    out.lines.push(Line::for_query(id, Event::Restarted, fields));
    send(tables, cx, id, best.version, best.parts.clone(), out);
}

/// Sends the legs of a search for `parts` at `version`.
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
        search.lost.remove(part.range);
    }
    let text = search.text.clone();
    for part in parts {
        let work = Work::Search { version, range: part.range, text: text.clone() };
        let ask = Ask { shard: part.shard, range: part.range, version: Some(version), work };
        send_leg(tables, cx, id, ask, out);
    }
}

/// What one leg asks for.
struct Ask {
    shard: Name,
    range: Range,
    version: Option<Version>,
    work: Work,
}

fn send_leg(tables: &mut Tables, cx: &mut Context, id: id::Query, ask: Ask, out: &mut Outbox) {
    let Some(query) = tables.queries.get(&id) else { return };
    let index = query.terms.index.clone();
    let lanes = leg::lanes(tables, cx, &index, &ask.shard);
    let message = message::Leg {
        leg: cx.ids.leg(),
        query: id,
        index,
        shard: ask.shard.clone(),
        profile: query.profile.clone(),
        work: ask.work,
        fingerprint: query.fingerprint,
        remaining: query.deadline.remaining(cx.now),
        trial: matches!(&query.task, Task::Search(search) if search.trial.is_some()),
    };
    let row = Leg {
        query: id,
        shard: ask.shard,
        range: ask.range,
        version: ask.version,
        lanes,
        tries: 0,
        message,
    };
    leg::send(tables, cx, row, out);
}

/// Sends an operation whose claim was granted to the shard of its subject.
fn send_operation(tables: &mut Tables, cx: &mut Context, id: id::Query, out: &mut Outbox) {
    let Some(query) = tables.queries.get_mut(&id) else { return };
    let index = &query.terms.index;
    let Task::Operation(operation) = &mut query.task else { return };
    if operation.stage != Stage::Granted {
        return;
    }
    let subject = operation.subject;
    let shard = tables.indexes.get(index).and_then(|index| index.shard_of(subject)).cloned();
    let range = Range::try_from((subject, subject)).ok();
    let (Some(shard), Some(range)) = (shard, range) else {
        let detail = format!("no target of index {index} that holds key {subject} is known");
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
    send_leg(tables, cx, id, Ask { shard, range, version: None, work }, out);
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
