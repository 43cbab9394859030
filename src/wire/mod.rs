//! Messages between VMs: h2 streams that carry bincode.
//!
//! Traffic between two lanes is two one-way streams, one for each direction,
//! each over a TCP connection that its sender dials. A [`Dialer`] sends and
//! [`listen()`] receives. Nothing is promised to arrive: what is lost with a
//! connection is reported by [`Lost`] and the decisions cope with it.
//!
//! Queues and frames are bounded on both sides. A peer that takes no bytes or
//! answers no ping for a limit loses its connection; see [`Limits`].

use std::time::Duration;

use laburnum_core::{control, message::Message, relay::Hop, view::Lane};
use serde::{Deserialize, Serialize};

pub mod codec;
pub mod key;
mod backoff;
mod dialer;
mod hello;
mod inbound;
mod outbound;
mod ping;

pub use dialer::Dialer;
pub use inbound::{Admission, listen};
pub use key::{Digest, Key};

/// What a frame carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A message between traffic threads.
    Traffic(Message),
    /// A message between control threads.
    Control(Box<control::Message>),
    /// A message between VMs that forward requests by route.
    Relay(Box<Hop>),
}

/// A frame as it was received. The sender stands once at the head of a stream
/// and is put to each frame by the receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The lane that sent it.
    pub from: Lane,
    /// The start of the VM that sent it.
    pub incarnation: u64,
    /// What it carries.
    pub body: Body,
}

/// Reports that frames to a lane were lost, at least one or those in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The lane that they were for.
    pub to: Lane,
    /// Why, for people.
    pub detail: String,
    /// Whether the peer may have taken any of them. It took none if it could not
    /// be reached or refused the stream.
    pub maybe_received: bool,
}

/// Bounds of the connections between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest frame, in bytes.
    pub frame_bytes: usize,
    /// The frames that wait for one peer.
    pub queue_frames: usize,
    /// The bytes that wait for one peer, and on the receiving side the memory
    /// that small DATA frames may take beside their content.
    pub queue_bytes: usize,
    /// The bytes that a receiver takes before it has handed them on.
    pub window_bytes: u32,
    /// The inbound connections of one listener.
    pub connections: usize,
    /// The time for a connection to be opened.
    pub connect_timeout: Duration,
    /// The time in which a peer must take some bytes while any wait.
    pub write_timeout: Duration,
    /// The time between pings.
    pub ping_interval: Duration,
    /// The time in which a ping must be answered.
    pub ping_timeout: Duration,
    /// The pause before the first dial after a loss; it doubles with each dial
    /// that fails.
    pub backoff_min: Duration,
    /// The longest pause before a dial.
    pub backoff_max: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            frame_bytes: 4 * 1024 * 1024,
            queue_frames: 4096,
            queue_bytes: 16 * 1024 * 1024,
            window_bytes: 1024 * 1024,
            connections: 4096,
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(1),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(1),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
        }
    }
}
