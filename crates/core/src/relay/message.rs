//! Requests, replies and answers, independent of any protocol.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    digest::{self, Fingerprint},
    fault::Fault,
};

/// The id of a caller's request that has not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call(pub u64);

/// A header that is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: Arc<str>,
    /// The value, which may not be valid UTF-8.
    pub value: Arc<[u8]>,
}

/// The part of a request that is forwarded to a target unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub method: Arc<str>,
    /// The path with its query string.
    pub path: Arc<str>,
    /// The headers, without those that apply to a single connection.
    pub headers: Vec<Header>,
    pub body: Bytes,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The caller's id of this attempt; targets echo it.
    pub id: Arc<str>,
    /// The host that the caller addressed, in lower case and without the port.
    pub host: Arc<str>,
    /// The path without its query string, which selects the route.
    pub path: Arc<str>,
    /// How long the caller waits for an answer, if it states that.
    pub caller_timeout: Option<Duration>,
    /// The part of the goal that is spent on the way through another VM.
    pub peer_delay: Duration,
    /// The oldest version of the routes that may serve the request. The VM that handed it
    /// over has served newer ones, and must not go back.
    pub min_version: u64,
    pub message: Message,
}

impl CallerRequest {
    /// Returns the fingerprint, which is the same when a request is sent again.
    pub fn fingerprint(&self) -> Fingerprint {
        let Message { method, path, body, .. } = &self.message;
        digest::fingerprint(&[method.as_bytes(), self.host.as_bytes(), path.as_bytes(), body])
    }
}

/// The load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of requests in its queue.
    pub waiting: u32,
    /// The number of requests that it can run at a time.
    pub slots: u32,
}

/// A complete reply of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    pub status: u16,
    /// The headers, without those that apply to a single connection.
    pub headers: Vec<Header>,
    pub body: Bytes,
    /// The digest with which the caller checks the body.
    pub digest: Option<Arc<str>>,
    /// Whether the target states that it did not run the request.
    pub refused: bool,
    /// Whether the target states that it is not the one the request was meant for.
    pub misdirected: bool,
    pub load: Option<Load>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
    /// What the target says about further requests of this VM. It concerns only the VM
    /// that sent the request, so it is not passed on to others.
    #[serde(skip)]
    pub notice: Notice,
}

/// What a target says in a reply about further requests of the same VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target is leaving and must get no new work.
    pub is_leaving: bool,
    /// How long the target wants no request.
    pub pause: Option<Duration>,
}

impl Reply {
    /// Returns whether the reply is a success with a digest for the caller to check.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.digest.is_some()
    }

    /// Returns whether the reply is a failure that may be passed on. A success without a
    /// digest, an interim status, or one of no class of HTTP is no reply of a target that works.
    /// A status that tells the caller that the request was not run counts only in a refusal,
    /// which is not passed on.
    pub fn is_failure(&self) -> bool {
        (300..600).contains(&self.status) && !matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The reply of one target, unchanged.
    Forwarded(Box<Reply>),
    /// The merged parts of several shards.
    Gathered(Gathered),
    /// A refusal by this tier, without a reply of a target.
    Refused(Refusal),
}

/// The merged parts of several shards of one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gathered {
    /// The digest of each part in the answer.
    pub digests: Vec<Arc<str>>,
    /// The number of shards without a part in the answer.
    pub missing: usize,
    /// The greatest records of all parts, in descending order.
    pub body: Vec<u8>,
}

/// A refusal, with the time after which the caller may retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub fault: Fault,
    /// The time to wait before a retry, for a request that was not run.
    pub retry: Option<Duration>,
}
