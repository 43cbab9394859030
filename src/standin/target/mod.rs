//! The stand-in of a target: a replica of one shard with slots, a queue, a
//! connection limit and faults that are switched while it runs.
//!
//! It keeps the shape of the product: [`table`] holds the rows, [`system`] the
//! decisions without a socket, [`engine`] the loop that waits and ticks, and
//! [`front`] and [`admin`] the encoding. Traffic and administration have
//! addresses of their own, so that the tests take no connection of the limit.

use std::{io, net};

use poem::{Server, listener::TcpAcceptor};
use tokio::{net::TcpListener, sync::mpsc};

pub mod fault;
pub mod row;
pub mod settings;
pub mod system;
pub mod table;
mod admin;
mod answer;
mod engine;
mod front;
mod link;

pub use settings::Settings;

/// The cancelled streams that may wait to be noticed on one connection.
const MAX_PENDING_RESETS: u32 = 10_000;

/// Why a stand-in ended by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A request crashed it; the process should exit with an error.
    Crashed,
}

/// Serves a stand-in until it crashes for good or the future is dropped.
///
/// It must run inside a tokio runtime. The tasks of its connections live on
/// that runtime, so dropping the runtime closes them.
pub async fn serve(
    settings: Settings,
    traffic: net::TcpListener,
    admin: net::TcpListener,
) -> io::Result<End> {
    let (sender, events) = mpsc::unbounded_channel();
    let handle = engine::Handle::new(sender);
    let cost = settings.connection_cost;
    let acceptor = link::Acceptor::new(listener(traffic)?, handle.clone(), cost);
    let traffic = Server::new_with_acceptor(acceptor)
        .http2_max_pending_accept_reset_streams(MAX_PENDING_RESETS)
        .run(front::routes(handle.clone()));
    let admin_acceptor = TcpAcceptor::from_tokio(listener(admin)?)?;
    let admin = Server::new_with_acceptor(admin_acceptor).run(admin::routes(handle));
    tokio::select! {
        end = engine::run(settings, events) => Ok(end),
        result = traffic => stopped(result),
        result = admin => stopped(result),
    }
}

fn listener(listener: net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

fn stopped(result: io::Result<()>) -> io::Result<End> {
    result.and(Err(io::Error::other("the server of the stand-in stopped")))
}
