//! Datagrams between the control threads of VMs; some may be lost.

use std::{future::pending, net::SocketAddr};

use bincode::config;
use laburnum_core::{log::Event, relay::feed::progress::Progress};
use tokio::net::UdpSocket;

use super::Shared;

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64;

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

    /// Sends how far this VM has read the store. The datagram may be lost.
    pub async fn send(&mut self, to: SocketAddr, progress: Progress) {
        let Some(socket) = &self.0 else { return };
        if let Ok(bytes) = bincode::serde::encode_to_vec(progress, config::standard()) {
            // The datagrams of other VMs make up for a lost one.
            let _ = socket.send_to(&bytes, to).await;
        }
    }

    /// Waits for a datagram and returns its content, if it can be decoded.
    pub async fn receive(&mut self) -> Option<Progress> {
        let Some(socket) = &self.0 else { return pending().await };
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        // An error is about an earlier datagram that could not be delivered.
        let length = socket.recv(&mut bytes).await.ok()?;
        let decoded = bincode::serde::decode_from_slice(&bytes[..length], config::standard());
        decoded.ok().map(|(progress, _)| progress)
    }
}
