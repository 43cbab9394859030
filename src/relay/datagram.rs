//! Datagrams between the control threads of VMs; some may be lost.

use std::{future::pending, net::SocketAddr};

use bincode::config;
use laburnum_core::{
    log::Event,
    relay::{Suspicion, feed::progress::Progress},
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::Shared;

/// The largest datagram, in bytes, which fits into one packet.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// How far the sender has read the store.
    Progress(Progress),
    /// What the sender found out about requests that may crash targets.
    Suspicions(Vec<Suspicion>),
}

/// The socket for datagrams, if it could be opened.
pub struct Datagram(Option<UdpSocket>);

impl Datagram {
    /// Opens the socket at the address of the listener for other VMs. Without it a
    /// silent watch is noticed only when it times out.
    pub async fn open(shared: &Shared) -> Datagram {
        match UdpSocket::bind(shared.settings.listen.peers).await {
            Ok(socket) => Datagram(Some(socket)),
            Err(error) => {
                let fields = vec![("port", "progress".to_owned()), ("detail", error.to_string())];
                shared.log(Event::PortFailed, fields);
                Datagram(None)
            }
        }
    }

    /// Sends a message, which may be lost.
    pub async fn send(&mut self, to: SocketAddr, message: &Message) {
        let Some(socket) = &self.0 else { return };
        if let Ok(bytes) = bincode::serde::encode_to_vec(message, config::standard()) {
            // The datagrams of other VMs make up for a lost one.
            let _ = socket.send_to(&bytes, to).await;
        }
    }

    /// Waits for a datagram and returns its content, if it can be decoded.
    pub async fn receive(&mut self) -> Option<Message> {
        let Some(socket) = &self.0 else { return pending().await };
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        // An error is about an earlier datagram that could not be delivered.
        let length = socket.recv(&mut bytes).await.ok()?;
        let decoded = bincode::serde::decode_from_slice(&bytes[..length], config::standard());
        decoded.ok().map(|(message, _)| message)
    }
}
