//! The replies of a stand-in target, right and wrong.

use std::sync::Arc;

use laburnum_core::{
    digest, id, key,
    target::{Outcome, Refusal, Reply, Request, Row, Status, Version, Work},
};

use super::{fault::Defect, row::Index, table::Tables};

/// A reply and whether it is cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The reply.
    pub reply: Reply,
    /// Whether the reply ends in its middle.
    pub cut: bool,
}

/// The refusal of a request.
pub fn refusal(tables: &Tables, attempt: id::Attempt, refusal: Refusal) -> Answer {
    whole(attempt, Outcome::Refused(refusal), tables.status())
}

/// The reply to a request that ran to its end.
pub fn result(tables: &Tables, request: &Request, wrong: Option<Defect>) -> Answer {
    let outcome = match &request.work {
        Work::Search { version, range, text } => search(tables, *version, *range, text),
        Work::Operate { subject, operation, .. } => {
            Outcome::Done { result: Arc::from(format!("{operation} of {subject}")) }
        }
    };
    let answer = whole(request.attempt, outcome, tables.status());
    match wrong {
        Some(wrong) => spoil(tables, answer, wrong),
        None => answer,
    }
}

fn whole(attempt: id::Attempt, outcome: Outcome, status: Status) -> Answer {
    Answer { reply: Reply { attempt: Some(attempt), outcome, status: Some(status) }, cut: false }
}

fn search(tables: &Tables, version: Version, range: key::Range, text: &str) -> Outcome {
    let index = Index { seed: tables.settings.seed, rows: tables.settings.rows };
    stated(version, range, index.read(version, range, text))
}

/// A result whose count and digest are those of its rows.
fn stated(version: Version, range: key::Range, rows: Vec<Row>) -> Outcome {
    let count = rows.len() as u64;
    let digest = digest::rows(&rows);
    Outcome::Rows { version, range, rows, count, digest }
}

fn spoil(tables: &Tables, mut answer: Answer, wrong: Defect) -> Answer {
    match wrong {
        Defect::Cut => answer.cut = true,
        Defect::Crossed => answer.reply.attempt = other(tables, answer.reply.attempt),
        Defect::Mute => {}
        Defect::Doubled | Defect::Outside | Defect::Version | Defect::Digest => {
            answer.reply.outcome = spoil_rows(answer.reply.outcome, wrong);
        }
    }
    answer
}

/// The id of another request at the target, or else one that was never given.
fn other(tables: &Tables, own: Option<id::Attempt>) -> Option<id::Attempt> {
    let running = tables.running.values().map(|running| running.request.attempt);
    let waiting = tables.waiting.values().map(|waiting| waiting.request.attempt);
    let unused = own.map(|own| id::Attempt { sequence: u64::MAX, ..own });
    running.chain(waiting).find(|&attempt| Some(attempt) != own).or(unused)
}

fn spoil_rows(outcome: Outcome, wrong: Defect) -> Outcome {
    let Outcome::Rows { version, range, rows, count, digest } = outcome else {
        return outcome;
    };
    match wrong {
        Defect::Doubled => {
            let doubled = rows.into_iter().flat_map(|row| [row.clone(), row]).collect();
            stated(version, range, doubled)
        }
        Defect::Outside => stated(version, range, with_outside(range, rows)),
        Defect::Version => {
            Outcome::Rows { version: Version(version.0 + 1), range, rows, count, digest }
        }
        _ => Outcome::Rows { version, range, rows, count, digest: !digest },
    }
}

/// Adds a row next to the range, if there is a key outside of it.
fn with_outside(range: key::Range, mut rows: Vec<Row>) -> Vec<Row> {
    let body: Arc<str> = Arc::from("outside of the range");
    if let Some(key) = range.last().checked_add(1) {
        rows.push(Row { key, body });
    } else if let Some(key) = range.first().checked_sub(1) {
        rows.insert(0, Row { key, body });
    }
    rows
}
