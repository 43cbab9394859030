//! What targets hold and answer.

use std::sync::Arc;

use laburnum_core::{
    digest,
    key::Range,
    name::Name,
    target::{Outcome, Row, Version, Work},
};

/// The text of the request whose reply a crossed one is.
const CROSSED: &str = " of another";

/// The rows of a whole version.
const ROWS: u64 = 256;

/// A fault of a target's replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The last row is missing.
    Cut,
    /// A row comes twice.
    Doubled,
    /// The reply is that to another attempt.
    Crossed,
    /// The rows are of another version than stated.
    WrongVersion,
    /// A row lies outside the range.
    Outside,
}

/// What the execution of an operation returns.
pub fn result(detail: &str) -> String {
    format!("granted {detail}")
}

/// The rows of a version that match `text` and whose keys satisfy `is_wanted`.
pub fn rows(version: Version, text: &str, is_wanted: impl Fn(u64) -> bool) -> Vec<Row> {
    (0..ROWS)
        .map(|number| number * (u64::MAX / ROWS))
        .filter(|&key| is_wanted(key))
        .map(|key| Row { key, body: format!("{key:x} at {}{text}", version.0).into() })
        .collect()
}

/// The range of a shard when the key space is cut into `shards` equal parts.
pub fn range_of(shard: u64, shards: u64) -> Range {
    let bound = |number: u64| (u128::from(number) << 64) / u128::from(shards);
    let first = u64::try_from(bound(shard)).unwrap();
    let last = u64::try_from(bound(shard + 1) - 1).unwrap();
    Range::try_from((first, last)).unwrap()
}

/// The text of a search or the detail of an operation.
pub fn text_of(work: &Work) -> &Arc<str> {
    match work {
        Work::Search { text, .. } => text,
        Work::Operate { detail, .. } => detail,
    }
}

/// The outcome of a search, with its fault.
pub fn search(fault: Option<Fault>, version: Version, range: Range, text: &str) -> Outcome {
    let read = if fault == Some(Fault::WrongVersion) { Version(version.0 + 1) } else { version };
    let text = if fault == Some(Fault::Crossed) { CROSSED } else { text };
    let mut found = rows(read, text, |key| range.contains(key));
    let count = found.len() as u64;
    match fault {
        Some(Fault::Cut) => {
            found.pop();
        }
        Some(Fault::Doubled) => {
            let row = found[0].clone();
            found.push(row);
        }
        Some(Fault::Outside) => found.extend(rows(version, text, |key| !range.contains(key))),
        _ => {}
    }
    let digest = digest::rows(&found);
    let count = if fault == Some(Fault::Cut) { count } else { found.len() as u64 };
    Outcome::Rows { version: read, range, rows: found, count, digest }
}

/// The name of a target.
pub fn target_name(shard: u64, replica: u64) -> Name {
    super::name(&format!("target-{shard}-{replica}"))
}
