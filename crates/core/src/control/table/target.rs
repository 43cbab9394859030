//! The platform's list and the words of the targets.

use std::collections::BTreeMap;

use super::age::Age;
use crate::{control::request::Source, name::Name, time::Instant, view};

/// What a target last said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Word {
    /// The start of the target.
    pub incarnation: u64,
    /// Whether it is leaving. Within one incarnation a target does not return.
    pub draining: bool,
}

/// A word with the time at which it was heard.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The word.
    pub word: Word,
    /// When it was heard.
    pub at: Instant,
    /// Who said it.
    pub source: Source,
}

/// The platform's list and the words of the targets.
#[derive(Debug, Default)]
pub struct Targets {
    /// The VMs as listed.
    pub vms: Vec<view::Vm>,
    /// The targets as listed.
    pub listed: BTreeMap<Name, view::Target>,
    /// Since when each target is listed in its state.
    pub since: BTreeMap<Name, Instant>,
    /// The digest of the list.
    pub digest: u64,
    /// How long ago the list was read.
    pub list_age: Option<Age>,
    /// When the list may be asked of another VM again.
    pub ask: Instant,
    /// The words of the targets.
    pub words: BTreeMap<Name, Heard>,
    /// The targets that are listed as leaving, with the incarnation in which
    /// they were first seen so, if it is known. Only a newer one overrules it.
    pub leaving: BTreeMap<Name, Option<u64>>,
    /// When the documents may be asked of another VM again.
    pub ask_document: Instant,
}

impl Targets {
    /// Replaces the targets as listed.
    pub fn list(&mut self, targets: Vec<view::Target>, now: Instant) {
        let since = |target: &view::Target| {
            let old = self.listed.get(&target.name).filter(|old| old.state == target.state);
            old.and_then(|old| self.since.get(&old.name)).copied().unwrap_or(now)
        };
        let since = targets.iter().map(|target| (target.name.clone(), since(target))).collect();
        self.since = since;
        self.listed = targets.into_iter().map(|target| (target.name.clone(), target)).collect();
    }

    /// Whether `target` is leaving by its own word or by the list.
    pub fn is_leaving(&self, target: &Name) -> bool {
        let word = self.words.get(target).map(|heard| heard.word);
        if word.is_some_and(|word| word.draining) {
            return true;
        }
        match (self.leaving.get(target), word) {
            (None, _) => false,
            (Some(Some(incarnation)), Some(word)) => word.incarnation <= *incarnation,
            (Some(_), _) => true,
        }
    }

    /// The targets as the view shows them.
    pub fn shown(&self) -> BTreeMap<Name, view::Target> {
        self.listed.iter().map(|(name, target)| (name.clone(), self.show(target))).collect()
    }

    fn show(&self, target: &view::Target) -> view::Target {
        let state = match target.state {
            _ if self.is_leaving(&target.name) => view::State::Leaving,
            view::State::Leaving => view::State::Live,
            state => state,
        };
        view::Target { state, ..target.clone() }
    }
}
