//! The encoding of the values stored in the platform's service, behind a trait.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{profile::Document, time::Wall};

/// The key under which the document in force is stored.
pub const CURRENT_KEY: &str = "profiles/current";

/// The prefix of the keys under which replaced documents are stored.
pub const HISTORY: &str = "profiles/history/";

/// The size of the largest value that the platform's service accepts.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The key of the replaced document with this revision. The number is padded so
/// that keys sort by revision.
pub fn history_key(revision: u64) -> String {
    format!("{HISTORY}{revision:020}")
}

/// A published document with its audit record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub document: Document,
    /// Identifies the publication, so that its writer recognises it when the
    /// answer to the write was lost.
    pub token: Uuid,
    /// The operator who published the document.
    pub who: String,
    /// The time of publication by the clock of the publishing VM.
    pub at: Wall,
    /// The purpose of the publication, such as a rollback; empty if there is
    /// none to note.
    pub note: String,
}

/// Converts records to the values stored in the platform's service and back.
pub trait Codec: Send {
    /// Encodes a record as a stored value.
    fn encode(&self, record: &Record) -> Vec<u8>;
    /// Decodes a stored value. The error says why the value is not a record.
    fn decode(&self, value: &[u8]) -> Result<Record, String>;
}
