//! The way to other VMs: frames over h2, as between the VMs of the product.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use laburnum_core::{name::Name, relay::Hop, view::Lane};
use tokio::sync::mpsc::{Receiver, UnboundedReceiver, channel, unbounded_channel};

use super::{Listeners, Shared};
use crate::wire::{self, Admission, Body, Dialer, Key};

/// The frames that wait for the thread; more hold back their senders.
const MAX_FRAMES: usize = 1024;

/// Bounds on the connections to other VMs. A VM that answers no ping is found
/// out within a second and a half.
fn limits() -> wire::Limits {
    wire::Limits {
        queue_frames: 256,
        queue_bytes: 4 << 20,
        window_bytes: 256 << 10,
        connect_timeout: Duration::from_millis(400),
        ping_interval: Duration::from_secs(1),
        ping_timeout: Duration::from_millis(500),
        ..wire::Limits::default()
    }
}

/// The other VMs.
pub struct Peers {
    dialer: Dialer,
    addresses: BTreeMap<Lane, SocketAddr>,
}

/// What comes from the other VMs.
pub struct Inbox {
    /// What they say.
    pub frames: Receiver<wire::Frame>,
    /// Connections that were lost.
    pub losses: UnboundedReceiver<wire::Lost>,
}

/// The lane of a VM, which has one traffic thread.
fn lane(vm: &Name) -> Lane {
    Lane { vm: vm.clone(), thread: 0 }
}

/// The key of every relay. The port takes the same requests as the callers' one,
/// so that it is no secret; that a stream is for this VM is checked by its name.
const KEY: &str = "laburnumworks-relay";

fn key() -> Result<Key, wire::key::Error> {
    Key::try_from(KEY)
}

/// Starts to listen to other VMs.
pub fn start(shared: &Shared, listeners: &Listeners) -> io::Result<(Peers, Inbox)> {
    let key = key().map_err(|error| io::Error::other(error.to_string()))?;
    let own = lane(&shared.settings.vm.name);
    let guard = Admission { own: own.clone(), keys: vec![key.digest()], limits: limits() };
    let listener = listeners.peers.try_clone()?;
    let (frames, frame_receiver) = channel(MAX_FRAMES);
    let (losses, loss_receiver) = unbounded_channel();
    let log = shared.clone();
    tokio::spawn(async move {
        let ended = wire::listen(listener, guard, frames).await;
        super::traffic::report(&log, "peers", ended);
    });
    let dialer = Dialer::new(own, rand::random(), key, limits(), losses);
    let peers = Peers { dialer, addresses: BTreeMap::new() };
    Ok((peers, Inbox { frames: frame_receiver, losses: loss_receiver }))
}

impl Peers {
    /// Says something to another VM.
    pub fn send(&mut self, to: &Name, address: SocketAddr, hop: Hop) {
        let lane = lane(to);
        if self.addresses.get(&lane) != Some(&address) {
            self.addresses.insert(lane.clone(), address);
            self.dialer.update(self.addresses.clone());
        }
        self.dialer.send_body(&lane, &Body::Relay(Box::new(hop)));
    }
}
