//! Profile documents: reads `[profile.NAME]` tables into checked profiles.

use std::{collections::BTreeMap, path::Path, time::Duration};

use laburnum_core::{
    name::Name,
    profile::{Document as Published, Profile, Raw, Revision},
};
use toml::{Spanned, de::DeValue};

use super::{Source, document::Document, error::Errors, read, section::Section};

/// The profiles of a file. They have no revision until they are published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profiles(pub BTreeMap<Name, Profile>);

impl Profiles {
    /// Reads and checks the profiles in `file`.
    pub fn load(file: &Path) -> Result<Profiles, Errors> {
        let text = read(file)?;
        Profiles::try_from(Source { file, text: &text })
    }

    /// Makes a published document of the profiles, with `revision`.
    pub fn document(self, revision: Revision) -> Published {
        Published { revision, profiles: self.0 }
    }
}

impl TryFrom<Source<'_>> for Profiles {
    type Error = Errors;

    fn try_from(source: Source<'_>) -> Result<Profiles, Errors> {
        let file = source.file.display().to_string();
        let mut document = Document::new(&file, source.text);
        let mut profiles = BTreeMap::new();
        for (name, line, table) in document.subsections("profile") {
            profiles.extend(entry(&mut document, &name, line, table));
        }
        document.finish()?;
        Ok(Profiles(profiles))
    }
}

fn entry<'i>(
    document: &mut Document<'i>,
    text: &str,
    line: usize,
    table: Spanned<DeValue<'i>>,
) -> Option<(Name, Profile)> {
    let path = format!("profile.{text}");
    let name = Name::try_from(text);
    if let Err(error) = &name {
        document.report(line, path.clone(), error.to_string());
    }
    let mut section = document.open(path, line, table);
    let profile = profile(&mut section);
    section.finish();
    Some((name.ok()?, profile?))
}

fn profile(section: &mut Section<'_, '_>) -> Option<Profile> {
    const MILLIS_FORMAT: &str = "a whole number of milliseconds";
    const COUNT_FORMAT: &str = "a whole number";
    let millis = |n: u64| Ok::<_, String>(Duration::from_millis(n));
    let team = section.value("team", "a name");
    let index = section.value("index", "a name");
    let coverage_ppm = section.value("coverage_ppm", COUNT_FORMAT);
    let deadline = section.checked("deadline_ms", MILLIS_FORMAT, millis);
    let tail = section.checked("tail_ms", MILLIS_FORMAT, millis);
    let extra_load_ppm = section.value("extra_load_ppm", COUNT_FORMAT);
    let concurrency = section.value("concurrency", COUNT_FORMAT);
    let priority = section.value("priority", COUNT_FORMAT);
    let canary = section.flag("canary", laburnum_core::profile::default_canary());
    let raw = Raw {
        team: team?,
        index: index?,
        coverage_ppm: coverage_ppm?,
        deadline: deadline?,
        tail: tail?,
        extra_load_ppm: extra_load_ppm?,
        concurrency: concurrency?,
        priority: priority?,
        canary,
    };
    check(section, raw)
}

/// Checks `raw` and reports each invalid key. A reported key is set to an
/// allowed value, so that the next check finds the next invalid key.
fn check(section: &mut Section<'_, '_>, mut raw: Raw) -> Option<Profile> {
    let mut is_valid = true;
    loop {
        let error = match Profile::try_from(raw.clone()) {
            Ok(profile) => return is_valid.then_some(profile),
            Err(error) => error,
        };
        section.report(error.key, error.detail);
        is_valid = false;
        match error.key {
            "team" => raw.team = "any".to_owned(),
            "index" => raw.index = "any".to_owned(),
            "coverage_ppm" => raw.coverage_ppm = 1,
            "deadline_ms" => raw.deadline = laburnum_core::profile::MAX_DEADLINE,
            "tail_ms" => raw.tail = Duration::from_millis(1),
            "extra_load_ppm" => raw.extra_load_ppm = 1,
            "concurrency" => raw.concurrency = 1,
            "priority" => raw.priority = 1,
            _ => return None,
        }
    }
}
