//! `query`: sends one search or operation as a caller.

use std::{fmt::Write, net::SocketAddr, time::Duration};

use argh::FromArgs;
use error_stack::Report;
use laburnum_core::name::Name;
use reqwest::StatusCode;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{
    answer::{self, Destination},
    exit::Exit,
    failure::{Failure, Outcome},
    output, value,
};

/// The time beyond the longest deadline after which a request fails without an
/// answer.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

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

/// The request to send, after the flags were checked against each other.
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
        let usage_error =
            |detail: &str, hint: &str| Err(Failure::report(Exit::Usage, detail, hint));
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
            (Some(_), None) => {
                usage_error("--operation needs --subject", "say which record it is about")
            }
            (None, Some(_)) => {
                usage_error("--subject needs --operation", "say which operation it is")
            }
            (None, None) if query.key.is_some() => {
                usage_error("--key needs --operation", "a search needs no key")
            }
            (None, None) => Ok(Request::Search { profile, text: &query.text, deadline_ms }),
        }
    }
}

/// The document of an answer to a search or an operation.
#[derive(Deserialize)]
struct Answer {
    snapshot: Option<u64>,
    coverage: Option<Coverage>,
    revision: u64,
    #[serde(default)]
    rows: Vec<Row>,
    result: Option<String>,
    replayed: Option<bool>,
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

/// Sends the request and prints the answer.
pub fn run(command: &Query) -> Outcome {
    let request = Request::try_from(command)?;
    if let (Request::Operation { key, .. }, None) = (&request, command.key) {
        eprintln!("idempotency key: {key}");
    }
    let incomplete_hint = "send an operation again only with the same --key";
    let destination = Destination { flag: "--entry", address: command.entry, incomplete_hint };
    let answer = value::runtime()?.block_on(send(destination, &request))?;
    let (answer::Answer::Done(body) | answer::Answer::Refused(body, _)) = &answer;
    if command.json {
        output::line(&body.text());
    }
    match &answer {
        answer::Answer::Refused(_, problem) => Err(problem.report(problem.hint())),
        answer::Answer::Done(_) if command.json => Ok(()),
        answer::Answer::Done(body) => {
            let answer: Answer = body.decode(StatusCode::OK, destination)?;
            output::line(describe(&answer).trim_end());
            Ok(())
        }
    }
}

async fn send(
    destination: Destination,
    request: &Request<'_>,
) -> Result<answer::Answer, Report<Failure>> {
    let entry = destination.address;
    let client = answer::client(laburnum_core::profile::MAX_DEADLINE + ANSWER_GRACE)?;
    let builder = match request {
        Request::Search { .. } => client.post(format!("http://{entry}/v1/search")).json(request),
        Request::Operation { key, .. } => client
            .post(format!("http://{entry}/v1/operations"))
            .header("Idempotency-Key", key.to_string())
            .json(request),
    };
    answer::exchange(builder, destination).await
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
    if answer.replayed == Some(true) {
        writeln!(text, "replayed: it had run before, under the same key")?;
    }
    for row in &answer.rows {
        writeln!(text, "{} {}", row.key, row.body)?;
    }
    Ok(())
}
