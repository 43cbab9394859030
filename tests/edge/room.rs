//! The client of targets where there is no room for a connection.

use std::time::Duration;

use laburnum_core::relay::{Command, Connection, Event};
use laburnum_http::CONNECTION_BYTES;
use laburnumworks::{clock::System, memory::Ledger, relay::target::Client};
use tokio::{
    net::TcpListener,
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::timeout,
};

use laburnum_core::memory::Limits;

/// The engine opens a first connection to a target that has none and sends no request with it
/// (`open_first_connection`). It waits for an event.
async fn first_connection_without_room_is_reported() {
    let limits = Limits { bytes: 10_000, connections: 10, grace: Duration::ZERO };
    let ledger = Ledger::new(limits, System::start(), None);
    let (events, mut received) = unbounded_channel();
    let mut client = Client::new(ledger, events);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    client.command(Command::Open { connection: Connection(1), address });
    let event = timeout(Duration::from_secs(5), received.recv()).await;
    assert!(
        matches!(event, Ok(Some(Event::Closed { .. } | Event::Unheld { .. }))),
        "no event says that the connection was not opened: {event:?}"
    );
}

/// An idle connection goes when another one needs its room, and is reported as idle.
async fn idle_connection_is_closed_for_another() {
    let limits = Limits { bytes: CONNECTION_BYTES, connections: 10, grace: Duration::ZERO };
    let ledger = Ledger::new(limits, System::start(), None);
    let (events, mut received) = unbounded_channel();
    let mut client = Client::new(ledger.clone(), events);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    client.command(Command::Open { connection: Connection(1), address });
    assert!(matches!(next(&mut received).await, Event::Opened { connection: Connection(1) }));
    client.command(Command::Open { connection: Connection(2), address });
    let (first, second) = (next(&mut received).await, next(&mut received).await);
    let opened = |event: &Event| matches!(event, Event::Opened { connection: Connection(2) });
    let closed = |event: &Event| matches!(event, Event::Closed { connection: Connection(1), loss } if loss.idle);
    assert!([&first, &second].into_iter().any(opened), "{first:?}, {second:?}");
    assert!([&first, &second].into_iter().any(closed), "{first:?}, {second:?}");
    assert!(ledger.bytes() <= CONNECTION_BYTES, "{}", ledger.bytes());
}

async fn next(received: &mut UnboundedReceiver<Event>) -> Event {
    timeout(Duration::from_secs(5), received.recv()).await.unwrap().unwrap()
}

cases! {
    an_idle_connection_is_closed_for_another => idle_connection_is_closed_for_another();
    a_first_connection_without_room_is_reported => first_connection_without_room_is_reported();
}
