//! A TCP proxy on loopback that delays, resets or holds back connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// The interval between attempts to listen at an address that is still in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// How a proxy treats bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them at once.
    Pass,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Holds back both directions.
    Silent,
    /// Holds back the bytes from the server.
    OneWay,
}

/// The state of a proxy, which its connections watch.
#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    /// How often all connections were reset.
    resets: u64,
    /// How often the connections open at that time were silenced for good.
    blackholes: u64,
}

/// A proxy for one server, at an address of its own.
pub struct Proxy {
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

/// The direction of bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Starts a proxy that accepts no connections while the server is down.
    pub async fn start(server: SocketAddr, down: watch::Receiver<bool>) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (state, receiver) =
            watch::channel(State { mode: Mode::Pass, resets: 0, blackholes: 0 });
        tokio::spawn(accept(listener, address, down, move |client| {
            tokio::spawn(forward(client, server, receiver.clone()));
        }));
        Proxy { address, state }
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Resets every connection.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Holds back both directions of every open connection for good, without closing it.
    pub fn blackhole(&self) {
        self.state.send_modify(|state| state.blackholes += 1);
    }
}

/// Accepts connections at an address, and closes the listener while `down` is true.
/// Returns when the sender of `down` is dropped while it is true.
pub async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    mut down: watch::Receiver<bool>,
    mut handle: impl FnMut(TcpStream),
) {
    let mut listener = Some(listener);
    loop {
        let open = match listener.take() {
            Some(open) => open,
            None => bind(address).await,
        };
        tokio::select! {
            Ok(_) = down.wait_for(|is_down| *is_down) => {}
            Ok((socket, _)) = open.accept() => {
                handle(socket);
                listener = Some(open);
                continue;
            }
        }
        drop(open);
        if down.wait_for(|is_down| !is_down).await.is_err() {
            return;
        }
    }
}

/// Listens at an address; retries while a connection that is closing still uses it.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

async fn forward(client: TcpStream, server: SocketAddr, mut state: watch::Receiver<State>) {
    let Ok(server_socket) = TcpStream::connect(server).await else {
        // The client is connected already, so that a reset has to stand for a refusal.
        return reset_on_close(&client);
    };
    let opened = *state.borrow();
    for socket in [&client, &server_socket] {
        let _ = socket.set_nodelay(true);
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server_socket.into_split();
    let to_server =
        copy(client_read, server_write, state.clone(), Direction::ToServer, opened.blackholes);
    let to_client =
        copy(server_read, client_write, state.clone(), Direction::ToClient, opened.blackholes);
    tokio::pin!(to_server, to_client);
    let reset = state.wait_for(|state| state.resets > opened.resets);
    tokio::select! {
        () = async { tokio::join!(&mut to_server, &mut to_client); } => {}
        _ = reset => {}
    }
}

/// Makes a socket send a reset instead of an orderly end when it is closed.
fn reset_on_close(socket: &TcpStream) {
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Copies one direction of a connection while the state of the proxy lets bytes pass.
/// `blackholes` is the count at the time when the connection was opened.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    direction: Direction,
    blackholes: u64,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut bytes).await else {
            return reset_on_close(to.as_ref());
        };
        let passes = |state: &State| match state.mode {
            _ if state.blackholes > blackholes => false,
            Mode::Pass | Mode::Delay(_) => true,
            Mode::Silent => false,
            Mode::OneWay => direction == Direction::ToServer,
        };
        let Ok(now) = state.wait_for(passes).await.map(|state| *state) else { return };
        if let Mode::Delay(span) = now.mode {
            sleep(span).await;
        }
        if count == 0 {
            // An orderly end is forwarded as one.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
