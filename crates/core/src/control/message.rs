//! Messages between the control threads of VMs.
//!
//! They are typed here and encoded elsewhere. Ages and limits travel as
//! durations, because the clocks of two VMs do not agree.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    claims,
    digest::Fingerprint,
    id::Origin,
    name::Name,
    profile::{Document, Revision},
    view::{Target, Vm},
};

/// Whether a VM answers probes.
///
/// Within one incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    Live,
    /// The VM did not answer a probe, and is gone unless it refutes this in
    /// time.
    Suspect,
    /// The VM stayed suspect for longer than the suspicion timeout.
    Gone,
}

/// The failure domain and the addresses of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    pub domain: Name,
    pub control: SocketAddr,
    /// One address for each traffic thread.
    pub traffic: Vec<SocketAddr>,
}

/// The state of a VM, as one VM reports it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub vm: Name,
    /// The start of the VM to which the state applies.
    pub incarnation: u64,
    pub health: Health,
    /// Whether the VM is shutting down.
    pub leaving: bool,
    pub contact: Contact,
}

/// A state change that VMs pass on to each other by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// The state of a VM changed.
    Member(Member),
    /// A target announced in this incarnation whether it is draining.
    Announcement { target: Name, incarnation: u64, draining: bool },
    /// A target was lost while it ran a request with this fingerprint. The fact
    /// is forgotten after `remaining`.
    Suspect { fingerprint: Fingerprint, target: Name, origin: Origin, remaining: Duration },
    /// Requests with this fingerprint are refused for the `remaining` time.
    Quarantined { fingerprint: Fingerprint, origin: Origin, remaining: Duration },
}

/// The revision in force on a VM, as it was last reported to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionReport {
    pub vm: Name,
    pub revision: Revision,
    /// How long ago the revision was reported by the VM itself.
    pub heard: Duration,
    /// How long before `heard` the VM had confirmed the revision against the
    /// platform's service, if ever.
    pub confirmed: Option<Duration>,
}

/// A summary of the document and the list that the sender holds. The receiver
/// asks for either one if its own is older.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    pub revision: Revision,
    /// How long ago the revision was confirmed against the platform's service,
    /// if ever.
    pub confirmed: Option<Duration>,
    /// The hash of the platform's list.
    pub list: u64,
    /// How long ago the list was read from the service, if ever.
    pub listed: Option<Duration>,
}

/// The purpose of a message and the data that only this purpose needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Is answered by [`Body::Ack`] with the same probe number.
    Ping { probe: u64 },
    /// Answers a ping.
    Ack { probe: u64 },
    /// Asks the receiver to ping `vm` on behalf of the sender.
    PingFor { probe: u64, vm: Name, address: SocketAddr },
    /// A message of the claims engine, passed on as it is.
    Claims(claims::Message),
    /// Has no purpose of its own: every message carries gossip in its `items`.
    Gossip,
    /// Asks for the document in force.
    AskDocument,
    /// Answers [`Body::AskDocument`].
    Document(Arc<Document>),
    /// Asks for the platform's list of VMs and targets.
    AskList,
    /// Answers [`Body::AskList`]. The digest of the message has the age of the
    /// list.
    List { vms: Vec<Vm>, targets: Vec<Target> },
    /// Is answered by [`Body::State`] if the soft state of the receiver has
    /// another hash than that of the sender.
    Compare { digest: u64 },
    /// The soft state of the sender: draining targets and quarantined or suspect
    /// fingerprints. The receiver answers with its own if `wants_reply` is set.
    State { items: Vec<Item>, wants_reply: bool },
}

/// A message from one control thread to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub from: Name,
    /// The start of the sender.
    pub incarnation: u64,
    pub digest: Digest,
    /// State changes passed on by gossip.
    pub items: Vec<Item>,
    /// Some of the revisions in force on other VMs; successive messages go
    /// through all of them.
    pub revisions: Vec<RevisionReport>,
    pub body: Body,
}
