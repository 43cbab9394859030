//! The sending side: keeps a connection to each peer to which frames are sent.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use laburnum_core::{border::Peers, memory::Purpose, message::Message, view::Lane};
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
use crate::memory::Ledger;

/// An open connection to a peer, or one that is being opened.
struct Link {
    frames: mpsc::Sender<Bytes>,
    shared: Arc<Shared>,
    task: AbortHandle,
}

/// The address of a peer and the state of the connection to it.
struct Peer {
    address: SocketAddr,
    link: Option<Link>,
    backoff: Backoff,
}

/// Sends frames to the lanes of other VMs.
///
/// A peer is dialled when there is a frame to send to it. Each frame that
/// cannot be handed to a connection, and each connection that is lost, is
/// reported as [`Lost`]. The dialer must be used inside a tokio runtime.
pub struct Dialer {
    own: Lane,
    incarnation: u64,
    key: Key,
    limits: Limits,
    losses: UnboundedSender<Lost>,
    ledger: Ledger,
    peers: BTreeMap<Lane, Peer>,
    tasks: JoinSet<()>,
}

impl Dialer {
    /// Makes a dialer that sends for the lane `own` and knows no peer yet.
    pub fn new(
        own: Lane,
        incarnation: u64,
        key: Key,
        limits: Limits,
        losses: UnboundedSender<Lost>,
    ) -> Dialer {
        let (peers, tasks, ledger) = (BTreeMap::new(), JoinSet::new(), Ledger::default());
        Dialer { own, incarnation, key, limits, losses, ledger, peers, tasks }
    }

    /// Counts the frames that wait in a table that the process shares.
    pub fn with_ledger(self, ledger: Ledger) -> Dialer {
        Dialer { ledger, ..self }
    }

    /// Replaces the addresses of the lanes. The connection to a lane that has
    /// gone or moved sends the frames in its queue and closes.
    pub fn update(&mut self, addresses: BTreeMap<Lane, SocketAddr>) {
        self.peers.retain(|lane, peer| addresses.get(lane) == Some(&peer.address));
        for (lane, address) in addresses {
            let peer = Peer { address, link: None, backoff: Backoff::default() };
            self.peers.entry(lane).or_insert(peer);
        }
    }

    /// Sends a body to a lane. The body may get lost, which is reported as
    /// [`Lost`].
    pub fn send_body(&mut self, to: &Lane, body: &Body) {
        let sent = match codec::encode(body, self.limits.frame_bytes) {
            Ok(frame) => self.enqueue(to, frame),
            // Earlier frames on the connection may still arrive.
            Err(error) => {
                Err(Lost { to: to.clone(), detail: error.to_string(), maybe_received: true })
            }
        };
        if let Err(lost) = sent {
            // The receiver is dropped only when the thread ends.
            let _ = self.losses.send(lost);
        }
    }

    /// Sends the frames in the queues, closes all connections and waits for
    /// their tasks to end.
    pub async fn close(mut self) {
        self.peers.clear();
        while self.tasks.join_next().await.is_some() {}
    }

    fn enqueue(&mut self, to: &Lane, frame: Bytes) -> Result<(), Lost> {
        let unsent = |detail| Lost { to: to.clone(), detail, maybe_received: false };
        self.remove_lost_link(to).map_err(unsent)?;
        let (limit, length) = (self.limits.queue_bytes, frame.len());
        // The frame is a copy of what counts already and is bounded for each peer.
        let mut hold = self.ledger.hold(Purpose::Answer);
        hold.force(length);
        let frame = hold.keep(frame);
        let link = match self.peers.get(to) {
            Some(Peer { link: Some(link), .. }) => link,
            _ => self.dial(to).map_err(unsent)?,
        };
        let queued = link.shared.queued.fetch_add(length, Ordering::Relaxed) + length;
        if queued <= limit && link.frames.try_send(frame).is_ok() {
            return Ok(());
        }
        self.disconnect(to);
        let detail = "the queue of the peer is full".to_owned();
        Err(Lost { to: to.clone(), detail, maybe_received: true })
    }

    /// Removes the connection to a peer if its task has ended, and starts the
    /// pause before the next dial. Fails if the address of the peer is not
    /// known.
    fn remove_lost_link(&mut self, to: &Lane) -> Result<(), String> {
        let peer = self.peers.get_mut(to).ok_or("the address of the peer is not known")?;
        if let Some(link) = peer.link.take_if(|link| link.frames.is_closed()) {
            let at = link.shared.lost.get().copied().unwrap_or_else(Instant::now);
            let accepted = link.shared.accepted.load(Ordering::Relaxed);
            peer.backoff.record_loss(at, accepted, &self.limits);
        }
        Ok(())
    }

    /// Aborts the connection to a peer that does not keep up.
    fn disconnect(&mut self, to: &Lane) {
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        if let Some(link) = peer.link.take() {
            link.task.abort();
            let accepted = link.shared.accepted.load(Ordering::Relaxed);
            peer.backoff.record_loss(Instant::now(), accepted, &self.limits);
        }
    }

    fn dial(&mut self, to: &Lane) -> Result<&Link, String> {
        while self.tasks.try_join_next().is_some() {}
        let peer = self.peers.get_mut(to).ok_or("the address of the peer is not known")?;
        if !peer.backoff.is_over(Instant::now()) {
            return Err("the pause before the next connection to the peer is not over".to_owned());
        }
        let (from, incarnation) = (self.own.clone(), self.incarnation);
        let request = hello::request(&Hello { from, incarnation, to: to.clone() }, &self.key)
            .ok_or("the request that opens the stream cannot be made")?;
        let (frames, queue) = mpsc::channel(self.limits.queue_frames);
        let shared = Arc::new(Shared::default());
        let outbound = Outbound {
            address: peer.address,
            request,
            limits: self.limits,
            shared: Arc::clone(&shared),
        };
        let lost = Lost { to: to.clone(), detail: String::new(), maybe_received: true };
        let sending = outbound::send_frames(outbound, queue, lost, self.losses.clone());
        let task = self.tasks.spawn(sending);
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
