//! Datagrams between control threads, of which some may be lost.

use std::{future::pending, net::SocketAddr};

use bincode::config;
use laburnum_core::{log::Event, relay::feed::progress::Progress};
use tokio::net::UdpSocket;

use super::Shared;

/// The largest datagram, in bytes.
const MAX_LENGTH: usize = 64;

/// The socket for datagrams, if there is one.
pub struct Datagram(Option<UdpSocket>);

impl Datagram {
    /// Opens the socket beside the listener for other VMs. Without it a silent
    /// watch is found out only by its own time.
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

    /// Sends how far this VM has read, without a promise that it arrives.
    pub async fn send(&mut self, to: SocketAddr, progress: Progress) {
        let Some(socket) = &self.0 else { return };
        if let Ok(bytes) = bincode::serde::encode_to_vec(progress, config::standard()) {
            // A datagram that is lost is made good by those of other VMs.
            let _ = socket.send_to(&bytes, to).await;
        }
    }

    /// Waits for a datagram and returns what it tells, if it is one of ours.
    pub async fn receive(&mut self) -> Option<Progress> {
        let Some(socket) = &self.0 else { return pending().await };
        let mut bytes = [0; MAX_LENGTH];
        // An error tells of a datagram that could not be delivered.
        let length = socket.recv(&mut bytes).await.ok()?;
        let decoded = bincode::serde::decode_from_slice(&bytes[..length], config::standard());
        decoded.ok().map(|(progress, _)| progress)
    }
}
