//! The stand-in for a target: a replica of one shard with slots, a queue, a
//! connection limit and faults that can be changed while it runs.
//!
//! It has the same structure as the product: [`table`] holds the rows, [`system`] the
//! decisions without sockets, [`engine`] the loop that waits and ticks, and [`front`]
//! and [`admin`] the encoding. Traffic and administration have separate addresses, so
//! that administrative calls of tests do not count towards the connection limit.

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
mod connection;
mod engine;
mod front;

pub use settings::Settings;

/// The number of reset streams per connection that the server need not have accepted
/// yet; with more it closes the connection.
const MAX_PENDING_RESETS: u32 = 10_000;

/// The reason why a stand-in ended by itself.
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
    let acceptor = connection::Acceptor::new(tokio_listener(traffic)?, handle.clone(), cost);
    let traffic_server = Server::new_with_acceptor(acceptor)
        .http2_max_pending_accept_reset_streams(MAX_PENDING_RESETS)
        .run(front::routes(handle.clone()));
    let admin_acceptor = TcpAcceptor::from_tokio(tokio_listener(admin)?)?;
    let admin_server = Server::new_with_acceptor(admin_acceptor).run(admin::routes(handle));
    tokio::select! {
        end = engine::run(settings, events) => Ok(end),
        result = traffic_server => server_stopped(result),
        result = admin_server => server_stopped(result),
    }
}

fn tokio_listener(listener: net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Turns the end of a server into an error: servers must not end before the engine.
fn server_stopped(result: io::Result<()>) -> io::Result<End> {
    result.and(Err(io::Error::other("the server of the stand-in stopped")))
}
