//! Words between control threads: datagrams, of which some may be lost.

use std::{future::pending, net::SocketAddr};

use bincode::config;
use laburnum_core::{log::Event, relay::feed::word::Word};
use tokio::net::UdpSocket;

use super::Shared;

/// The largest datagram, in bytes.
const MAX_LENGTH: usize = 64;

/// The socket for words, if there is one.
pub struct Mail(Option<UdpSocket>);

impl Mail {
    /// Opens the socket beside the listener for other VMs. Without it a silent
    /// watch is found out only by its own time.
    pub async fn open(shared: &Shared) -> Mail {
        match UdpSocket::bind(shared.settings.listen.peers).await {
            Ok(socket) => Mail(Some(socket)),
            Err(error) => {
                let fields = vec![("port", "words".to_owned()), ("detail", error.to_string())];
                shared.log(Event::PortFailed, fields);
                Mail(None)
            }
        }
    }

    /// Sends a word, without a promise that it arrives.
    pub async fn send(&mut self, to: SocketAddr, word: Word) {
        let Some(socket) = &self.0 else { return };
        if let Ok(bytes) = bincode::serde::encode_to_vec(word, config::standard()) {
            // A word that is lost is made good by those of others.
            let _ = socket.send_to(&bytes, to).await;
        }
    }

    /// Waits for a datagram and returns its word, if it is one.
    pub async fn receive(&mut self) -> Option<Word> {
        let Some(socket) = &self.0 else { return pending().await };
        let mut bytes = [0; MAX_LENGTH];
        // An error tells of a datagram that could not be delivered.
        let length = socket.recv(&mut bytes).await.ok()?;
        let decoded = bincode::serde::decode_from_slice(&bytes[..length], config::standard());
        decoded.ok().map(|(word, _)| word)
    }
}
