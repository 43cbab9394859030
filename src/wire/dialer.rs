//! The sending side: one connection for each peer that there is something to
//! send to.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use laburnum_core::{border::Peers, message::Message, view::Lane};
use tokio::{
    sync::mpsc::{self, UnboundedSender},
    task::{AbortHandle, JoinSet},
    time::Instant,
};

use super::{
    Body, Key, Limits, Lost,
    backoff::Backoff,
    codec,
    hello::{self, Hello},
    outbound::{self, Outbound, Shared},
};

/// The connection to a peer.
struct Link {
    frames: mpsc::Sender<Bytes>,
    shared: Arc<Shared>,
    task: AbortHandle,
}

/// What is known of a peer.
struct Peer {
    address: SocketAddr,
    link: Option<Link>,
    backoff: Backoff,
}

/// Sends frames to the lanes of other VMs.
///
/// A peer is dialled when there is something to send to it. Each frame that is
/// not handed to a connection, and each connection that is lost, is reported by
/// [`Lost`]. It must be used inside a tokio runtime.
pub struct Dialer {
    own: Lane,
    incarnation: u64,
    key: Key,
    limits: Limits,
    losses: UnboundedSender<Lost>,
    peers: BTreeMap<Lane, Peer>,
    tasks: JoinSet<()>,
}

impl Dialer {
    /// Makes a dialer for a lane that knows no peer yet.
    pub fn new(
        own: Lane,
        incarnation: u64,
        key: Key,
        limits: Limits,
        losses: UnboundedSender<Lost>,
    ) -> Dialer {
        let (peers, tasks) = (BTreeMap::new(), JoinSet::new());
        Dialer { own, incarnation, key, limits, losses, peers, tasks }
    }

    /// Replaces the addresses of the lanes. The connection to a lane that is
    /// gone or has moved sends what is queued and closes.
    pub fn update(&mut self, addresses: BTreeMap<Lane, SocketAddr>) {
        self.peers.retain(|lane, peer| addresses.get(lane) == Some(&peer.address));
        for (lane, address) in addresses {
            let peer = Peer { address, link: None, backoff: Backoff::default() };
            self.peers.entry(lane).or_insert(peer);
        }
    }

    /// Sends a body to a lane, without a promise that it arrives.
    pub fn send_body(&mut self, to: &Lane, body: &Body) {
        let sent = match codec::encode(body, self.limits.frame_bytes) {
            Ok(frame) => self.enqueue(to, frame),
            // What was sent before it may be on its way.
            Err(error) => {
                Err(Lost { to: to.clone(), detail: error.to_string(), maybe_received: true })
            }
        };
        if let Err(lost) = sent {
            // The receiver is gone only when the thread is ending.
            let _ = self.losses.send(lost);
        }
    }

    /// Sends what is queued, closes all connections and waits for their end.
    pub async fn close(mut self) {
        self.peers.clear();
        while self.tasks.join_next().await.is_some() {}
    }

    fn enqueue(&mut self, to: &Lane, frame: Bytes) -> Result<(), Lost> {
        let unsent = |detail| Lost { to: to.clone(), detail, maybe_received: false };
        self.forget_lost(to).map_err(unsent)?;
        let most = self.limits.queue_bytes;
        let link = match self.peers.get(to) {
            Some(Peer { link: Some(link), .. }) => link,
            _ => self.dial(to).map_err(unsent)?,
        };
        let length = frame.len();
        let queued = link.shared.queued.fetch_add(length, Ordering::Relaxed) + length;
        if queued <= most && link.frames.try_send(frame).is_ok() {
            return Ok(());
        }
        self.condemn(to);
        let detail = "the queue of the peer is full".to_owned();
        Err(Lost { to: to.clone(), detail, maybe_received: true })
    }

    /// Takes note of a connection whose task has ended.
    fn forget_lost(&mut self, to: &Lane) -> Result<(), String> {
        let peer = self.peers.get_mut(to).ok_or("the address of the peer is not known")?;
        if let Some(link) = peer.link.take_if(|link| link.frames.is_closed()) {
            let at = link.shared.lost.get().copied().unwrap_or_else(Instant::now);
            let accepted = link.shared.accepted.load(Ordering::Relaxed);
            peer.backoff.lose(at, accepted, &self.limits);
        }
        Ok(())
    }

    /// Cuts the connection to a peer that does not keep up.
    fn condemn(&mut self, to: &Lane) {
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        if let Some(link) = peer.link.take() {
            link.task.abort();
            let accepted = link.shared.accepted.load(Ordering::Relaxed);
            peer.backoff.lose(Instant::now(), accepted, &self.limits);
        }
    }

    fn dial(&mut self, to: &Lane) -> Result<&Link, String> {
        while self.tasks.try_join_next().is_some() {}
        let peer = self.peers.get_mut(to).ok_or("the address of the peer is not known")?;
        if !peer.backoff.is_over(Instant::now()) {
            return Err("the peer was lost a moment ago".to_owned());
        }
        let (from, incarnation) = (self.own.clone(), self.incarnation);
        let request = hello::request(&Hello { from, incarnation, to: to.clone() }, &self.key)
            .ok_or("the head of the stream cannot be made")?;
        let (frames, queue) = mpsc::channel(self.limits.queue_frames);
        let shared = Arc::new(Shared::default());
        let outbound = Outbound {
            address: peer.address,
            request,
            limits: self.limits,
            shared: Arc::clone(&shared),
        };
        let lost = Lost { to: to.clone(), detail: String::new(), maybe_received: true };
        let run = outbound::run(outbound, queue, lost, self.losses.clone());
        let task = self.tasks.spawn(run);
        Ok(peer.link.insert(Link { frames, shared, task }))
    }
}

impl Peers for Dialer {
    fn update(&mut self, addresses: BTreeMap<Lane, SocketAddr>) {
        Dialer::update(self, addresses);
    }

    fn send(&mut self, lane: &Lane, message: Message) {
        self.send_body(lane, &Body::Traffic(message));
    }
}
