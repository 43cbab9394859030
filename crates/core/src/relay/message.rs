//! Requests, replies and answers as the systems see them.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    digest::{self, Fingerprint},
    fault::Fault,
};

/// A caller's request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Call(pub u64);

/// A header that is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name in lower case.
    pub name: Arc<str>,
    /// The value, which need not be text.
    pub value: Arc<[u8]>,
}

/// What is passed on to a target unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The method.
    pub method: Arc<str>,
    /// The path with its query.
    pub path: Arc<str>,
    /// The headers, without those that concern one connection.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Arc<[u8]>,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The caller's id of this try; targets echo it.
    pub id: Arc<str>,
    /// The host that the caller addressed, in lower case and without a port.
    pub host: Arc<str>,
    /// The path without its query, by which the route is found.
    pub path: Arc<str>,
    /// The time that the caller waits, where it says so.
    pub caller_timeout: Option<Duration>,
    /// The time that the way through another VM takes from the goal.
    pub peer_delay: Duration,
    /// What is passed on.
    pub message: Message,
}

impl CallerRequest {
    /// The fingerprint, equal for a request that is sent again.
    pub fn fingerprint(&self) -> Fingerprint {
        let Message { method, path, body, .. } = &self.message;
        digest::fingerprint(&[method.as_bytes(), self.host.as_bytes(), path.as_bytes(), body])
    }
}

/// How busy a target says it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The requests that run.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
    /// The requests that may run at a time.
    pub slots: u32,
}

/// A whole reply of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers, without those that concern one connection.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Arc<[u8]>,
    /// The digest by which the caller checks the body.
    pub digest: Option<Arc<str>>,
    /// Whether the target says that it did not run the request.
    pub refused: bool,
    /// Whether the target says that it is another one than the one meant.
    pub misdirected: bool,
    /// How busy the target is.
    pub load: Option<Load>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

impl Reply {
    /// Whether the reply is a success that the caller can check.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.digest.is_some()
    }
}

/// What a caller is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The reply of one target, unchanged.
    Forwarded(Box<Reply>),
    /// The merged parts of several shards.
    Gathered(Gathered),
    /// No reply.
    Refused(Refusal),
}

/// The merged parts of several shards of one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gathered {
    /// The digest of each part that is in.
    pub digests: Vec<Arc<str>>,
    /// The shards that are left out.
    pub missing: usize,
    /// The greatest records of the parts, falling.
    pub body: Vec<u8>,
}

/// A refusal with the time after which another try makes sense.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What went wrong.
    pub fault: Fault,
    /// When to come back, for a request that was not run.
    pub retry: Option<Duration>,
}
