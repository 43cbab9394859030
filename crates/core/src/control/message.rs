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

/// Whether a VM answers probes; a later variant overrides an earlier one of the
/// same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// It answers.
    Live,
    /// It did not answer and may be gone.
    Suspect,
    /// It did not answer for too long.
    Gone,
}

/// Where a VM is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its failure domain.
    pub domain: Name,
    /// The address of its control thread.
    pub control: SocketAddr,
    /// The addresses of its traffic threads.
    pub traffic: Vec<SocketAddr>,
}

/// What is said of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: Name,
    /// The start that this is said of.
    pub incarnation: u64,
    /// Whether it answers.
    pub health: Health,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Where it is reached.
    pub contact: Contact,
}

/// A piece of news that is passed on a bounded number of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A VM changed.
    Member(Member),
    /// A target said in this incarnation whether it is draining.
    Word { target: Name, incarnation: u64, draining: bool },
    /// A target was lost while it ran a request of this fingerprint.
    Suspect { fingerprint: Fingerprint, target: Name, origin: Origin, remaining: Duration },
    /// A fingerprint is held back for the time that remains.
    Condemned { fingerprint: Fingerprint, origin: Origin, remaining: Duration },
}

/// The revision in force on a VM, as heard this long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The VM.
    pub vm: Name,
    /// The revision.
    pub revision: Revision,
    /// How long ago this was so.
    pub heard: Duration,
    /// How long before that it was confirmed against the service, if ever.
    pub confirmed: Option<Duration>,
}

/// What the sender holds, by which the receiver knows whether to ask for more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The revision in force.
    pub revision: Revision,
    /// How long ago it was confirmed against the service, if ever.
    pub confirmed: Option<Duration>,
    /// The digest of the platform's list.
    pub list: u64,
    /// How long ago the list was read, if ever.
    pub listed: Option<Duration>,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping { probe: u64 },
    /// Answers a ping.
    Ack { probe: u64 },
    /// Asks the receiver to ping `vm` on behalf of the sender.
    PingFor { probe: u64, vm: Name, address: SocketAddr },
    /// Claims for the right to run operations, and what belongs to them.
    Claims(claims::Message),
    /// Carries news only.
    News,
    /// Asks for the document.
    AskDocument,
    /// The document in force.
    Document(Arc<Document>),
    /// Asks for the platform's list.
    AskList,
    /// The platform's list.
    List { vms: Vec<Vm>, targets: Vec<Target> },
    /// Asks for all soft state if that of the sender has another digest.
    Compare { digest: u64 },
    /// Soft state; `back` asks for that of the receiver.
    State { items: Vec<Item>, back: bool },
}

/// A message from one control thread to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Name,
    /// The start of the sender.
    pub incarnation: u64,
    /// What the sender holds.
    pub digest: Digest,
    /// News.
    pub items: Vec<Item>,
    /// Some of the revisions in force.
    pub rows: Vec<Row>,
    /// What the message is for.
    pub body: Body,
}
