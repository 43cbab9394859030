//! Reads the fields of a JSON document into checked values.
//!
//! Every error names the field, what was found and what is allowed.

use std::{ops::RangeInclusive, time::Duration};

use laburnum_core::{
    fault::{Fault, Kind},
    name::{MAX_LENGTH, Name},
    profile::MAX_DEADLINE,
};
use serde_json::Value;

/// The most characters of a value that an error repeats.
const MAX_EXCERPT_CHARS: usize = 40;

/// Makes a fault that names the field, what was found and what is allowed.
pub fn malformed(field: &str, found: &str, allowed: &str) -> Fault {
    let detail = format!("{field}: found {found}, allowed is {allowed}");
    Fault::not_run(Kind::Malformed, detail)
}

/// Reads a string.
pub fn text<'a>(field: &str, value: Option<&'a Value>) -> Result<&'a str, Fault> {
    match value {
        Some(Value::String(text)) => Ok(text),
        other => Err(malformed(field, &describe(other), "a text")),
    }
}

/// Reads a name.
pub fn name(field: &str, value: Option<&Value>) -> Result<Name, Fault> {
    let text = text(field, value)?;
    Name::try_from(text).map_err(|_| {
        let allowed = format!("1 to {MAX_LENGTH} of the characters a-z, 0-9, '.', '_' and '-'");
        malformed(field, &excerpt(text), &allowed)
    })
}

/// Reads a 64-bit number. Many clients lose digits of JSON numbers above 2^53,
/// so a string of decimal digits is accepted as well.
pub fn number(field: &str, value: Option<&Value>) -> Result<u64, Fault> {
    let number = match value {
        Some(Value::Number(number)) => number.as_u64(),
        Some(Value::String(text)) => digits(text),
        _ => None,
    };
    let allowed = "a whole number from 0 to 2^64 - 1, as a number or as a text of digits";
    number.ok_or_else(|| malformed(field, &describe(value), allowed))
}

fn digits(text: &str) -> Option<u64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
    is_plain.then(|| text.parse().ok()).flatten()
}

/// Reads a whole number within `allowed`.
pub fn whole(
    field: &str,
    value: Option<&Value>,
    allowed: RangeInclusive<u64>,
) -> Result<u64, Fault> {
    let number = value.and_then(Value::as_u64);
    number.filter(|number| allowed.contains(number)).ok_or_else(|| {
        let range = format!("a whole number from {} to {}", allowed.start(), allowed.end());
        malformed(field, &describe(value), &range)
    })
}

/// Reads the optional field `deadline_ms`, from 1 ms to [`MAX_DEADLINE`].
pub fn deadline(value: Option<&Value>) -> Result<Option<Duration>, Fault> {
    if value.is_none() {
        return Ok(None);
    }
    let max_ms = u64::try_from(MAX_DEADLINE.as_millis()).unwrap_or(u64::MAX);
    whole("deadline_ms", value, 1..=max_ms).map(|millis| Some(Duration::from_millis(millis)))
}

/// Describes a value for an error message.
pub fn describe(value: Option<&Value>) -> String {
    match value {
        None => "nothing".to_owned(),
        Some(Value::Null) => "null".to_owned(),
        Some(Value::Bool(flag)) => flag.to_string(),
        Some(Value::Number(number)) => number.to_string(),
        Some(Value::String(text)) => excerpt(text),
        Some(Value::Array(_)) => "an array".to_owned(),
        Some(Value::Object(_)) => "an object".to_owned(),
    }
}

/// Quotes the start of a text, followed by `...` if the rest is cut off.
pub fn excerpt(text: &str) -> String {
    let start: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
    let rest = if start.len() < text.len() { "..." } else { "" };
    format!("{start:?}{rest}")
}
