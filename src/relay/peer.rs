//! The connections to other VMs, which carry frames over h2 as those between the
//! VMs of the product do.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use laburnum_core::{name::Name, relay::Hop, view::Lane};
use tokio::{
    sync::mpsc::{Receiver, UnboundedReceiver, channel, unbounded_channel},
    time::timeout,
};

use super::{Listeners, Shared};
use crate::wire::{self, Admission, Body, Dialer, Key};

/// The number of frames that may wait for the thread; when it is reached, the
/// senders have to wait.
const MAX_WAITING_FRAMES: usize = 1024;

/// The longest message between VMs: the longest reply of a target, with room for its
/// headers.
const MAX_FRAME_BYTES: usize = 18 << 20;

/// The time for the last messages at the end of the process.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns the limits on connections to other VMs. A VM that does not answer
/// pings is detected within 1.5 s.
fn limits() -> wire::Limits {
    wire::Limits {
        frame_bytes: MAX_FRAME_BYTES,
        queue_frames: 256,
        queue_bytes: MAX_FRAME_BYTES + (4 << 20),
        window_bytes: 256 << 10,
        connect_timeout: Duration::from_millis(400),
        ping_interval: Duration::from_secs(1),
        ping_timeout: Duration::from_millis(500),
        ..wire::Limits::default()
    }
}

/// Sends frames to the other VMs.
pub struct Peers {
    dialer: Dialer,
    addresses: BTreeMap<Lane, SocketAddr>,
}

/// Receives frames of the other VMs and losses of connections.
pub struct Inbox {
    pub frames: Receiver<wire::Frame>,
    pub losses: UnboundedReceiver<wire::Lost>,
}

/// Returns the lane of a VM; each relay has one traffic thread.
fn lane(vm: &Name) -> Lane {
    Lane { vm: vm.clone(), thread: 0 }
}

/// The key of all relays. It is no secret, as the port accepts the same requests
/// as the one for callers. Whether a stream is meant for this VM is checked by the
/// VM's name.
///
/// It ends with the version of [`Hop`], which frames do not state: VMs of two builds
/// whose messages differ refuse each other's streams, and no frame is misread.
const KEY: &str = "laburnumworks-relay-2";

fn key() -> Result<Key, wire::key::Error> {
    Key::try_from(KEY)
}

/// Starts to listen for other VMs.
pub fn start(shared: &Shared, listeners: &Listeners) -> io::Result<(Peers, Inbox)> {
    let key = key().map_err(|error| io::Error::other(error.to_string()))?;
    let own = lane(&shared.settings.vm.name);
    let admission = Admission {
        own: own.clone(),
        keys: vec![key.digest()],
        limits: limits(),
        ledger: shared.ledger.clone(),
    };
    let listener = listeners.peers.try_clone()?;
    let (frames, frame_receiver) = channel(MAX_WAITING_FRAMES);
    let (losses, loss_receiver) = unbounded_channel();
    let log = shared.clone();
    tokio::spawn(async move {
        let ended = wire::listen(listener, admission, frames).await;
        super::traffic::log_port_failure(&log, "peers", ended);
    });
    let dialer =
        Dialer::new(own, rand::random(), key, limits(), losses).with_ledger(shared.ledger.clone());
    let peers = Peers { dialer, addresses: BTreeMap::new() };
    Ok((peers, Inbox { frames: frame_receiver, losses: loss_receiver }))
}

impl Peers {
    /// Sends the messages that wait, for at most [`CLOSE_TIMEOUT`], and closes the
    /// connections.
    pub async fn close(self) {
        // What is not sent by then is lost like the rest of the process.
        let _ = timeout(CLOSE_TIMEOUT, self.dialer.close()).await;
    }

    /// Sends a message to another VM, which listens at `address`.
    pub fn send(&mut self, to: &Name, address: SocketAddr, hop: Hop) {
        let lane = lane(to);
        if self.addresses.get(&lane) != Some(&address) {
            self.addresses.insert(lane.clone(), address);
            self.dialer.update(self.addresses.clone());
        }
        self.dialer.send_body(&lane, &Body::Relay(Box::new(hop)));
    }
}
