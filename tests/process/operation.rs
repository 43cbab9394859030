//! Operations, each with its own idempotency key.

use serde_json::{Value, json};
use uuid::Uuid;

use super::deployment::COMPLETE_PROFILE;

/// Spreads small numbers over the key space: 2^64 divided by the golden ratio.
const SUBJECT_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A clearance whose key and detail no other operation has.
#[derive(Clone, Debug)]
pub struct Operation {
    pub key: String,
    /// The detail, by which the targets count the executions.
    pub detail: String,
    /// The JSON body of the request.
    pub body: Value,
}

impl Operation {
    /// Makes a clearance whose subject is derived from `number`, so that subjects
    /// are spread over the key space.
    pub fn new(number: u64) -> Operation {
        let key = Uuid::now_v7().to_string();
        let detail = format!("clearance {key}");
        let body = json!({
            "profile": COMPLETE_PROFILE,
            "operation": "clearance",
            "subject": number.wrapping_mul(SUBJECT_MULTIPLIER),
            "detail": detail,
        });
        Operation { key, detail, body }
    }
}
