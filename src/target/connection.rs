//! The task that serves one connection to a target.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use laburnum_core::{
    id,
    target::{Event, Reply, Request, Status},
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender},
    task::{AbortHandle, JoinError, JoinSet},
};

use super::{
    Limits, body, dial,
    exchange::{Channel, Failure},
};

/// What is to be done over the connection.
#[derive(Clone, Debug)]
pub enum Order {
    /// Send a request.
    Send(Request),
    /// Reset the stream of a request.
    Cancel(id::Attempt),
    /// Read the status within a time.
    Ask(Duration),
}

/// Where and within which time the connection is opened.
#[derive(Clone, Copy, Debug)]
pub struct Opening {
    /// The address of the target.
    pub address: SocketAddr,
    /// The time for the connection and its first answer.
    pub limit: Duration,
}

/// What an exchange ended with.
enum End {
    Sent(id::Attempt, Result<Reply, Failure>),
    Asked(Result<Status, Failure>),
}

/// Why the connection ends.
enum Stop {
    /// It was closed by an order.
    Ordered,
    /// It was lost.
    Lost { detail: String },
}

struct Task {
    connection: id::Connection,
    channel: Channel,
    events: UnboundedSender<Event>,
    attempts: BTreeMap<id::Attempt, AbortHandle>,
    exchanges: JoinSet<End>,
}

/// Opens a connection and serves it until it is closed or lost.
pub async fn run(
    connection: id::Connection,
    opening: Opening,
    limits: Limits,
    mut orders: UnboundedReceiver<Order>,
    events: UnboundedSender<Event>,
) {
    let mut early = Vec::new();
    let opened = tokio::select! {
        opened = open(connection, opening, limits, events.clone()) => opened,
        () = gather(&mut orders, &mut early) => Err(Stop::Ordered),
    };
    let stop = match opened {
        Ok(task) => task.serve(std::mem::take(&mut early), &mut orders).await,
        Err(stop) => stop,
    };
    if let Stop::Lost { detail } = stop {
        let rest = early.into_iter().chain(drain(&mut orders));
        for event in unsent(connection, rest) {
            report(&events, event);
        }
        report(&events, Event::Closed { connection, detail });
    }
}

/// Gathers the orders that come while the connection is being opened, until it
/// is closed by an order.
async fn gather(orders: &mut UnboundedReceiver<Order>, early: &mut Vec<Order>) {
    while let Some(order) = orders.recv().await {
        early.push(order);
    }
}

async fn open(
    connection: id::Connection,
    opening: Opening,
    limits: Limits,
    events: UnboundedSender<Event>,
) -> Result<Task, Stop> {
    let client = dial::client(opening.limit)
        .map_err(|error| Stop::Lost { detail: format!("client: {error}") })?;
    let channel = Channel { client, address: opening.address, limits };
    match channel.clone().ask(opening.limit).await {
        Ok(status) => {
            report(&events, Event::Opened { connection, status });
            let attempts = BTreeMap::new();
            Ok(Task { connection, channel, events, attempts, exchanges: JoinSet::new() })
        }
        Err(failure) => Err(Stop::Lost { detail: detail(failure) }),
    }
}

/// Takes the orders that were never taken up; later ones are refused.
fn drain(orders: &mut UnboundedReceiver<Order>) -> Vec<Order> {
    orders.close();
    std::iter::from_fn(|| orders.try_recv().ok()).collect()
}

/// The events that say of orders that their requests were not sent.
fn unsent(
    connection: id::Connection,
    orders: impl Iterator<Item = Order>,
) -> impl Iterator<Item = Event> {
    orders.filter_map(move |order| match order {
        Order::Send(request) => Some(Event::Unsent { connection, attempt: request.attempt }),
        Order::Cancel(_) | Order::Ask(_) => None,
    })
}

fn report(events: &UnboundedSender<Event>, event: Event) {
    // The receiver is gone only when the thread is ending.
    let _ = events.send(event);
}

impl Task {
    async fn serve(mut self, early: Vec<Order>, orders: &mut UnboundedReceiver<Order>) -> Stop {
        for order in early {
            self.start(order);
        }
        loop {
            tokio::select! {
                order = orders.recv() => match order {
                    Some(order) => self.start(order),
                    None => return Stop::Ordered,
                },
                Some(end) = self.exchanges.join_next() => {
                    if let Err(stop) = self.finish_joined(end) {
                        self.finish_ready();
                        return stop;
                    }
                }
            }
        }
    }

    fn start(&mut self, order: Order) {
        let channel = self.channel.clone();
        match order {
            Order::Send(request) => {
                let attempt = request.attempt;
                let exchange = async move { End::Sent(attempt, channel.send(request).await) };
                self.attempts.insert(attempt, self.exchanges.spawn(exchange));
            }
            Order::Ask(limit) => {
                self.exchanges.spawn(async move { End::Asked(channel.ask(limit).await) });
            }
            Order::Cancel(attempt) => {
                if let Some(exchange) = self.attempts.remove(&attempt) {
                    exchange.abort();
                }
            }
        }
    }

    fn finish_joined(&mut self, end: Result<End, JoinError>) -> Result<(), Stop> {
        match end {
            Ok(end) => self.finish(end),
            Err(error) if error.is_cancelled() => Ok(()),
            Err(error) => Err(Stop::Lost { detail: error.to_string() }),
        }
    }

    fn finish(&mut self, end: End) -> Result<(), Stop> {
        match end {
            End::Sent(attempt, result) => self.finish_sent(attempt, result),
            End::Asked(Ok(status)) => {
                self.report(Event::Status { connection: self.connection, status });
                Ok(())
            }
            End::Asked(Err(failure)) => Err(Stop::Lost { detail: detail(failure) }),
        }
    }

    fn finish_sent(
        &mut self,
        attempt: id::Attempt,
        result: Result<Reply, Failure>,
    ) -> Result<(), Stop> {
        let wanted = self.attempts.remove(&attempt).is_some();
        let connection = self.connection;
        let (event, stop) = match result {
            Ok(reply) => (Some(Event::Reply { connection, attempt, reply }), Ok(())),
            Err(Failure::Stream { detail }) => {
                let reply = body::garbled(detail);
                (Some(Event::Reply { connection, attempt, reply }), Ok(()))
            }
            Err(Failure::Unsent { detail }) => {
                (Some(Event::Unsent { connection, attempt }), Err(Stop::Lost { detail }))
            }
            Err(Failure::Connection { detail }) => (None, Err(Stop::Lost { detail })),
        };
        if let Some(event) = event.filter(|_| wanted) {
            self.report(event);
        }
        stop
    }

    /// Reports the exchanges that ended before the loss was noticed.
    fn finish_ready(&mut self) {
        while let Some(end) = self.exchanges.try_join_next() {
            // The loss is known already; what it means for the rest is reported
            // with the connection.
            let _ = self.finish_joined(end);
        }
    }

    fn report(&self, event: Event) {
        report(&self.events, event);
    }
}

fn detail(failure: Failure) -> String {
    match failure {
        Failure::Unsent { detail }
        | Failure::Stream { detail }
        | Failure::Connection { detail } => detail,
    }
}
