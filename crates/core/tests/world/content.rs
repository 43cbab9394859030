//! The rows that the targets hold and their replies.

use std::sync::Arc;

use laburnum_core::{
    digest,
    key::Range,
    name::Name,
    target::{Outcome, Row, Version, Work},
};

/// The text in the rows of a reply that belongs to another request.
const CROSSED_TEXT: &str = " of another";

/// The number of rows in a version of the index.
const ROW_COUNT: u64 = 256;

/// A fault in the replies of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The last row is missing.
    Cut,
    /// A row is repeated.
    Doubled,
    /// The reply belongs to another attempt.
    Crossed,
    /// The rows are those of the next version.
    WrongVersion,
    /// The reply also contains rows outside the range.
    Outside,
}

/// Returns the result of an operation.
pub fn result(detail: &str) -> String {
    format!("granted {detail}")
}

/// Returns the rows of a version that match `text` and whose keys satisfy
/// `is_wanted`.
pub fn rows(version: Version, text: &str, is_wanted: impl Fn(u64) -> bool) -> Vec<Row> {
    (0..ROW_COUNT)
        .map(|number| number * (u64::MAX / ROW_COUNT))
        .filter(|&key| is_wanted(key))
        .map(|key| Row { key, body: format!("{key:x} at {}{text}", version.0).into() })
        .collect()
}

/// Returns the range of a shard when the key space is divided into `shards` equal
/// ranges.
pub fn range_of(shard: u64, shards: u64) -> Range {
    let bound = |number: u64| (u128::from(number) << 64) / u128::from(shards);
    let first = u64::try_from(bound(shard)).unwrap();
    let last = u64::try_from(bound(shard + 1) - 1).unwrap();
    Range::try_from((first, last)).unwrap()
}

/// Returns the text of a search or the detail of an operation.
pub fn text_of(work: &Work) -> &Arc<str> {
    match work {
        Work::Search { text, .. } => text,
        Work::Operate { detail, .. } => detail,
    }
}

/// Returns the outcome of a search, altered by `fault`.
pub fn search(fault: Option<Fault>, version: Version, range: Range, text: &str) -> Outcome {
    let read = if fault == Some(Fault::WrongVersion) { Version(version.0 + 1) } else { version };
    let text = if fault == Some(Fault::Crossed) { CROSSED_TEXT } else { text };
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

pub fn target_name(shard: u64, replica: u64) -> Name {
    super::name(&format!("target-{shard}-{replica}"))
}
