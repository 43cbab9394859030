//! Operations with a key of their own.

use serde_json::{Value, json};
use uuid::Uuid;

use super::bed::WHOLE;

/// Spreads small numbers over the key space.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// A clearance with a key and a detail of its own.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The idempotency key.
    pub key: String,
    /// By which its executions are counted.
    pub detail: String,
    /// The document that is sent.
    pub body: Value,
}

impl Operation {
    /// A new clearance. Subjects are spread over the key space.
    pub fn new(number: u64) -> Operation {
        let key = Uuid::now_v7().to_string();
        let detail = format!("clearance {key}");
        let body = json!({
            "profile": WHOLE,
            "operation": "clearance",
            "subject": number.wrapping_mul(SPREAD),
            "detail": detail,
        });
        Operation { key, detail, body }
    }
}
