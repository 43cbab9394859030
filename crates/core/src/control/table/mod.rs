//! The tables of the control thread.

pub mod age;
pub mod call;
pub mod claim;
pub mod gossip;
pub mod own;
pub mod publication;
pub mod quarantine;
pub mod reader;
pub mod restore;
pub mod target;
pub mod vm;

use std::{collections::BTreeMap, sync::Arc};

use rand::rngs::StdRng;
use uuid::Uuid;

use self::{
    age::Age, call::Calls, claim::Claims, gossip::Gossip, own::Own, publication::Publication,
    quarantine::Quarantine, reader::Reader, restore::Restore, target::Targets, vm::Vms,
};
use super::RequestId;
use crate::{
    name::Name,
    profile::{Document, Revision},
    time::{Instant, Wall},
    view::View,
};

/// The document in force on this VM, with the age of its confirmation.
#[derive(Debug)]
pub struct InForce {
    pub document: Arc<Document>,
    /// How long ago the revision was confirmed against the platform's service.
    pub confirmed: Option<Age>,
    /// When the document came into force on this VM.
    pub since: Instant,
    /// The publication of the document, unless this VM learnt it from another one only.
    pub origin: Option<Origin>,
    /// The document that the platform's service held when this VM last read it.
    pub stored: Document,
}

impl InForce {
    /// Whether the service was not yet seen to hold the document, has lost it, or holds
    /// another one under its revision.
    pub fn is_ahead(&self) -> bool {
        self.document.revision > self.stored.revision || self.is_disputed(&self.stored)
    }

    /// Whether a document that the service holds has the revision of this one, which a
    /// VM that does not know what the service has lost may give out again.
    pub fn is_disputed(&self, stored: &Document) -> bool {
        self.document.revision == stored.revision && *self.document != *stored
    }
}

/// The publication that a document comes from.
#[derive(Clone, Debug)]
pub struct Origin {
    pub token: Uuid,
    pub who: String,
    pub at: Wall,
    pub note: String,
}

/// The revision in force on another VM.
#[derive(Clone, Debug)]
pub struct PeerRevision {
    pub revision: Revision,
    /// How long ago the VM reported the revision.
    pub heard: Age,
    /// How long before `heard` the VM had confirmed the revision against the
    /// platform's service.
    pub confirmed: Option<std::time::Duration>,
}

/// The tables of the control thread of one VM.
#[derive(Debug)]
pub struct Tables {
    /// This VM.
    pub own: Own,
    /// The other VMs, and the probes that check whether they answer.
    pub vms: Vms,
    /// The platform's list, and the announcements of the targets.
    pub targets: Targets,
    pub in_force: InForce,
    /// The revisions in force on other VMs.
    pub peer_revisions: BTreeMap<Name, PeerRevision>,
    /// The VM of [`Tables::peer_revisions`] with which the last message ended.
    pub revision_cursor: Option<Name>,
    /// The fingerprints of requests that crashed targets.
    pub quarantine: Quarantine,
    /// The state changes to pass on to other VMs.
    pub gossip: Gossip,
    /// The calls of the platform's service that have no reply yet.
    pub calls: Calls,
    /// The state of reading the profiles from the service.
    pub profiles: Reader,
    /// The document in force that the service has lost.
    pub restore: Option<Restore>,
    /// The state of reading the platform's list from the service.
    pub list: Reader,
    /// The requests of operators that wait for the service.
    pub publications: BTreeMap<RequestId, Publication>,
    /// Seeded at the start, so that a run can be repeated.
    pub rng: StdRng,
    /// The inputs of the claims engine.
    pub claims: Claims,
    /// The view that was last sent to the traffic threads.
    pub view: Arc<View>,
    /// Whether the view must be built again and sent.
    pub view_changed: bool,
}
