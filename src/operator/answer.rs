//! Encodes answers of the control thread as responses.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use laburnum_core::{
    control::{
        Answer, listing,
        request::{Audit, Difference, InForce, Source, Status, Token},
    },
    fault::{Fault, Kind},
    name::Name,
    profile::{Document, Profile, Revision},
    view::State,
};
use poem::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde::Serialize;
use serde_json::{Value, json};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::front::{body, problem::Refusal};

/// The path at which the outcome of an unsettled publication is requested
/// again.
pub const SETTLE_PATH: &str = "/v1/publications/settle";

/// Makes the response for an answer of the control thread; `answer` is none
/// when the thread has ended.
pub fn respond(answer: Option<Answer>) -> Result<Response, Refusal> {
    match answer.ok_or_else(thread_ended)? {
        Answer::Accepted { revision, changes } => outcome("accepted", revision, Some(changes)),
        Answer::Planned { revision, changes } => outcome("planned", revision, Some(changes)),
        Answer::NotPublished { current } => outcome("not_published", current, None),
        Answer::Conflict { winner, who, changes } => Err(conflict(winner, &who, &changes)),
        Answer::Unsettled { token } => Err(unsettled(&token)),
        Answer::Document { document, confirmed } => profiles_in_force(&document, confirmed),
        Answer::Changes { revision, changes } => ok(&Changes { revision, changes }),
        Answer::History(audits) => {
            ok(&History { records: audits.into_iter().map(Record::from).collect() })
        }
        Answer::Status(status) => ok(&RevisionStatus::from(status)),
        Answer::Vms(rows) => ok(&Vms { vms: rows.into_iter().map(Vm::from).collect() }),
        Answer::Targets(rows) => {
            ok(&Targets { targets: rows.into_iter().map(Target::from).collect() })
        }
        Answer::Failed(fault) => Err(fault.into()),
    }
}

fn ok<T: Serialize>(document: &T) -> Result<Response, Refusal> {
    body::json(StatusCode::OK, document)
}

/// Makes a response whose entity tag is the revision, for a later `If-Match`.
fn with_etag<T: Serialize>(revision: Revision, document: &T) -> Result<Response, Refusal> {
    let mut response = ok(document)?;
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", revision.0)) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    Ok(response)
}

fn thread_ended() -> Refusal {
    Fault::unknown(Kind::Internal, "the VM stopped before it answered the request").into()
}

fn conflict(winner: Revision, who: &str, changes: &[Difference]) -> Refusal {
    let detail = format!("revision {} is in force, published by {who}", winner.0);
    Refusal::from(Fault::not_run(Kind::RevisionConflict, detail))
        .with_member("winner", json!(winner))
        .with_member("who", json!(who))
        .with_member("changes", json!(changes))
}

fn unsettled(token: &Token) -> Refusal {
    let detail = format!("ask again by POST {SETTLE_PATH} with the token of this document");
    Refusal::from(Fault::unknown(Kind::RevisionUnsettled, detail))
        .with_member("token", json!(token))
        .with_member("settle", Value::from(SETTLE_PATH))
}

/// The outcome of a publication, of a dry run or of settling one.
#[derive(Debug, Serialize)]
struct Outcome {
    outcome: &'static str,
    revision: Revision,
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<Vec<Difference>>,
}

fn outcome(
    outcome: &'static str,
    revision: Revision,
    changes: Option<Vec<Difference>>,
) -> Result<Response, Refusal> {
    ok(&Outcome { outcome, revision, changes })
}

/// The profiles in force, and whether their revision is confirmed.
#[derive(Debug, Serialize)]
struct ProfilesInForce<'a> {
    revision: Revision,
    confirmed: bool,
    profiles: &'a BTreeMap<Name, Profile>,
}

fn profiles_in_force(document: &Document, confirmed: bool) -> Result<Response, Refusal> {
    let Document { revision, profiles } = document;
    with_etag(*revision, &ProfilesInForce { revision: *revision, confirmed, profiles })
}

#[derive(Debug, Serialize)]
struct Changes {
    revision: Revision,
    changes: Vec<Difference>,
}

#[derive(Debug, Serialize)]
struct History {
    records: Vec<Record>,
}

#[derive(Debug, Serialize)]
struct Record {
    revision: Revision,
    who: String,
    at_ms: u64,
    note: String,
    changes: Option<Vec<Difference>>,
}

impl From<Audit> for Record {
    fn from(audit: Audit) -> Record {
        let Audit { revision, who, at, note, changes } = audit;
        Record { revision, who, at_ms: at.0, note, changes }
    }
}

/// How many VMs have a revision in force, and the status of each VM.
#[derive(Debug, Serialize)]
struct RevisionStatus {
    revision: Revision,
    in_force: usize,
    vms: Vec<VmStatus>,
}

impl From<Status> for RevisionStatus {
    fn from(status: Status) -> RevisionStatus {
        let vms = status.vms.into_iter().map(VmStatus::from).collect();
        RevisionStatus { revision: status.revision, in_force: status.in_force, vms }
    }
}

/// The last report from one VM.
#[serde_as]
#[derive(Debug, Serialize)]
struct VmStatus {
    vm: Name,
    revision: Option<Revision>,
    #[serde(rename = "heard_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    heard: Option<Duration>,
    #[serde(rename = "confirmed_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    confirmed: Option<Duration>,
    silent: bool,
}

impl From<InForce> for VmStatus {
    fn from(row: InForce) -> VmStatus {
        let InForce { vm, revision, heard, confirmed, silent } = row;
        VmStatus { vm, revision, heard, confirmed, silent }
    }
}

#[derive(Debug, Serialize)]
struct Vms {
    vms: Vec<Vm>,
}

#[serde_as]
#[derive(Debug, Serialize)]
struct Vm {
    name: Name,
    domain: Name,
    incarnation: String,
    state: State,
    gone: bool,
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    since: Duration,
    source: String,
    control: SocketAddr,
    traffic: Vec<SocketAddr>,
}

impl From<listing::Vm> for Vm {
    fn from(row: listing::Vm) -> Vm {
        Vm {
            name: row.vm.name,
            domain: row.vm.domain,
            incarnation: format!("{:016x}", row.vm.incarnation),
            state: row.vm.state,
            gone: row.gone,
            since: row.since,
            source: source(&row.source),
            control: row.vm.control,
            traffic: row.vm.traffic,
        }
    }
}

#[derive(Debug, Serialize)]
struct Targets {
    targets: Vec<Target>,
}

#[serde_as]
#[derive(Debug, Serialize)]
struct Target {
    name: Name,
    index: Name,
    shard: Name,
    domain: Name,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    state: State,
    #[serde(rename = "since_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    since: Duration,
    source: String,
}

impl From<listing::Target> for Target {
    fn from(row: listing::Target) -> Target {
        let target = row.target;
        Target {
            name: target.name,
            index: target.index,
            shard: target.shard,
            domain: target.domain,
            address: target.address,
            slots: target.slots,
            connections: target.connections,
            state: target.state,
            since: row.since,
            source: source(&row.source),
        }
    }
}

/// Formats where a row comes from: `list`, `own`, or `peer` with the name of
/// the VM.
fn source(source: &Source) -> String {
    match source {
        Source::List => "list".to_owned(),
        Source::Own => "own".to_owned(),
        Source::Peer(vm) => format!("peer {vm}"),
    }
}
