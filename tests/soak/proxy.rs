//! A proxy on loopback that delays, resets, cuts and silences connections.

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

/// The time to the next try to listen at an address that is still in use.
const BIND_AGAIN: Duration = Duration::from_millis(5);

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Pass,
    /// Passes them on later.
    Delay(Duration),
    /// Holds both directions back.
    Silent,
    /// Holds back what comes from behind.
    OneWay,
}

/// The state of a proxy: what it does, how often connections were reset, and how
/// often those that were open were forgotten.
#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    resets: u64,
    lapses: u64,
}

/// A proxy before one address.
pub struct Proxy {
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

/// The two directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Forth,
    Back,
}

impl Proxy {
    /// Starts a proxy that takes no connections while what is behind it is down.
    pub async fn start(behind: SocketAddr, down: watch::Receiver<bool>) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (state, seen) = watch::channel(State { mode: Mode::Pass, resets: 0, lapses: 0 });
        tokio::spawn(accept(listener, address, down, move |near| {
            tokio::spawn(join(near, behind, seen.clone()));
        }));
        Proxy { address, state }
    }

    pub fn set(&self, mode: Mode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Resets every connection.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Leaves every connection that is open silent for good.
    pub fn forget(&self) {
        self.state.send_modify(|state| state.lapses += 1);
    }
}

/// Accepts connections at an address while nothing is down.
pub async fn accept(
    listener: TcpListener,
    address: SocketAddr,
    mut down: watch::Receiver<bool>,
    mut take: impl FnMut(TcpStream),
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
                take(socket);
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

/// Listens at an address, which a connection that is ending may still have.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(BIND_AGAIN).await,
        }
    }
}

async fn join(near: TcpStream, behind: SocketAddr, mut state: watch::Receiver<State>) {
    let Ok(far) = TcpStream::connect(behind).await else {
        // The peer is gone: the connection is refused as well as can be.
        return abort(&near);
    };
    let opened = *state.borrow();
    for socket in [&near, &far] {
        let _ = socket.set_nodelay(true);
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = pump(near_read, far_write, state.clone(), Way::Forth, opened.lapses);
    let back = pump(far_read, near_write, state.clone(), Way::Back, opened.lapses);
    tokio::pin!(forth, back);
    let reset = state.wait_for(|state| state.resets > opened.resets);
    tokio::select! {
        () = async { tokio::join!(&mut forth, &mut back); } => {}
        _ = reset => {}
    }
}

/// Ends a connection with a reset.
fn abort(socket: &TcpStream) {
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    way: Way,
    lapses: u64,
) {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut bytes).await else {
            return abort(to.as_ref());
        };
        let passes = |state: &State| match state.mode {
            _ if state.lapses > lapses => false,
            Mode::Pass | Mode::Delay(_) => true,
            Mode::Silent => false,
            Mode::OneWay => way == Way::Forth,
        };
        let Ok(now) = state.wait_for(passes).await.map(|state| *state) else { return };
        if let Mode::Delay(span) = now.mode {
            sleep(span).await;
        }
        if count == 0 {
            // An end is passed on as one.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
