//! Sizes in bytes, written with or without a unit.

use std::fmt;

use serde::{
    Deserializer,
    de::{Error, Visitor},
};
use serde_with::DeserializeAs;

pub const KIB: u64 = 1024;

pub const MIB: u64 = 1024 * KIB;

/// A `serde_with` adapter that reads a size as a number of bytes or as a text
/// with a unit, such as `"64 KiB"`.
pub struct Size;

impl<'de> DeserializeAs<'de, u64> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        deserializer.deserialize_any(SizeVisitor)
    }
}

struct SizeVisitor;

impl Visitor<'_> for SizeVisitor {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number of bytes or a text such as \"64 KiB\"")
    }

    fn visit_u64<E: Error>(self, bytes: u64) -> Result<u64, E> {
        Ok(bytes)
    }

    fn visit_i64<E: Error>(self, bytes: i64) -> Result<u64, E> {
        u64::try_from(bytes).map_err(|_| E::custom("a size cannot be negative"))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u64, E> {
        parse(text).ok_or_else(|| E::custom("not a size"))
    }
}

fn parse(text: &str) -> Option<u64> {
    let text = text.trim();
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let count: u64 = text[..end].parse().ok()?;
    let unit = match text[end..].trim_start() {
        "" | "B" => 1,
        "KiB" => KIB,
        "MiB" => MIB,
        _ => return None,
    };
    count.checked_mul(unit)
}
