//! `query`: a caller on the command line.

use std::{fmt::Write, net::SocketAddr, time::Duration};

use argh::FromArgs;
use error_stack::{Report, ResultExt};
use laburnum_core::name::Name;
use reqwest::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{
    exit::Exit,
    failure::{Cause, Failure, Outcome},
    output, value,
};

/// The time within which a connection to the VM must open.
const CONNECT_LIMIT: Duration = Duration::from_secs(3);

/// The time that is added to the longest deadline before an answer is given up.
const GRACE: Duration = Duration::from_secs(5);

/// Send one search, or one operation, to a VM and print the answer.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "query",
    example = "Search:\n  {command_name} --entry 127.0.0.1:8080 --profile renewal \"146 MHz\"",
    example = "Run an operation once:\n  {command_name} --entry 127.0.0.1:8080 --profile clearance --operation clearance --subject 7 \"mast 12\"",
    note = "An operation without --key is given a new key, which is printed, so that the\nsame operation can be sent again without running twice."
)]
pub struct Query {
    /// where a VM listens for callers
    #[argh(option)]
    pub entry: SocketAddr,
    /// the profile under which it runs
    #[argh(option, from_str_fn(value::name))]
    pub profile: Name,
    /// the time in milliseconds within which an answer is of use
    #[argh(option)]
    pub deadline: Option<u64>,
    /// run this operation (clearance, assignment, reservation) in place of a search
    #[argh(option, from_str_fn(value::name))]
    pub operation: Option<Name>,
    /// the key of the record that the operation is about
    #[argh(option)]
    pub subject: Option<u64>,
    /// the idempotency key of the operation, a UUIDv7
    #[argh(option)]
    pub key: Option<Uuid>,
    /// print the answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// the text to search for, or the detail of the operation
    #[argh(positional)]
    pub text: String,
}

/// What is sent, checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(untagged)]
enum Request<'a> {
    Search {
        profile: &'a Name,
        text: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        deadline_ms: Option<u64>,
    },
    Operation {
        profile: &'a Name,
        operation: &'a Name,
        subject: u64,
        detail: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        deadline_ms: Option<u64>,
        #[serde(skip)]
        key: Uuid,
    },
}

impl<'a> TryFrom<&'a Query> for Request<'a> {
    type Error = Report<Failure>;

    fn try_from(query: &'a Query) -> Result<Request<'a>, Report<Failure>> {
        let usage = |detail: &str, hint: &str| Err(Failure::report(Exit::Usage, detail, hint));
        let (profile, deadline_ms) = (&query.profile, query.deadline);
        match (&query.operation, query.subject) {
            (Some(operation), Some(subject)) => Ok(Request::Operation {
                profile,
                operation,
                subject,
                detail: &query.text,
                deadline_ms,
                key: query.key.unwrap_or_else(Uuid::now_v7),
            }),
            (Some(_), None) => usage("--operation needs --subject", "say which record it is about"),
            (None, Some(_)) => usage("--subject needs --operation", "say which operation it is"),
            (None, None) if query.key.is_some() => {
                usage("--key needs --operation", "a search needs no key")
            }
            (None, None) => Ok(Request::Search { profile, text: &query.text, deadline_ms }),
        }
    }
}

/// An answer of a VM.
#[derive(Deserialize)]
struct Answer {
    snapshot: Option<u64>,
    coverage: Option<Coverage>,
    revision: u64,
    #[serde(default)]
    rows: Vec<Row>,
    result: Option<String>,
}

#[derive(Deserialize)]
struct Coverage {
    parts_per_million: u32,
    #[serde(default)]
    missing: Vec<(String, String)>,
}

#[derive(Deserialize)]
struct Row {
    key: String,
    body: String,
}

/// A refusal of a VM.
#[derive(Deserialize)]
struct Problem {
    kind: String,
    detail: String,
    ran: String,
    retry: Option<Retry>,
}

#[derive(Deserialize)]
struct Retry {
    allowed: bool,
    after_ms: Option<u64>,
}

/// Runs the command.
pub fn run(command: &Query) -> Outcome {
    let request = Request::try_from(command)?;
    if let (Request::Operation { key, .. }, None) = (&request, command.key) {
        eprintln!("idempotency key: {key}");
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Failure::report(Exit::Failed, format!("no runtime: {e}"), ""))?;
    runtime.block_on(async {
        let response = send(command.entry, &request).await?;
        let status = response.status();
        let body = response.bytes().await.map_err(|e| lost(command.entry, &e))?;
        conclude(status, &body, command.json)
    })
}

async fn send(entry: SocketAddr, request: &Request<'_>) -> Result<Response, Report<Failure>> {
    let client = reqwest::Client::builder()
        .connect_timeout(CONNECT_LIMIT)
        .timeout(laburnum_core::profile::MAX_DEADLINE + GRACE)
        .no_proxy()
        .build()
        .map_err(|e| Failure::report(Exit::Failed, format!("no client: {e}"), ""))?;
    let request = match request {
        Request::Search { .. } => client.post(format!("http://{entry}/v1/search")).json(request),
        Request::Operation { key, .. } => client
            .post(format!("http://{entry}/v1/operations"))
            .header("Idempotency-Key", key.to_string())
            .json(request),
    };
    request.send().await.map_err(|e| lost(entry, &e))
}

/// The failure of a request that got no whole answer.
fn lost(entry: SocketAddr, error: &reqwest::Error) -> Report<Failure> {
    let (exit, detail, hint) = if error.is_connect() {
        (Exit::Unreachable, "does not answer", "check --entry, or ask another VM")
    } else {
        (
            Exit::Unsettled,
            "gave no whole answer",
            "send an operation again only with the same --key",
        )
    };
    let failed =
        Failure { exit, detail: format!("--entry {entry} {detail}"), hint: hint.to_owned() };
    Report::new(Cause(deepest(error))).change_context(failed)
}

/// The text of the error that all others stem from.
fn deepest(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}

fn conclude(status: StatusCode, body: &[u8], json: bool) -> Outcome {
    if json {
        output::line(&String::from_utf8_lossy(body));
    }
    if !status.is_success() {
        return Err(refusal(status, body));
    }
    let answer: Answer = serde_json::from_slice(body)
        .map_err(|e| Cause(e.to_string()))
        .change_context_lazy(|| unreadable(status))?;
    if !json {
        output::line(describe(&answer).trim_end());
    }
    Ok(())
}

fn unreadable(status: StatusCode) -> Failure {
    Failure {
        exit: Exit::Unsettled,
        detail: format!("the answer with status {status} cannot be read"),
        hint: "check that --entry is where a VM listens for callers".to_owned(),
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> Report<Failure> {
    let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
        return Report::new(unreadable(status));
    };
    let exit = if problem.ran == "no" { Exit::Refused } else { Exit::Unsettled };
    let detail = format!("{}: {} (ran: {})", problem.kind, problem.detail, problem.ran);
    let hint = match problem.retry {
        Some(Retry { allowed: true, after_ms }) => {
            format!("send it again after {} ms", after_ms.unwrap_or_default())
        }
        _ => "the same request gets the same refusal".to_owned(),
    };
    Failure::report(exit, detail, hint)
}

fn describe(answer: &Answer) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = describe_to(&mut text, answer);
    text
}

fn describe_to(text: &mut String, answer: &Answer) -> std::fmt::Result {
    if let Some(snapshot) = answer.snapshot {
        writeln!(text, "snapshot: {snapshot}")?;
    }
    if let Some(coverage) = &answer.coverage {
        let parts = coverage.parts_per_million;
        writeln!(text, "coverage: {}.{:04} %", parts / 10_000, parts % 10_000)?;
        for (first, last) in &coverage.missing {
            writeln!(text, "missing: {first} to {last}")?;
        }
    }
    writeln!(text, "revision: {}", answer.revision)?;
    if let Some(result) = &answer.result {
        writeln!(text, "result: {result}")?;
    }
    for row in &answer.rows {
        writeln!(text, "{} {}", row.key, row.body)?;
    }
    Ok(())
}
