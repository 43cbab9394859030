//! The tables of the control thread.

pub mod age;
pub mod call;
pub mod claim;
pub mod news;
pub mod own;
pub mod publication;
pub mod quarantine;
pub mod source;
pub mod target;
pub mod vm;

use std::{collections::BTreeMap, sync::Arc};

use rand::rngs::StdRng;

use self::{
    age::Age, call::Calls, claim::Claims, news::News, own::Own, publication::Publication,
    quarantine::Quarantine, source::Reader, target::Targets, vm::Vms,
};
use super::RequestId;
use crate::{
    name::Name,
    profile::{Document, Revision},
    view::View,
};

/// The document in force on this VM.
#[derive(Debug)]
pub struct InForce {
    /// The document.
    pub document: Arc<Document>,
    /// How long ago its revision was confirmed against the service.
    pub confirmed: Option<Age>,
}

/// The revision in force on another VM.
#[derive(Clone, Debug)]
pub struct Word {
    /// The revision.
    pub revision: Revision,
    /// How long ago this was so.
    pub heard: Age,
    /// How long before that it was confirmed against the service.
    pub confirmed: Option<std::time::Duration>,
}

/// All tables of the control thread of one VM.
#[derive(Debug)]
pub struct Tables {
    /// This VM.
    pub own: Own,
    /// The other VMs and the probes of them.
    pub vms: Vms,
    /// The platform's list of targets and the words of the targets.
    pub targets: Targets,
    /// The document in force.
    pub in_force: InForce,
    /// The revisions in force on other VMs.
    pub words: BTreeMap<Name, Word>,
    /// The last VM of [`Tables::words`] that was passed on.
    pub cursor: Option<Name>,
    /// Fingerprints of requests that crashed targets.
    pub quarantine: Quarantine,
    /// News to pass on.
    pub gossip: News,
    /// Calls of the platform's service that are under way.
    pub calls: Calls,
    /// The state of reading the profiles from the service.
    pub profiles: Reader,
    /// The state of reading the platform's list from the service.
    pub list: Reader,
    /// Requests of operators that wait for the service.
    pub publications: BTreeMap<RequestId, Publication>,
    /// The source of chance, seeded at the start.
    pub rng: StdRng,
    /// What is handed to the engine of the claims.
    pub claims: Claims,
    /// The view that the traffic threads have.
    pub view: Arc<View>,
    /// Whether the view must be made anew.
    pub changed: bool,
}
