//! A TOML document that is read key by key, so that all errors are found in one
//! pass, each with its line.

use std::{collections::BTreeMap, sync::Arc};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::{
    error::{Error, Errors},
    section::Section,
};

/// The most characters of a value that an error message quotes.
const MAX_EXCERPT_CHARS: usize = 60;

/// A TOML text while it is read.
pub struct Document<'i> {
    file: Arc<str>,
    text: &'i str,
    root: DeTable<'i>,
    known: Vec<&'static str>,
    lines: BTreeMap<String, usize>,
    errors: Vec<Error>,
}

impl<'i> Document<'i> {
    /// Parses `text` and collects its syntax errors.
    pub fn new(file: &str, text: &'i str) -> Document<'i> {
        let (root, syntax_errors) = DeTable::parse_recoverable(text);
        let mut document = Document {
            file: Arc::from(file),
            text,
            root: root.into_inner(),
            known: Vec::new(),
            lines: BTreeMap::new(),
            errors: Vec::new(),
        };
        for syntax_error in syntax_errors {
            let line = syntax_error.span().map_or(1, |span| document.line_at(span.start));
            document.report(line, String::new(), syntax_error.message().to_owned());
        }
        document
    }

    /// Takes the section `name` out of the document. An absent section is read
    /// as an empty one, so that its required keys are reported.
    pub fn section(&mut self, name: &'static str) -> Section<'_, 'i> {
        self.known.push(name);
        let Some((key, value)) = self.root.remove_entry(name) else {
            return Section::new(self, name.to_owned(), 1, DeTable::new());
        };
        let line = self.line_at(key.span().start);
        self.open(name.to_owned(), line, value)
    }

    /// Takes all subsections of the section `name`, such as `[profile.portal]`,
    /// each with its name and line.
    pub fn subsections(
        &mut self,
        name: &'static str,
    ) -> Vec<(String, usize, Spanned<DeValue<'i>>)> {
        self.known.push(name);
        let Some((key, value)) = self.root.remove_entry(name) else {
            return Vec::new();
        };
        let line = self.line_at(key.span().start);
        self.entries(name, line, value)
    }

    /// Opens `value` as the section `path`, or reports that it is not a table.
    pub fn open(
        &mut self,
        path: String,
        line: usize,
        value: Spanned<DeValue<'i>>,
    ) -> Section<'_, 'i> {
        self.lines.insert(path.clone(), line);
        let table = match value.into_inner() {
            DeValue::Table(table) => table,
            other => {
                let detail = format!("found {}, allowed is a table", other.type_str());
                self.report(line, path.clone(), detail);
                DeTable::new()
            }
        };
        Section::new(self, path, line, table)
    }

    fn entries(
        &mut self,
        name: &str,
        line: usize,
        value: Spanned<DeValue<'i>>,
    ) -> Vec<(String, usize, Spanned<DeValue<'i>>)> {
        match value.into_inner() {
            DeValue::Table(table) => table
                .into_iter()
                .map(|(key, value)| {
                    let line = self.line_at(key.span().start);
                    (key.into_inner().into_owned(), line, value)
                })
                .collect(),
            other => {
                let detail = format!("found {}, allowed is a table", other.type_str());
                self.report(line, name.to_owned(), detail);
                Vec::new()
            }
        }
    }

    /// Reports an error at the line of `key`, or of the nearest enclosing
    /// section that the file holds.
    pub fn report_key(&mut self, key: &str, detail: String) {
        let mut path = key;
        let line = loop {
            if let Some(&line) = self.lines.get(path) {
                break line;
            }
            match path.rsplit_once('.') {
                Some((parent, _)) => path = parent,
                None => break 1,
            }
        };
        self.report(line, key.to_owned(), detail);
    }

    /// The number of errors found so far.
    pub fn error_count(&self) -> usize {
        self.errors.len()
    }

    /// Reports the sections that were never read, which are unknown ones, and
    /// returns all errors by line.
    pub fn finish(mut self) -> Result<(), Errors> {
        let unknown: Vec<(String, usize)> = std::mem::take(&mut self.root)
            .into_iter()
            .map(|(key, _)| (key.get_ref().clone().into_owned(), self.line_at(key.span().start)))
            .collect();
        for (key, line) in unknown {
            let detail = unknown_key("section", &key, &self.known);
            self.report(line, key, detail);
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort();
        Err(Errors(self.errors))
    }

    pub(super) fn report(&mut self, line: usize, key: String, detail: String) {
        self.errors.push(Error { file: self.file.clone(), line, key, detail });
    }

    pub(super) fn record_line(&mut self, path: String, line: usize) {
        self.lines.insert(path, line);
    }

    pub(super) fn line_at(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().iter().take(offset);
        before.filter(|&&byte| byte == b'\n').count() + 1
    }

    /// The source text of `value`, cut to its first line and
    /// [`MAX_EXCERPT_CHARS`].
    pub(super) fn excerpt(&self, value: &Spanned<DeValue<'i>>) -> String {
        let text = self.text.get(value.span()).unwrap_or_default();
        let line = text.lines().next().unwrap_or_default();
        if line.len() == text.len() && line.chars().count() <= MAX_EXCERPT_CHARS {
            return line.to_owned();
        }
        let short: String = line.chars().take(MAX_EXCERPT_CHARS).collect();
        format!("{short}...")
    }
}

/// The error detail for an unknown key or section. It suggests a known name of
/// similar spelling, or else lists all known ones.
pub(super) fn unknown_key(what: &str, key: &str, known: &[&str]) -> String {
    let nearest = known.iter().map(|&name| (strsim::osa_distance(key, name), name)).min();
    match nearest {
        Some((distance, name)) if distance <= (key.len() / 2).max(2) => {
            format!("unknown {what}; the nearest known one is {name:?}")
        }
        _ => format!("unknown {what}; known are {}", known.join(", ")),
    }
}
