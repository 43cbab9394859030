//! Checks of answers against the rows that the stand-ins of the targets compute.

use laburnum_core::{key, target::Version};
use laburnumworks::{
    local::caller::Reply,
    standin::target::{row::Index, settings::Raw},
};

/// The index of the targets, all of which use the default seed.
fn index() -> Index {
    let target = Raw::default();
    Index { seed: target.seed, rows: target.rows }
}

/// Returns whether an answer covers the whole index, or why the answer is wrong.
///
/// The rows must be exactly those of the snapshot that the answer states, except
/// those in the ranges that it states as missing.
pub fn check(reply: &Reply, text: &str) -> Result<bool, String> {
    if !reply.status.is_success() {
        return Err(format!("refused: {}", reply.body));
    }
    let covered = covered(reply)?;
    let snapshot = reply.body["snapshot"].as_u64().ok_or("no snapshot")?;
    let rows = index().read(Version(snapshot), key::Range::ALL, text);
    let is_covered = |key| covered.ranges().iter().any(|range| range.contains(key));
    let expected: Vec<(String, String)> = rows
        .into_iter()
        .filter(|row| is_covered(row.key))
        .map(|row| (format!("{:016x}", row.key), row.body.to_string()))
        .collect();
    let found = found(reply)?;
    if found != expected {
        let counts = format!("{} rows instead of {}", found.len(), expected.len());
        return Err(format!("{counts}, snapshot {snapshot}: {}", reply.body["coverage"]));
    }
    Ok(covered.covers(key::Range::ALL))
}

/// Returns the key ranges that an answer covers. Fails if the members of its
/// coverage contradict each other.
fn covered(reply: &Reply) -> Result<key::Set, String> {
    let coverage = &reply.body["coverage"];
    let mut covered = key::Set::from_range(key::Range::ALL);
    for bounds in coverage["missing"].as_array().ok_or("no missing ranges")? {
        let bound = |end: usize| {
            let text = bounds[end].as_str().unwrap_or_default();
            u64::from_str_radix(text, 16).map_err(|e| format!("missing {bounds}: {e}"))
        };
        let range = key::Range::try_from((bound(0)?, bound(1)?)).map_err(|e| e.to_string())?;
        covered.remove(range);
    }
    let parts = u64::from(covered.parts_per_million(key::Range::ALL));
    let is_complete = covered.covers(key::Range::ALL);
    let is_true = coverage["parts_per_million"] == parts && coverage["complete"] == is_complete;
    if is_true { Ok(covered) } else { Err(format!("the coverage contradicts itself: {coverage}")) }
}

fn found(reply: &Reply) -> Result<Vec<(String, String)>, String> {
    let rows = reply.body["rows"].as_array().ok_or("no rows")?;
    rows.iter()
        .map(|row| Some((row["key"].as_str()?.to_owned(), row["body"].as_str()?.to_owned())))
        .collect::<Option<_>>()
        .ok_or_else(|| "a row without key and body".to_owned())
}

/// Asserts that an answer has every matching row of one snapshot.
pub fn assert_complete(reply: &Reply, text: &str) {
    assert_eq!(check(reply, text), Ok(true), "search {text:?}: {}", reply.body["coverage"]);
}
