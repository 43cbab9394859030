//! One section of a document: reads typed values by key, with defaults and
//! bounds.

use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

use laburnum_core::name::Name;
use serde::Deserialize;
use serde_with::{DeserializeAs, DurationMilliSeconds, Same};
use toml::{
    Spanned,
    de::{DeTable, DeValue, ValueDeserializer},
};

use super::{
    document::{Document, unknown_key},
    size::Size,
};

/// The range of durations from one millisecond to `seconds`.
pub fn up_to_secs(seconds: u64) -> RangeInclusive<Duration> {
    Duration::from_millis(1)..=Duration::from_secs(seconds)
}

/// The result of reading a key. An invalid value has been reported already.
enum Parsed<T> {
    Absent,
    Invalid,
    Value(T),
}

/// A section while it is read.
///
/// An invalid value is reported and replaced by its default, so that reading
/// goes on to the next error. The caller drops the result if any error was
/// reported.
pub struct Section<'d, 'i> {
    document: &'d mut Document<'i>,
    path: String,
    line: usize,
    table: DeTable<'i>,
    known: Vec<&'static str>,
    secret: bool,
}

impl<'d, 'i> Section<'d, 'i> {
    pub(super) fn new(
        document: &'d mut Document<'i>,
        path: String,
        line: usize,
        table: DeTable<'i>,
    ) -> Section<'d, 'i> {
        Section { document, path, line, table, known: Vec::new(), secret: false }
    }

    /// Keeps the values of this section out of error messages, because they are
    /// secrets.
    pub fn secret(mut self) -> Section<'d, 'i> {
        self.secret = true;
        self
    }

    /// Reads a duration in milliseconds.
    pub fn millis(
        &mut self,
        key: &'static str,
        default: Duration,
        allowed: RangeInclusive<Duration>,
    ) -> Duration {
        let (least, most) = (allowed.start().as_millis(), allowed.end().as_millis());
        let text = format!("a whole number of milliseconds from {least} to {most}");
        self.bounded::<Duration, DurationMilliSeconds<u64>>(key, &text, &allowed).unwrap_or(default)
    }

    /// Reads a size in bytes.
    pub fn size(&mut self, key: &'static str, default: u64, allowed: RangeInclusive<u64>) -> u64 {
        let text = format!(
            "a size from {} to {} bytes, as a number or as a text such as \"64 KiB\"",
            allowed.start(),
            allowed.end()
        );
        self.bounded::<u64, Size>(key, &text, &allowed).unwrap_or(default)
    }

    /// Reads a whole number.
    pub fn count(&mut self, key: &'static str, default: u32, allowed: RangeInclusive<u32>) -> u32 {
        let text = format!("a whole number from {} to {}", allowed.start(), allowed.end());
        self.bounded::<u32, Same>(key, &text, &allowed).unwrap_or(default)
    }

    /// Reads a text that must be the name of one of `choices`.
    pub fn choice<T: Copy>(&mut self, key: &'static str, default: T, choices: &[(&str, T)]) -> T {
        let names: Vec<String> = choices.iter().map(|(name, _)| format!("{name:?}")).collect();
        let allowed = names.join(" or ");
        let pick = |text: String| {
            let choice = choices.iter().find(|(name, _)| *name == text);
            choice.map(|&(_, value)| value).ok_or(allowed.clone())
        };
        match self.parsed(key, &allowed, pick) {
            Parsed::Value(value) => value,
            Parsed::Absent | Parsed::Invalid => default,
        }
    }

    /// Reads a boolean.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.parsed(key, "true or false", Ok::<bool, String>) {
            Parsed::Value(value) => value,
            Parsed::Absent | Parsed::Invalid => default,
        }
    }

    /// Reads a required name.
    pub fn name(&mut self, key: &'static str) -> Option<Name> {
        let found = self.parsed(key, "a name of a-z, 0-9, '.', '_' and '-'", |text: String| {
            Name::try_from(text).map_err(|e| e.to_string())
        });
        self.required(key, found)
    }

    /// Reads a required socket address.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let found = self
            .parsed(key, ADDRESS_FORMAT, |text: String| text.parse().map_err(|_| ADDRESS_FORMAT));
        self.required(key, found)
    }

    /// Reads a required list of at least one socket address.
    pub fn addresses(&mut self, key: &'static str) -> Option<Vec<SocketAddr>> {
        let found = self.parsed(key, ADDRESSES_FORMAT, |texts: Vec<String>| {
            let parsed: Result<Vec<SocketAddr>, _> = texts.iter().map(|t| t.parse()).collect();
            parsed.ok().filter(|list| !list.is_empty()).ok_or(ADDRESSES_FORMAT)
        });
        self.required(key, found)
    }

    /// Reads an optional text.
    pub fn text(&mut self, key: &'static str) -> Option<String> {
        self.optional(key, "a text", |text: String| Ok::<_, String>(text))
    }

    /// Reads a required value of type `T`.
    pub fn value<T: Deserialize<'i>>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        self.checked(key, allowed, Ok::<T, String>)
    }

    /// Reads an optional value of type `R` and converts it with `parse`.
    pub fn optional<R: Deserialize<'i>, T, E: ToString>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(R) -> Result<T, E>,
    ) -> Option<T> {
        match self.parsed(key, allowed, parse) {
            Parsed::Value(value) => Some(value),
            Parsed::Absent | Parsed::Invalid => None,
        }
    }

    /// Reads a required value of type `R` and converts it with `parse`.
    pub fn checked<R: Deserialize<'i>, T, E: ToString>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(R) -> Result<T, E>,
    ) -> Option<T> {
        let found = self.parsed(key, allowed, parse);
        self.required(key, found)
    }

    /// Takes a list of tables out of the section, each with its path and line.
    /// The caller opens each as a section.
    pub fn tables(&mut self, key: &'static str) -> Vec<(String, usize, Spanned<DeValue<'i>>)> {
        let Some((line, value)) = self.take(key) else {
            return Vec::new();
        };
        let path = self.key_path(key);
        match value.into_inner() {
            DeValue::Array(items) => {
                let items = items.into_iter().enumerate();
                items
                    .map(|(index, item)| {
                        (format!("{path}[{index}]"), self.document.line_at(item.span().start), item)
                    })
                    .collect()
            }
            other => {
                let found = other.type_str();
                self.document.report(line, path, format!("found {found}, allowed are tables"));
                Vec::new()
            }
        }
    }

    /// Reports an error at `key`.
    pub fn report(&mut self, key: &str, detail: String) {
        let path = self.key_path(key);
        self.document.report_key(&path, detail);
    }

    /// The number of errors found in the whole document so far.
    pub fn error_count(&self) -> usize {
        self.document.error_count()
    }

    /// Reports the keys that were never read, which are unknown ones, and ends
    /// the section.
    pub fn finish(self) {
        let Section { document, path, table, known, .. } = self;
        for (key, _) in table {
            let line = document.line_at(key.span().start);
            let detail = unknown_key("key", key.get_ref(), &known);
            document.report(line, format!("{path}.{}", key.get_ref()), detail);
        }
    }

    fn bounded<T: PartialOrd, A: DeserializeAs<'i, T>>(
        &mut self,
        key: &'static str,
        text: &str,
        allowed: &RangeInclusive<T>,
    ) -> Option<T> {
        let (line, value) = self.take(key)?;
        let found = self.describe_found(&value);
        match A::deserialize_as(ValueDeserializer::from(value)) {
            Ok(value) if allowed.contains(&value) => Some(value),
            Ok(_) | Err(_) => {
                self.report_at(line, key, format!("{found}, allowed is {text}"));
                None
            }
        }
    }

    fn parsed<R: Deserialize<'i>, T, E: ToString>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(R) -> Result<T, E>,
    ) -> Parsed<T> {
        let Some((line, value)) = self.take(key) else {
            return Parsed::Absent;
        };
        let found = self.describe_found(&value);
        let raw = match R::deserialize(ValueDeserializer::from(value)) {
            Ok(raw) => raw,
            Err(_) => {
                self.report_at(line, key, format!("{found}, allowed is {allowed}"));
                return Parsed::Invalid;
            }
        };
        match parse(raw) {
            Ok(value) => Parsed::Value(value),
            Err(error) => {
                let error = error.to_string();
                let prefix = if error == allowed { "allowed is " } else { "" };
                self.report_at(line, key, format!("{found}, {prefix}{error}"));
                Parsed::Invalid
            }
        }
    }

    fn required<T>(&mut self, key: &'static str, found: Parsed<T>) -> Option<T> {
        match found {
            Parsed::Value(value) => Some(value),
            Parsed::Invalid => None,
            Parsed::Absent => {
                let line = self.line;
                self.report_at(line, key, "the key is missing and has no default".to_owned());
                None
            }
        }
    }

    fn take(&mut self, key: &'static str) -> Option<(usize, Spanned<DeValue<'i>>)> {
        self.known.push(key);
        let (name, value) = self.table.remove_entry(key)?;
        let line = self.document.line_at(name.span().start);
        let path = self.key_path(key);
        self.document.record_line(path, line);
        Some((line, value))
    }

    fn describe_found(&self, value: &Spanned<DeValue<'i>>) -> String {
        if self.secret {
            return format!("found a value of type {}", value.get_ref().type_str());
        }
        format!("found {}", self.document.excerpt(value))
    }

    fn report_at(&mut self, line: usize, key: &str, detail: String) {
        let path = self.key_path(key);
        self.document.report(line, path, detail);
    }

    fn key_path(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }
}

const ADDRESS_FORMAT: &str = "an IP address with a port, such as \"10.0.0.1:7000\"";
const ADDRESSES_FORMAT: &str = "a list of one or more IP addresses with ports";
