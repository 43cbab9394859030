//! The client of the targets: one task for each connection.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use laburnum_core::relay::{Attempt, Command, Connection, Event, Loss, TargetRequest};
use laburnum_http::{Channel, Failure, Limits};
use laburnum_platform::target as wire;
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::sleep,
};

/// Limits on a connection to a target. A target in reach accepts within a few
/// milliseconds.
const LIMITS: Limits =
    Limits { connect: Duration::from_millis(400), silence: Duration::from_secs(1), body: 16 << 20 };

/// How long before the target would close an idle connection it is closed here.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// The time that a connection is kept idle if the target states none.
const IDLE: Duration = Duration::from_secs(60);

/// A request that waits for its connection.
type Task = (Attempt, TargetRequest);

/// The client of the targets.
pub struct Client {
    events: UnboundedSender<Event>,
    connections: BTreeMap<Connection, UnboundedSender<Task>>,
}

impl Client {
    /// Makes a client that reports through `events`.
    pub fn new(events: UnboundedSender<Event>) -> Client {
        Client { events, connections: BTreeMap::new() }
    }

    /// Starts to carry out a command.
    pub fn command(&mut self, command: Command) {
        match command {
            Command::Open { connection, address } => {
                let (sender, tasks) = unbounded_channel();
                self.connections.insert(connection, sender);
                let link = Link { connection, events: self.events.clone(), tasks };
                tokio::spawn(link.run(address));
            }
            Command::Send { connection, attempt, target_request } => {
                let sender = self.connections.get(&connection);
                if sender.is_none_or(|sender| sender.send((attempt, target_request)).is_err()) {
                    // Its task has reported the end or is about to.
                    self.connections.remove(&connection);
                }
            }
            Command::Close { connection } => {
                self.connections.remove(&connection);
            }
            // Other VMs are no targets.
            Command::Hop { .. } => {}
        }
    }

    /// Forgets a connection that reported its end.
    pub fn forget(&mut self, connection: Connection) {
        self.connections.remove(&connection);
    }
}

/// Why a connection ends.
enum End {
    /// It was closed by a command.
    Ordered,
    /// It can be used no more.
    Lost(Loss),
}

fn lost(sent: bool, detail: impl Into<String>) -> End {
    End::Lost(Loss { sent, idle: false, gone: false, detail: detail.into() })
}

impl From<Failure> for End {
    fn from(failure: Failure) -> End {
        let Failure { sent, gone, detail } = failure;
        End::Lost(Loss { sent, idle: false, gone, detail })
    }
}

fn ended(detail: impl Into<String>) -> End {
    End::Lost(Loss { sent: false, idle: true, gone: false, detail: detail.into() })
}

/// One connection with its tasks.
struct Link {
    connection: Connection,
    events: UnboundedSender<Event>,
    tasks: UnboundedReceiver<Task>,
}

impl Link {
    async fn run(mut self, address: SocketAddr) {
        let end = match Channel::open(address, LIMITS).await {
            Ok(channel) => self.serve(channel).await,
            Err(failure) => End::from(failure),
        };
        if let End::Lost(loss) = end {
            self.report(Event::Closed { connection: self.connection, loss });
        }
    }

    async fn serve(&mut self, mut channel: Channel) -> End {
        self.report(Event::Opened { connection: self.connection });
        let mut idle = IDLE;
        loop {
            let task = tokio::select! {
                biased;
                task = self.tasks.recv() => task,
                detail = channel.closed() => return ended(detail),
                () = sleep(idle) => return ended("idle for too long"),
            };
            let Some((attempt, order)) = task else { return End::Ordered };
            match self.exchange(&mut channel, attempt, &order).await {
                Ok(keep) => idle = keep,
                Err(end) => return end,
            }
        }
    }

    /// Carries one request and returns the time that the connection may be idle
    /// after it.
    async fn exchange(
        &mut self,
        channel: &mut Channel,
        attempt: Attempt,
        order: &TargetRequest,
    ) -> Result<Duration, End> {
        let request =
            wire::write(order).map_err(|error| lost(false, format!("request: {error}")))?;
        let outcome = tokio::select! {
            biased;
            outcome = channel.exchange(request) => outcome,
            // Nothing is sent while a request is under way: the client is gone.
            _ = self.tasks.recv() => return Err(End::Ordered),
        };
        let whole = outcome.map_err(End::from)?;
        let keep = wire::keep_alive(&whole.response).unwrap_or(IDLE);
        let reply = match wire::read(order, whole) {
            Ok(reply) => reply,
            Err(wire::Error::Crossed) => return Err(lost(true, "reply to another request")),
            Err(wire::Error::Encoded) => return Err(lost(true, "reply with an encoded body")),
        };
        let reusable = reply.reusable;
        let connection = self.connection;
        self.report(Event::Replied { connection, attempt, reply: Box::new(reply) });
        if reusable { Ok(keep.saturating_sub(IDLE_MARGIN)) } else { Err(End::Ordered) }
    }

    fn report(&self, event: Event) {
        // The receiver is gone only when the thread is ending.
        let _ = self.events.send(event);
    }
}
