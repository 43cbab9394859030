//! Stored documents as JSON, which operators can read in the service itself.

use laburnum_core::control::{Codec, Record};

/// Encodes stored documents as JSON.
#[derive(Clone, Copy, Debug, Default)]
pub struct Json;

impl Codec for Json {
    fn encode(&self, record: &Record) -> Vec<u8> {
        // A record holds no map with keys other than text, and no value that
        // JSON cannot express.
        serde_json::to_vec(record).expect("a record is always expressible as JSON")
    }

    fn decode(&self, value: &[u8]) -> Result<Record, String> {
        serde_json::from_slice(value).map_err(|e| e.to_string())
    }
}
