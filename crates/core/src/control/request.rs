//! Requests of operators to the control thread, and the answers.

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

/// Matches an answer to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a publication whose outcome is not known, so that an operator can
/// ask for it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The revision that the publication replaces.
    pub base: Revision,
    /// The revision that the publication gets if it takes effect.
    pub revision: Revision,
    /// The token in the stored record.
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
    /// Finds out whether a publication that was answered by
    /// [`Answer::Unsettled`] took effect, and prevents it from doing so later
    /// if it did not.
    Settle { token: Token },
    /// Reads the document in force at the platform's service, or on this VM
    /// when the service cannot be reached.
    Show,
    /// Compares profiles with those in force, without a change.
    Diff { profiles: BTreeMap<Name, Profile> },
    /// Reads the audit records of all publications that are kept.
    History,
    /// Reads which revision is in force on which VM.
    Status,
    /// Lists the VMs that this VM knows.
    Vms,
    /// Lists the targets that this VM knows.
    Targets,
}

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    pub profile: Name,
    /// The field that differs, or `None` if only one document has the profile.
    pub field: Option<String>,
    pub before: Option<String>,
    pub after: Option<String>,
}

/// The audit record of a publication, with the changes that it made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    pub revision: Revision,
    /// The operator who published the revision.
    pub who: String,
    /// The time of publication by the clock of the publishing VM.
    pub at: Wall,
    /// The purpose of the publication, such as a rollback.
    pub note: String,
    /// The differences from the previous revision, if that is still kept.
    pub changes: Option<Vec<Difference>>,
}

/// The revision in force on a VM, as far as the VM that answers knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    pub vm: Name,
    /// The revision, or `None` if the VM has not reported any.
    pub revision: Option<Revision>,
    /// How long ago the VM reported the revision.
    pub heard: Option<Duration>,
    /// How long ago the VM's revision was confirmed against the platform's
    /// service.
    pub confirmed: Option<Duration>,
    /// Whether there is no report or the last one is older than
    /// [`Limits::silent_after`](super::Limits::silent_after).
    pub silent: bool,
}

/// How far the revision of the VM that answers is in force on other VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The revision in force on this VM.
    pub revision: Revision,
    /// The number of VMs, with this one, that are known to have this revision
    /// or a higher one.
    pub in_force: usize,
    /// One entry for each VM.
    pub vms: Vec<InForce>,
}

/// Where the state of a VM or target was learnt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// From the platform's list.
    List,
    /// From a message of this VM.
    Peer(Name),
    /// From a traffic thread or a probe of the VM that answers.
    Own,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The publication took effect under this revision.
    Accepted { revision: Revision, changes: Vec<Difference> },
    /// The publication took no effect and never will, because another one is in
    /// force. `changes` are the differences from that one to the profiles of the
    /// request.
    Conflict { winner: Revision, who: String, changes: Vec<Difference> },
    /// It is not known whether the publication took or will take effect.
    Unsettled { token: Token },
    /// The publication named by the token of the request took no effect and
    /// never will.
    NotPublished { current: Revision },
    /// The answer to a dry run: the revision and the changes of the publication
    /// that would follow.
    Planned { revision: Revision, changes: Vec<Difference> },
    /// The document in force. `confirmed` tells whether it was read from the
    /// platform's service for this request.
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
    /// The request was refused or failed without any change.
    Failed(Fault),
}

/// Lists the differences from the profiles `before` to the profiles `after`,
/// sorted by profile.
pub fn difference(
    before: &BTreeMap<Name, Profile>,
    after: &BTreeMap<Name, Profile>,
) -> Vec<Difference> {
    let mut names: Vec<&Name> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .flat_map(|name| profile_difference(name, before.get(name), after.get(name)))
        .collect()
}

fn profile_difference(
    name: &Name,
    before: Option<&Profile>,
    after: Option<&Profile>,
) -> Vec<Difference> {
    let (Some(old), Some(new)) = (before, after) else {
        return presence_difference(name, before.is_some(), after.is_some());
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

fn presence_difference(name: &Name, before: bool, after: bool) -> Vec<Difference> {
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
