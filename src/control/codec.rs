//! Encodes stored documents as JSON, which operators can read in the platform's
//! store directly.

use laburnum_core::control::{Codec, Record};

/// Encodes and decodes stored documents as JSON.
#[derive(Clone, Copy, Debug, Default)]
pub struct Json;

impl Codec for Json {
    fn encode(&self, record: &Record) -> Vec<u8> {
        // The keys of all maps in a record are strings, and JSON can express
        // every value in it.
        serde_json::to_vec(record).expect("a record is always expressible as JSON")
    }

    fn decode(&self, value: &[u8]) -> Result<Record, String> {
        serde_json::from_slice(value).map_err(|e| e.to_string())
    }
}
