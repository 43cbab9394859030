//! The client of the targets, which runs one task for each connection.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use laburnum_core::{
    memory::Full,
    relay::{Attempt, Command, Connection, Event, Loss, Reply, TargetRequest},
};
use laburnum_http::{CONNECTION_BYTES, Channel, Failure, Limits};
use laburnum_platform::target as wire;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::sleep,
};

use crate::memory::{self, Ledger};

/// The limits on a connection to a target. A target in reach accepts within a few
/// milliseconds.
const LIMITS: Limits =
    Limits { connect: Duration::from_millis(400), silence: Duration::from_secs(1), body: 16 << 20 };

/// How long before the target's own time limit an idle connection is closed, so
/// that no request is sent on a connection that the target is closing.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// The time for which an idle connection is kept if the target states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(60);

/// A request that waits for its connection.
type Task = (Attempt, TargetRequest);

/// The client of the targets.
pub struct Client {
    ledger: Ledger,
    events: UnboundedSender<Event>,
    connections: BTreeMap<Connection, UnboundedSender<Task>>,
}

impl Client {
    /// Makes a client that reports through `events` and counts replies in `ledger`.
    pub fn new(ledger: Ledger, events: UnboundedSender<Event>) -> Client {
        Client { ledger, events, connections: BTreeMap::new() }
    }

    /// Starts to execute a command.
    pub fn command(&mut self, command: Command) {
        match command {
            Command::Open { connection, address } => {
                let (sender, tasks) = unbounded_channel();
                self.connections.insert(connection, sender);
                let (ledger, events) = (self.ledger.clone(), self.events.clone());
                let link = Link { connection, ledger, events, tasks };
                tokio::spawn(link.run(address));
            }
            Command::Send { connection, attempt, target_request } => {
                let sender = self.connections.get(&connection);
                if sender.is_none_or(|sender| sender.send((attempt, target_request)).is_err()) {
                    // The connection's task has reported its end or is about to.
                    self.connections.remove(&connection);
                }
            }
            Command::Close { connection } => {
                self.connections.remove(&connection);
            }
            // Messages to other VMs are not for this client.
            Command::Hop { .. } => {}
        }
    }

    /// Removes a connection that reported its end.
    pub fn remove(&mut self, connection: Connection) {
        self.connections.remove(&connection);
    }
}

/// Why a connection ends.
enum End {
    /// The client closes it: a command said so, or it is not reusable.
    Closed,
    /// It failed, the target closed it, or it was idle for too long.
    Lost(Loss),
}

/// Returns the end of a connection that fails during a request; `sent` says whether
/// the target may have received some of the request.
fn lost(sent: bool, detail: impl Into<String>) -> End {
    End::Lost(Loss { sent, idle: false, gone: false, detail: detail.into() })
}

impl From<Failure> for End {
    fn from(failure: Failure) -> End {
        let Failure { sent, gone, detail, .. } = failure;
        End::Lost(Loss { sent, idle: false, gone, detail })
    }
}

/// Returns the end of an idle connection.
fn idle(detail: impl Into<String>) -> End {
    End::Lost(Loss { sent: false, idle: true, gone: false, detail: detail.into() })
}

/// One connection with the requests that wait for it.
struct Link {
    connection: Connection,
    ledger: Ledger,
    events: UnboundedSender<Event>,
    tasks: UnboundedReceiver<Task>,
}

impl Link {
    /// Opens the connection, serves it and reports its loss.
    async fn run(mut self, address: SocketAddr) {
        let Ok(account) = self.ledger.open_link(CONNECTION_BYTES) else {
            return self.refuse();
        };
        let end = match Channel::open(address, LIMITS).await {
            Ok(channel) => self.serve(channel, &account).await,
            Err(failure) => End::from(failure),
        };
        if let End::Lost(loss) = end {
            self.report(Event::Closed { connection: self.connection, loss });
        }
    }

    /// Reports that there is no room for the connection, or for the request that it is to carry.
    fn refuse(&mut self) {
        let connection = self.connection;
        let event = match self.tasks.try_recv() {
            Ok((attempt, _)) => Event::Unheld { connection, attempt, sent: false },
            Err(_) => {
                let loss = Loss { sent: false, idle: true, gone: false, detail: Full.to_string() };
                Event::Closed { connection, loss }
            }
        };
        self.report(event);
    }

    /// Sends the requests one after the other until the connection ends.
    async fn serve(&mut self, mut channel: Channel, account: &memory::Link) -> End {
        self.report(Event::Opened { connection: self.connection });
        let mut keep_alive = DEFAULT_KEEP_ALIVE;
        loop {
            let task = tokio::select! {
                biased;
                task = self.tasks.recv() => task,
                detail = channel.closed() => return idle(detail),
                () = sleep(keep_alive) => return idle("idle for too long"),
                () = account.rest() => return idle("closed to make room"),
            };
            let Some((attempt, target_request)) = task else { return End::Closed };
            account.work();
            match self.exchange(&mut channel, attempt, &target_request).await {
                Ok(next) => keep_alive = next,
                Err(end) => return end,
            }
        }
    }

    /// Sends one request, reports its reply and returns the time for which the
    /// connection may then be idle.
    async fn exchange(
        &mut self,
        channel: &mut Channel,
        attempt: Attempt,
        target_request: &TargetRequest,
    ) -> Result<Duration, End> {
        let request = wire::write(target_request)
            .map_err(|error| lost(false, format!("request: {error}")))?;
        let mut arrival = self.ledger.begin_reply();
        let closer = arrival.closer();
        let outcome = tokio::select! {
            biased;
            outcome = channel.exchange_within(request, &mut arrival) => outcome,
            () = closer.notified() => return Err(self.unheld(attempt)),
            // No request is queued while one is in flight: the client has closed the
            // connection.
            _ = self.tasks.recv() => return Err(End::Closed),
        };
        let complete = match outcome {
            Ok(complete) => complete,
            Err(failure) if failure.unheld => return Err(self.unheld(attempt)),
            Err(failure) => return Err(End::from(failure)),
        };
        let hold = arrival.finish();
        let keep_alive = wire::keep_alive(&complete.response).unwrap_or(DEFAULT_KEEP_ALIVE);
        let reply = match wire::read(target_request, complete) {
            Ok(reply) => Reply { body: hold.keep(reply.body.clone()), ..reply },
            Err(wire::Error::Crossed) => return Err(lost(true, "reply to another request")),
            Err(wire::Error::Encoded) => return Err(lost(true, "reply with an encoded body")),
        };
        let reusable = reply.reusable;
        let connection = self.connection;
        self.report(Event::Replied { connection, attempt, reply: Box::new(reply) });
        if reusable { Ok(keep_alive.saturating_sub(KEEP_ALIVE_MARGIN)) } else { Err(End::Closed) }
    }

    /// Reports that there is no room for a reply, and returns the end of its connection.
    fn unheld(&self, attempt: Attempt) -> End {
        self.report(Event::Unheld { connection: self.connection, attempt, sent: true });
        End::Closed
    }

    fn report(&self, event: Event) {
        // The receiver is dropped only when the thread ends.
        let _ = self.events.send(event);
    }
}
