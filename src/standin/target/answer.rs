//! The replies of a stand-in target, correct or with a defect.

use std::sync::Arc;

use laburnum_core::{
    digest, id, key,
    target::{Outcome, Refusal, Reply, Request, Row, Status, Version, Work},
};

use super::{fault::Defect, row::Index, table::Tables};

/// A reply and whether it is sent only in part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub reply: Reply,
    /// Whether the reply breaks off in the middle.
    pub cut: bool,
}

/// The answer that refuses a request.
pub fn refusal(tables: &Tables, attempt: id::Attempt, refusal: Refusal) -> Answer {
    complete_answer(attempt, Outcome::Refused(refusal), tables.status())
}

/// The answer to a request that ran to completion, with `defect` if there is one.
pub fn result(tables: &Tables, request: &Request, defect: Option<Defect>) -> Answer {
    let outcome = match &request.work {
        Work::Search { version, range, text } => search(tables, *version, *range, text),
        Work::Operate { subject, operation, .. } => {
            Outcome::Done { result: Arc::from(format!("{operation} of {subject}")) }
        }
    };
    let answer = complete_answer(request.attempt, outcome, tables.status());
    match defect {
        Some(defect) => apply_defect(tables, answer, defect),
        None => answer,
    }
}

fn complete_answer(attempt: id::Attempt, outcome: Outcome, status: Status) -> Answer {
    Answer { reply: Reply { attempt: Some(attempt), outcome, status: Some(status) }, cut: false }
}

fn search(tables: &Tables, version: Version, range: key::Range, text: &str) -> Outcome {
    let index = Index { seed: tables.settings.seed, rows: tables.settings.rows };
    rows_outcome(version, range, index.read(version, range, text))
}

/// The outcome of a search, with the count and digest of its rows.
fn rows_outcome(version: Version, range: key::Range, rows: Vec<Row>) -> Outcome {
    let count = rows.len() as u64;
    let digest = digest::rows(&rows);
    Outcome::Rows { version, range, rows, count, digest }
}

fn apply_defect(tables: &Tables, mut answer: Answer, defect: Defect) -> Answer {
    match defect {
        Defect::Cut => answer.cut = true,
        Defect::Crossed => answer.reply.attempt = other_attempt(tables, answer.reply.attempt),
        Defect::Mute => {}
        Defect::Doubled | Defect::Outside | Defect::Version | Defect::Digest => {
            answer.reply.outcome = apply_row_defect(answer.reply.outcome, defect);
        }
    }
    answer
}

/// The attempt of another request at the target, or an unused one if there is none.
fn other_attempt(tables: &Tables, own: Option<id::Attempt>) -> Option<id::Attempt> {
    let running = tables.running.values().map(|running| running.request.attempt);
    let waiting = tables.waiting.values().map(|waiting| waiting.request.attempt);
    let unused = own.map(|own| id::Attempt { sequence: u64::MAX, ..own });
    running.chain(waiting).find(|&attempt| Some(attempt) != own).or(unused)
}

fn apply_row_defect(outcome: Outcome, defect: Defect) -> Outcome {
    let Outcome::Rows { version, range, rows, count, digest } = outcome else {
        return outcome;
    };
    match defect {
        Defect::Doubled => {
            let doubled = rows.into_iter().flat_map(|row| [row.clone(), row]).collect();
            rows_outcome(version, range, doubled)
        }
        Defect::Outside => rows_outcome(version, range, with_row_outside(range, rows)),
        Defect::Version => {
            Outcome::Rows { version: Version(version.0 + 1), range, rows, count, digest }
        }
        _ => Outcome::Rows { version, range, rows, count, digest: !digest },
    }
}

/// Adds a row next to the range, if any key lies outside of it.
fn with_row_outside(range: key::Range, mut rows: Vec<Row>) -> Vec<Row> {
    let body: Arc<str> = Arc::from("outside of the range");
    if let Some(key) = range.last().checked_add(1) {
        rows.push(Row { key, body });
    } else if let Some(key) = range.first().checked_sub(1) {
        rows.insert(0, Row { key, body });
    }
    rows
}
