//! One section of a document: typed values, defaults and bounds by key.

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

/// The times from a millisecond to a number of seconds.
pub fn up_to(seconds: u64) -> RangeInclusive<Duration> {
    Duration::from_millis(1)..=Duration::from_secs(seconds)
}

/// What stands under a key.
enum Found<T> {
    Absent,
    Invalid,
    Value(T),
}

/// A section while it is read.
///
/// A value at fault is reported and replaced by its default, so that reading
/// goes on to the next error; the caller drops the result if any was reported.
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

    /// Makes errors leave out what was found, because the section holds secrets.
    pub fn secret(mut self) -> Section<'d, 'i> {
        self.secret = true;
        self
    }

    /// A time in milliseconds.
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

    /// A size in bytes.
    pub fn size(&mut self, key: &'static str, default: u64, allowed: RangeInclusive<u64>) -> u64 {
        let text = format!(
            "a size from {} to {} bytes, as a number or as a text such as \"64 KiB\"",
            allowed.start(),
            allowed.end()
        );
        self.bounded::<u64, Size>(key, &text, &allowed).unwrap_or(default)
    }

    /// A whole number.
    pub fn count(&mut self, key: &'static str, default: u32, allowed: RangeInclusive<u32>) -> u32 {
        let text = format!("a whole number from {} to {}", allowed.start(), allowed.end());
        self.bounded::<u32, Same>(key, &text, &allowed).unwrap_or(default)
    }

    /// One of a few texts.
    pub fn choice<T: Copy>(&mut self, key: &'static str, default: T, choices: &[(&str, T)]) -> T {
        let names: Vec<String> = choices.iter().map(|(name, _)| format!("{name:?}")).collect();
        let allowed = names.join(" or ");
        let pick = |text: String| {
            let choice = choices.iter().find(|(name, _)| *name == text);
            choice.map(|&(_, value)| value).ok_or(allowed.clone())
        };
        match self.parsed(key, &allowed, pick) {
            Found::Value(value) => value,
            Found::Absent | Found::Invalid => default,
        }
    }

    /// Yes or no.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.parsed(key, "true or false", Ok::<bool, String>) {
            Found::Value(value) => value,
            Found::Absent | Found::Invalid => default,
        }
    }

    /// A name that must be there.
    pub fn name(&mut self, key: &'static str) -> Option<Name> {
        let found = self.parsed(key, "a name of a-z, 0-9, '.', '_' and '-'", |text: String| {
            Name::try_from(text).map_err(|e| e.to_string())
        });
        self.required(key, found)
    }

    /// A socket address that must be there.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let found = self.parsed(key, ADDRESS, |text: String| text.parse().map_err(|_| ADDRESS));
        self.required(key, found)
    }

    /// A list of at least one socket address that must be there.
    pub fn addresses(&mut self, key: &'static str) -> Option<Vec<SocketAddr>> {
        let found = self.parsed(key, ADDRESSES, |texts: Vec<String>| {
            let parsed: Result<Vec<SocketAddr>, _> = texts.iter().map(|t| t.parse()).collect();
            parsed.ok().filter(|list| !list.is_empty()).ok_or(ADDRESSES)
        });
        self.required(key, found)
    }

    /// A text that need not be there.
    pub fn text(&mut self, key: &'static str) -> Option<String> {
        self.optional(key, "a text", |text: String| Ok::<_, String>(text))
    }

    /// A value that must be there, read as `T`.
    pub fn value<T: Deserialize<'i>>(&mut self, key: &'static str, allowed: &str) -> Option<T> {
        self.checked(key, allowed, Ok::<T, String>)
    }

    /// A value that need not be there, read as `R` and checked by `parse`.
    pub fn optional<R: Deserialize<'i>, T, E: ToString>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(R) -> Result<T, E>,
    ) -> Option<T> {
        match self.parsed(key, allowed, parse) {
            Found::Value(value) => Some(value),
            Found::Absent | Found::Invalid => None,
        }
    }

    /// A value that must be there, read as `R` and checked by `parse`.
    pub fn checked<R: Deserialize<'i>, T, E: ToString>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(R) -> Result<T, E>,
    ) -> Option<T> {
        let found = self.parsed(key, allowed, parse);
        self.required(key, found)
    }

    /// Takes a list of tables, each to be opened as a section of its own.
    pub fn tables(&mut self, key: &'static str) -> Vec<(String, usize, Spanned<DeValue<'i>>)> {
        let Some((line, value)) = self.take(key) else {
            return Vec::new();
        };
        let path = self.full(key);
        match value.into_inner() {
            DeValue::Array(items) => {
                let items = items.into_iter().enumerate();
                items
                    .map(|(index, item)| {
                        (format!("{path}[{index}]"), self.document.line(item.span().start), item)
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
        let path = self.full(key);
        self.document.report_key(&path, detail);
    }

    /// The number of errors found in the document up to here.
    pub fn error_count(&self) -> usize {
        self.document.error_count()
    }

    /// Reports the keys that nobody asked for and ends the section.
    pub fn finish(self) {
        let Section { document, path, table, known, .. } = self;
        for (key, _) in table {
            let line = document.line(key.span().start);
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
        let found = self.found(&value);
        match A::deserialize_as(ValueDeserializer::from(value)) {
            Ok(value) if allowed.contains(&value) => Some(value),
            Ok(_) | Err(_) => {
                self.refuse(line, key, format!("{found}, allowed is {text}"));
                None
            }
        }
    }

    fn parsed<R: Deserialize<'i>, T, E: ToString>(
        &mut self,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(R) -> Result<T, E>,
    ) -> Found<T> {
        let Some((line, value)) = self.take(key) else {
            return Found::Absent;
        };
        let found = self.found(&value);
        let raw = match R::deserialize(ValueDeserializer::from(value)) {
            Ok(raw) => raw,
            Err(_) => {
                self.refuse(line, key, format!("{found}, allowed is {allowed}"));
                return Found::Invalid;
            }
        };
        match parse(raw) {
            Ok(value) => Found::Value(value),
            Err(why) => {
                let why = why.to_string();
                let prefix = if why == allowed { "allowed is " } else { "" };
                self.refuse(line, key, format!("{found}, {prefix}{why}"));
                Found::Invalid
            }
        }
    }

    fn required<T>(&mut self, key: &'static str, found: Found<T>) -> Option<T> {
        match found {
            Found::Value(value) => Some(value),
            Found::Invalid => None,
            Found::Absent => {
                let line = self.line;
                self.refuse(line, key, "the key is missing and has no default".to_owned());
                None
            }
        }
    }

    fn take(&mut self, key: &'static str) -> Option<(usize, Spanned<DeValue<'i>>)> {
        self.known.push(key);
        let (name, value) = self.table.remove_entry(key)?;
        let line = self.document.line(name.span().start);
        let path = self.full(key);
        self.document.record(path, line);
        Some((line, value))
    }

    fn found(&self, value: &Spanned<DeValue<'i>>) -> String {
        if self.secret {
            return format!("found a value of type {}", value.get_ref().type_str());
        }
        format!("found {}", self.document.excerpt(value))
    }

    fn refuse(&mut self, line: usize, key: &str, detail: String) {
        let path = self.full(key);
        self.document.report(line, path, detail);
    }

    fn full(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }
}

const ADDRESS: &str = "an IP address with a port, such as \"10.0.0.1:7000\"";
const ADDRESSES: &str = "a list of one or more IP addresses with ports";
