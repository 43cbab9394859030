//! The JSON encoding of calls and replies of the platform's service.
//!
//! A call is the body of `POST /v1/call` and a reply the body of its answer.
//! Values are raw bytes in Base64.

use std::time::Duration;

use laburnum_core::{
    store::{self, LeaseId, Version},
    view,
};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, base64::Base64, serde_as};

/// The largest value that a key holds, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// The largest encoded call, in bytes: a value in Base64 with room for its key.
pub const MAX_CALL: usize = 2 << 20;

/// The path of calls.
pub const CALL_PATH: &str = "/v1/call";

/// The header that names the VM that makes a call.
pub const VM_HEADER: &str = "x-vm";

/// An encoded call; see [`store::Call`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Call {
    /// See [`store::Call::Get`].
    Get { key: String },
    /// See [`store::Call::Scan`].
    Scan { prefix: String },
    /// See [`store::Call::Swap`].
    Swap {
        key: String,
        expect: Option<Version>,
        #[serde_as(as = "Base64")]
        value: Vec<u8>,
        lease: Option<LeaseId>,
    },
    /// See [`store::Call::Remove`].
    Remove { key: String, expect: Version },
    /// See [`store::Call::Grant`].
    Grant {
        #[serde(rename = "ttl_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        ttl: Duration,
    },
    /// See [`store::Call::Keep`].
    Keep { lease: LeaseId },
    /// See [`store::Call::Watch`].
    Watch {
        prefix: String,
        after: u64,
        #[serde(rename = "wait_ms")]
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait: Duration,
    },
    /// See [`store::Call::List`].
    List,
}

/// An encoded key with its value; see [`store::Entry`].
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// See [`store::Entry::key`].
    pub key: String,
    /// See [`store::Entry::version`].
    pub version: Version,
    /// See [`store::Entry::value`].
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
}

/// An encoded reply; see [`store::Reply`].
///
/// There is no encoding of [`store::Reply::Lost`]: it is what a client
/// concludes from the lack of a reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// See [`store::Reply::Value`].
    Value { entry: Option<Entry>, change: u64 },
    /// See [`store::Reply::Entries`].
    Entries { entries: Vec<Entry>, change: u64 },
    /// See [`store::Reply::Swapped`].
    Swapped { version: Version },
    /// See [`store::Reply::Conflict`].
    Conflict { current: Option<Entry> },
    /// See [`store::Reply::Removed`].
    Removed,
    /// See [`store::Reply::Leased`].
    Leased { lease: LeaseId },
    /// See [`store::Reply::Lapsed`].
    Lapsed,
    /// See [`store::Reply::Changed`].
    Changed { entries: Vec<Entry>, removed: Vec<String>, change: u64 },
    /// See [`store::Reply::Listed`].
    Listed { vms: Vec<view::Vm>, targets: Vec<view::Target> },
    /// See [`store::Reply::Refused`].
    Refused { detail: String },
}

impl From<store::Call> for Call {
    fn from(call: store::Call) -> Call {
        match call {
            store::Call::Get { key } => Call::Get { key },
            // The service has no cheaper reading.
            store::Call::Scan { prefix } | store::Call::Peek { prefix } => Call::Scan { prefix },
            store::Call::Swap { key, expect, value, lease } => {
                Call::Swap { key, expect, value, lease }
            }
            store::Call::Remove { key, expect } => Call::Remove { key, expect },
            store::Call::Grant { ttl } => Call::Grant { ttl },
            store::Call::Keep { lease } => Call::Keep { lease },
            store::Call::Watch { prefix, after, wait } => Call::Watch { prefix, after, wait },
            store::Call::List => Call::List,
        }
    }
}

impl From<Call> for store::Call {
    fn from(call: Call) -> store::Call {
        match call {
            Call::Get { key } => store::Call::Get { key },
            Call::Scan { prefix } => store::Call::Scan { prefix },
            Call::Swap { key, expect, value, lease } => {
                store::Call::Swap { key, expect, value, lease }
            }
            Call::Remove { key, expect } => store::Call::Remove { key, expect },
            Call::Grant { ttl } => store::Call::Grant { ttl },
            Call::Keep { lease } => store::Call::Keep { lease },
            Call::Watch { prefix, after, wait } => store::Call::Watch { prefix, after, wait },
            Call::List => store::Call::List,
        }
    }
}

impl From<store::Entry> for Entry {
    fn from(entry: store::Entry) -> Entry {
        Entry { key: entry.key, version: entry.version, value: entry.value }
    }
}

impl From<Entry> for store::Entry {
    fn from(entry: Entry) -> store::Entry {
        store::Entry { key: entry.key, version: entry.version, value: entry.value }
    }
}

impl From<Reply> for store::Reply {
    fn from(reply: Reply) -> store::Reply {
        match reply {
            Reply::Value { entry, change } => {
                store::Reply::Value { entry: entry.map(store::Entry::from), change }
            }
            Reply::Entries { entries, change } => {
                store::Reply::Entries { entries: convert(entries), change }
            }
            Reply::Swapped { version } => store::Reply::Swapped { version },
            Reply::Conflict { current } => {
                store::Reply::Conflict { current: current.map(store::Entry::from) }
            }
            Reply::Removed => store::Reply::Removed,
            Reply::Leased { lease } => store::Reply::Leased { lease },
            Reply::Lapsed => store::Reply::Lapsed,
            Reply::Changed { entries, removed, change } => {
                store::Reply::Changed { entries: convert(entries), removed, change }
            }
            Reply::Listed { vms, targets } => store::Reply::Listed { vms, targets },
            Reply::Refused { detail } => store::Reply::Refused { detail },
        }
    }
}

/// The error of encoding [`store::Reply::Lost`], which no service sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unsendable;

impl TryFrom<store::Reply> for Reply {
    type Error = Unsendable;

    fn try_from(reply: store::Reply) -> Result<Reply, Unsendable> {
        Ok(match reply {
            store::Reply::Value { entry, change } => {
                Reply::Value { entry: entry.map(Entry::from), change }
            }
            store::Reply::Entries { entries, change } => {
                Reply::Entries { entries: convert(entries), change }
            }
            store::Reply::Swapped { version } => Reply::Swapped { version },
            store::Reply::Conflict { current } => {
                Reply::Conflict { current: current.map(Entry::from) }
            }
            store::Reply::Removed => Reply::Removed,
            store::Reply::Leased { lease } => Reply::Leased { lease },
            store::Reply::Lapsed => Reply::Lapsed,
            store::Reply::Changed { entries, removed, change } => {
                Reply::Changed { entries: convert(entries), removed, change }
            }
            store::Reply::Listed { vms, targets } => Reply::Listed { vms, targets },
            store::Reply::Refused { detail } => Reply::Refused { detail },
            store::Reply::Outdated | store::Reply::Lost { .. } => return Err(Unsendable),
        })
    }
}

fn convert<A, B: From<A>>(entries: Vec<A>) -> Vec<B> {
    entries.into_iter().map(B::from).collect()
}
