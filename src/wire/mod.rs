//! Messages between VMs, as bincode in HTTP/2 streams.
//!
//! Two lanes exchange messages over two one-way streams, one for each
//! direction, each over a TCP connection that its sender dials. A [`Dialer`]
//! sends and [`listen()`] receives. Delivery is not guaranteed: frames that are
//! lost with a connection are reported as [`Lost`], and the decisions cope with
//! the loss.
//!
//! Queues and frames are bounded on both sides. The connection to a peer that
//! does not take bytes or answer a ping in time is closed; see [`Limits`].

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

/// The message in a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A message between traffic threads.
    Traffic(Message),
    /// A message between control threads.
    Control(Box<control::Message>),
    /// A message between VMs that forward requests by route.
    Relay(Box<Hop>),
}

/// A frame as it was received. A stream names its sender once, in the request
/// that opens it, and the receiver adds the sender to each frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The lane that sent the frame.
    pub from: Lane,
    /// The incarnation of the VM that sent the frame.
    pub incarnation: u64,
    pub body: Body,
    /// Whether there was room for the body of the message. If not, it is empty.
    pub has_room: bool,
}

/// Reports that frames to a lane were lost: at least the one that could not be
/// sent, or those that were queued or in flight on a lost connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The lane that the frames were for.
    pub to: Lane,
    /// The reason, for people.
    pub detail: String,
    /// Whether the peer may have received any of the frames. It received none
    /// if it could not be reached or refused the stream.
    pub maybe_received: bool,
}

/// Limits on the connections between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest body of a frame.
    pub frame_bytes: usize,
    /// The most frames that wait for one peer.
    pub queue_frames: usize,
    /// The most bytes that wait for one peer, and on the receiving side the
    /// most memory that small DATA frames may take beside their content.
    pub queue_bytes: usize,
    /// The HTTP/2 flow-control window: the most bytes that a receiver takes
    /// before it has handed them on.
    pub window_bytes: u32,
    /// The most inbound connections of one listener.
    pub connections: usize,
    /// The time within which a connection must be open.
    pub connect_timeout: Duration,
    /// The time within which a peer must take some bytes while any wait.
    pub write_timeout: Duration,
    /// The time between pings.
    pub ping_interval: Duration,
    /// The time within which a ping must be answered.
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
