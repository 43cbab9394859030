//! The rows of a stand-in index, computed from a seed.
//!
//! Every replica computes the same rows, so that a test can compute the complete
//! answer too. Each body contains its version, so that an answer of mixed versions
//! is detected.

use std::sync::Arc;

use laburnum_core::{
    key,
    target::{Row, Version},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The words from which row bodies are made; each body contains two.
pub const BODY_WORDS: [&str; 12] = [
    "amateur",
    "aviation",
    "broadcast",
    "maritime",
    "microwave",
    "mobile",
    "paging",
    "radar",
    "satellite",
    "telemetry",
    "trunked",
    "uhf",
];

/// A generated index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Index {
    /// The seed of the rows.
    pub seed: u64,
    /// The number of rows of the whole index.
    pub rows: u64,
}

impl Index {
    /// The rows of `range` at `version` whose body contains `text`, in key order.
    pub fn read(self, version: Version, range: key::Range, text: &str) -> Vec<Row> {
        if self.rows == 0 {
            return Vec::new();
        }
        let step = u64::MAX / self.rows;
        let first = range.first() / step;
        let last = (range.last() / step).min(self.rows - 1);
        (first..=last)
            .map(|number| self.row(version, number, step))
            .filter(|row| range.contains(row.key) && row.body.contains(text))
            .collect()
    }

    /// The row among the `step` keys with this number; its key depends on the seed.
    fn row(self, version: Version, number: u64, step: u64) -> Row {
        let hash = xxh3_64_with_seed(&number.to_le_bytes(), self.seed);
        let key = number * step + hash % step;
        let word = BODY_WORDS[(hash % 12) as usize];
        let other = BODY_WORDS[(hash / 12 % 12) as usize];
        let body = format!("licence {number:06} {word} {other} v{}", version.0);
        Row { key, body: Arc::from(body) }
    }
}
