//! What operators ask of the control thread, and its answers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    control::listing,
    fault::Fault,
    name::Name,
    profile::{Document, Profile, Raw, Revision},
    time::Wall,
};

/// The id of a request, by which its answer is matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Names a publication whose outcome is not settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The revision that the publication replaces.
    pub base: Revision,
    /// The revision that it would have.
    pub revision: Revision,
    /// The token that stands in the stored value.
    pub id: Uuid,
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Publishes profiles as a new revision if `expect` is in force, or if no
    /// other publication comes between when `expect` is not given. Only
    /// profiles of `team` may change.
    Publish {
        profiles: BTreeMap<Name, Profile>,
        expect: Option<Revision>,
        who: String,
        team: Name,
        dry_run: bool,
    },
    /// Publishes the profiles of an earlier revision as a new one. Only
    /// profiles of `team` may change.
    Rollback { to: Revision, expect: Option<Revision>, who: String, team: Name },
    /// Settles a publication that was answered by [`Answer::Unsettled`].
    Settle { token: Token },
    /// Reads the document in force at the platform's service, or on this VM
    /// when the service cannot be reached.
    Show,
    /// Compares profiles with those in force.
    Diff { profiles: BTreeMap<Name, Profile> },
    /// Reads the audit records.
    History,
    /// Tells which revision is in force on which VM.
    Status,
    /// Reads the VMs as this one knows them.
    Vms,
    /// Reads the targets as this VM knows them.
    Targets,
}

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The profile.
    pub profile: Name,
    /// The field, or nothing if the profile stands in one document only.
    pub field: Option<String>,
    /// The value in the first document.
    pub before: Option<String>,
    /// The value in the second document.
    pub after: Option<String>,
}

/// An audit record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// The revision.
    pub revision: Revision,
    /// Who published it.
    pub who: String,
    /// When it was published.
    pub at: Wall,
    /// What it was made for.
    pub note: String,
    /// What changed against the record before it, if that is still kept.
    pub changes: Option<Vec<Difference>>,
}

/// The revision in force on a VM, as this one last heard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The VM.
    pub vm: Name,
    /// The revision, or none if nothing was heard.
    pub revision: Option<Revision>,
    /// How long ago this was so.
    pub heard: Option<Duration>,
    /// How long ago the VM's revision was confirmed against the service.
    pub confirmed: Option<Duration>,
    /// Whether the word is older than the limit for silence.
    pub silent: bool,
}

/// Where a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The revision in force on this VM.
    pub revision: Revision,
    /// The number of VMs that are known to have it or a higher one.
    pub in_force: usize,
    /// One row for each VM.
    pub vms: Vec<InForce>,
}

/// Who said that a VM or target is in its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The platform's list.
    List,
    /// A message of another VM.
    Peer(Name),
    /// A traffic thread or a probe of this VM.
    Own,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The publication took effect under this revision.
    Accepted { revision: Revision, changes: Vec<Difference> },
    /// The publication took no effect and never will: another one is in force.
    /// `changes` lead from it to what was to be published.
    Conflict { winner: Revision, who: String, changes: Vec<Difference> },
    /// It is not known whether the publication took or will take effect.
    Unsettled { token: Token },
    /// The publication that was asked for took no effect and never will.
    NotPublished { current: Revision },
    /// A dry run: what a publication would do.
    Planned { revision: Revision, changes: Vec<Difference> },
    /// The document in force, and whether the service confirmed it just now.
    Document { document: Arc<Document>, confirmed: bool },
    /// The answer to [`Request::Diff`].
    Changes { revision: Revision, changes: Vec<Difference> },
    /// The audit records, oldest first.
    History(Vec<Audit>),
    /// The answer to [`Request::Status`].
    Status(Status),
    /// The answer to [`Request::Vms`].
    Vms(Vec<listing::Vm>),
    /// The answer to [`Request::Targets`].
    Targets(Vec<listing::Target>),
    /// The request was refused or failed, and changed nothing.
    Failed(Fault),
}

/// Lists what leads from the profiles `before` to the profiles `after`.
pub fn difference(
    before: &BTreeMap<Name, Profile>,
    after: &BTreeMap<Name, Profile>,
) -> Vec<Difference> {
    let mut names: Vec<&Name> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    names.into_iter().flat_map(|name| one(name, before.get(name), after.get(name))).collect()
}

fn one(name: &Name, before: Option<&Profile>, after: Option<&Profile>) -> Vec<Difference> {
    let (Some(old), Some(new)) = (before, after) else {
        return whole(name, before.is_some(), after.is_some());
    };
    fields(old)
        .into_iter()
        .zip(fields(new))
        .filter(|(old, new)| old != new)
        .map(|((field, old), (_, new))| Difference {
            profile: name.clone(),
            field: Some(field.to_owned()),
            before: Some(old),
            after: Some(new),
        })
        .collect()
}

fn whole(name: &Name, before: bool, after: bool) -> Vec<Difference> {
    let text = |present: bool| present.then(|| "present".to_owned());
    let (before, after) = (text(before), text(after));
    vec![Difference { profile: name.clone(), field: None, before, after }]
}

fn fields(profile: &Profile) -> [(&'static str, String); 9] {
    let raw = Raw::from(profile.clone());
    [
        ("team", raw.team),
        ("index", raw.index),
        ("coverage_ppm", raw.coverage_ppm.to_string()),
        ("deadline_ms", raw.deadline.as_millis().to_string()),
        ("tail_ms", raw.tail.as_millis().to_string()),
        ("extra_load_ppm", raw.extra_load_ppm.to_string()),
        ("concurrency", raw.concurrency.to_string()),
        ("priority", raw.priority.to_string()),
        ("canary", raw.canary.to_string()),
    ]
}
