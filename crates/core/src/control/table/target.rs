//! The platform's list, and the announcements of the targets.

use std::collections::BTreeMap;

use super::age::Age;
use crate::{control::request::Source, name::Name, time::Instant, view};

/// The state that a target reported of itself.
///
/// The order of the fields makes a later announcement compare greater: a higher
/// incarnation first, then draining, because a target that drains does not
/// return within its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Announcement {
    /// The start of the target.
    pub incarnation: u64,
    pub draining: bool,
}

/// An announcement as it was received.
#[derive(Clone, Debug)]
pub struct Received {
    pub announcement: Announcement,
    pub at: Instant,
    /// Who passed the announcement on.
    pub source: Source,
}

/// The platform's list, and the announcements of the targets.
#[derive(Debug, Default)]
pub struct Targets {
    /// The VMs as listed.
    pub vms: Vec<view::Vm>,
    /// The targets as listed.
    pub listed: BTreeMap<Name, view::Target>,
    /// Since when each target is listed in its state.
    pub since: BTreeMap<Name, Instant>,
    /// The hash of the list.
    pub digest: u64,
    /// How long ago the list was read from the service.
    pub list_age: Option<Age>,
    /// When another VM may be asked for its list again.
    pub next_list_request: Instant,
    /// The last announcement of each target.
    pub announcements: BTreeMap<Name, Received>,
    /// The targets that are listed as leaving, with the incarnation that was
    /// first known for each, if any. Only an announcement of a newer
    /// incarnation overrules the list.
    pub leaving: BTreeMap<Name, Option<u64>>,
    /// When another VM may be asked for its document again.
    pub next_document_request: Instant,
}

impl Targets {
    /// Replaces the listed targets. A target whose state is unchanged keeps the
    /// time since when it has been in it.
    pub fn set_listed(&mut self, targets: Vec<view::Target>, now: Instant) {
        let since = |target: &view::Target| {
            let old = self.listed.get(&target.name).filter(|old| old.state == target.state);
            old.and_then(|old| self.since.get(&old.name)).copied().unwrap_or(now)
        };
        let since = targets.iter().map(|target| (target.name.clone(), since(target))).collect();
        self.since = since;
        self.listed = targets.into_iter().map(|target| (target.name.clone(), target)).collect();
    }

    /// Whether `target` is leaving according to its announcement or the list.
    pub fn is_leaving(&self, target: &Name) -> bool {
        let announcement = self.announcements.get(target).map(|received| received.announcement);
        if announcement.is_some_and(|announcement| announcement.draining) {
            return true;
        }
        match (self.leaving.get(target), announcement) {
            (None, _) => false,
            (Some(Some(incarnation)), Some(announcement)) => {
                announcement.incarnation <= *incarnation
            }
            (Some(_), _) => true,
        }
    }

    /// The targets as they appear in the view.
    pub fn to_view(&self) -> BTreeMap<Name, view::Target> {
        self.listed.iter().map(|(name, target)| (name.clone(), self.row_to_view(target))).collect()
    }

    fn row_to_view(&self, target: &view::Target) -> view::Target {
        let state = match target.state {
            _ if self.is_leaving(&target.name) => view::State::Leaving,
            view::State::Leaving => view::State::Live,
            state => state,
        };
        view::Target { state, ..target.clone() }
    }
}
