//! The border to the encoding of the values that the platform's service keeps.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{profile::Document, time::Wall};

/// The key of the document in force.
pub const CURRENT: &str = "profiles/current";

/// The prefix of the keys of documents that were replaced.
pub const HISTORY: &str = "profiles/history/";

/// The size of the largest value that the service keeps, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Makes the key of a replaced document; keys sort by revision.
pub fn history(revision: u64) -> String {
    format!("{HISTORY}{revision:020}")
}

/// A published document with its audit record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The document.
    pub document: Document,
    /// Names the publication, so that its writer knows it again when the answer
    /// to the write was lost.
    pub token: Uuid,
    /// Who published it.
    pub who: String,
    /// When it was published, by the clock of the VM that did it.
    pub at: Wall,
    /// What it was made for, such as a roll back.
    pub note: String,
}

/// Turns records into values of the platform's service and back.
pub trait Codec: Send {
    /// Encodes a record.
    fn encode(&self, record: &Record) -> Vec<u8>;
    /// Decodes a value, or says why it is not a record.
    fn decode(&self, value: &[u8]) -> Result<Record, String>;
}
