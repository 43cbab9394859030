//! The listening sockets of a VM.

use std::net::{SocketAddr, TcpListener};

use error_stack::{Report, ResultExt};
use socket2::{Domain, Socket, Type};

use super::Error;
use crate::settings::identity::Listen;

/// The most connections of a socket that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// The sockets of one traffic thread.
pub struct Traffic {
    /// For callers; every traffic thread has one on the same address.
    pub callers: TcpListener,
    /// For other traffic threads.
    pub peers: TcpListener,
}

/// The sockets of a VM.
pub struct Listeners {
    /// For the control threads of other VMs.
    pub control: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For the traffic threads, by thread number.
    pub traffic: Vec<Traffic>,
}

/// Binds every address of the settings.
pub fn bind(listen: &Listen) -> Result<Listeners, Report<Error>> {
    let traffic = listen
        .traffic
        .iter()
        .map(|&address| {
            let callers = bind_shared(listen.callers)?;
            Ok(Traffic { callers, peers: bind_exclusive(address)? })
        })
        .collect::<Result<Vec<Traffic>, Report<Error>>>()?;
    Ok(Listeners {
        control: bind_exclusive(listen.control)?,
        operators: bind_exclusive(listen.operators)?,
        traffic,
    })
}

fn bind_exclusive(address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    open(address, false)
}

/// Binds an address that several threads listen on; the operating system
/// spreads new connections over their sockets.
fn bind_shared(address: SocketAddr) -> Result<TcpListener, Report<Error>> {
    open(address, true)
}

fn open(address: SocketAddr, is_shared: bool) -> Result<TcpListener, Report<Error>> {
    let error = || Error { detail: format!("cannot listen on {address}") };
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM, None).change_context_lazy(error)?;
    socket.set_reuse_address(true).change_context_lazy(error)?;
    if is_shared {
        socket.set_reuse_port(true).change_context_lazy(error)?;
    }
    socket.bind(&address.into()).change_context_lazy(error)?;
    socket.listen(BACKLOG).change_context_lazy(error)?;
    Ok(socket.into())
}
