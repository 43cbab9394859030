//! The task that serves one connection to a target.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use laburnum_core::{
    id,
    target::{Event, Reply, Request, Status},
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender},
    task::{AbortHandle, JoinError, JoinSet},
    time::timeout,
};

use super::{
    Rules, body,
    exchange::{self, Channel, Failure},
};

/// An action for the task of a connection.
#[derive(Clone, Debug)]
pub enum Action {
    Send(Request),
    /// Resets the stream of a request.
    Cancel(id::Attempt),
    /// Reads the status of the target within this time.
    ReadStatus(Duration),
}

/// The parameters for opening a connection.
#[derive(Clone, Copy, Debug)]
pub struct Opening {
    pub address: SocketAddr,
    /// The time within which the connection must be open and the status read.
    pub limit: Duration,
}

/// The result of an exchange.
enum Finished {
    Request(id::Attempt, Result<Reply, Failure>),
    Status(Result<Status, Failure>),
}

/// The reason why a connection ends.
enum Stop {
    /// The client closed it by dropping the sender of actions.
    Closed,
    /// The connection was lost.
    Lost { detail: String },
}

/// An open connection with its exchanges.
struct Task {
    connection: id::Connection,
    channel: Channel,
    events: UnboundedSender<Event>,
    /// The running exchanges of requests, to abort them.
    attempts: BTreeMap<id::Attempt, AbortHandle>,
    exchanges: JoinSet<Finished>,
}

/// Opens a connection and serves it until it is closed or lost.
pub async fn run(
    connection: id::Connection,
    opening: Opening,
    rules: Rules,
    mut actions: UnboundedReceiver<Action>,
    events: UnboundedSender<Event>,
) {
    let mut pending = Vec::new();
    let opened = tokio::select! {
        opened = open(connection, opening, rules, events.clone()) => opened,
        () = collect(&mut actions, &mut pending) => Err(Stop::Closed),
    };
    let stop = match opened {
        Ok(task) => task.serve(std::mem::take(&mut pending), &mut actions).await,
        Err(stop) => stop,
    };
    if let Stop::Lost { detail } = stop {
        let rest = pending.into_iter().chain(drain(&mut actions));
        for event in unsent_events(connection, rest) {
            report(&events, event);
        }
        report(&events, Event::Closed { connection, detail });
    }
}

/// Collects the actions that arrive while the connection is being opened. Returns when
/// the client closes the connection.
async fn collect(actions: &mut UnboundedReceiver<Action>, pending: &mut Vec<Action>) {
    while let Some(action) = actions.recv().await {
        pending.push(action);
    }
}

async fn open(
    connection: id::Connection,
    opening: Opening,
    rules: Rules,
    events: UnboundedSender<Event>,
) -> Result<Task, Stop> {
    let opened = timeout(opening.limit, open_channel(opening, rules)).await;
    match opened.unwrap_or_else(|_| Err(exchange::late_status(opening.limit))) {
        Ok((channel, status)) => {
            report(&events, Event::Opened { connection, status });
            let attempts = BTreeMap::new();
            Ok(Task { connection, channel, events, attempts, exchanges: JoinSet::new() })
        }
        Err(failure) => Err(Stop::Lost { detail: failure_detail(failure) }),
    }
}

async fn open_channel(opening: Opening, rules: Rules) -> Result<(Channel, Status), Failure> {
    let channel = Channel::open(opening.address, rules).await?;
    let status = channel.clone().read_status(opening.limit).await?;
    Ok((channel, status))
}

/// Takes the actions that were not started, and makes sends of later ones fail.
fn drain(actions: &mut UnboundedReceiver<Action>) -> Vec<Action> {
    actions.close();
    std::iter::from_fn(|| actions.try_recv().ok()).collect()
}

/// The events that report the requests among `actions` as not sent.
fn unsent_events(
    connection: id::Connection,
    actions: impl Iterator<Item = Action>,
) -> impl Iterator<Item = Event> {
    actions.filter_map(move |action| match action {
        Action::Send(request) => Some(Event::Unsent { connection, attempt: request.attempt }),
        Action::Cancel(_) | Action::ReadStatus(_) => None,
    })
}

fn report(events: &UnboundedSender<Event>, event: Event) {
    // Fails only if the thread is ending and has dropped the receiver.
    let _ = events.send(event);
}

impl Task {
    async fn serve(
        mut self,
        pending: Vec<Action>,
        actions: &mut UnboundedReceiver<Action>,
    ) -> Stop {
        for action in pending {
            self.start(action);
        }
        loop {
            tokio::select! {
                action = actions.recv() => match action {
                    Some(action) => self.start(action),
                    None => return Stop::Closed,
                },
                Some(joined) = self.exchanges.join_next() => {
                    if let Err(stop) = self.finish_joined(joined) {
                        self.finish_ready();
                        return stop;
                    }
                }
            }
        }
    }

    fn start(&mut self, action: Action) {
        let channel = self.channel.clone();
        match action {
            Action::Send(request) => {
                let attempt = request.attempt;
                let exchange =
                    async move { Finished::Request(attempt, channel.send(request).await) };
                self.attempts.insert(attempt, self.exchanges.spawn(exchange));
            }
            Action::ReadStatus(limit) => {
                self.exchanges
                    .spawn(async move { Finished::Status(channel.read_status(limit).await) });
            }
            Action::Cancel(attempt) => {
                if let Some(exchange) = self.attempts.remove(&attempt) {
                    exchange.abort();
                }
            }
        }
    }

    fn finish_joined(&mut self, joined: Result<Finished, JoinError>) -> Result<(), Stop> {
        match joined {
            Ok(finished) => self.finish(finished),
            Err(error) if error.is_cancelled() => Ok(()),
            Err(error) => Err(Stop::Lost { detail: error.to_string() }),
        }
    }

    fn finish(&mut self, finished: Finished) -> Result<(), Stop> {
        match finished {
            Finished::Request(attempt, result) => self.finish_request(attempt, result),
            Finished::Status(Ok(status)) => {
                self.report(Event::Status { connection: self.connection, status });
                Ok(())
            }
            Finished::Status(Err(failure)) => Err(Stop::Lost { detail: failure_detail(failure) }),
        }
    }

    fn finish_request(
        &mut self,
        attempt: id::Attempt,
        result: Result<Reply, Failure>,
    ) -> Result<(), Stop> {
        let is_wanted = self.attempts.remove(&attempt).is_some();
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
        if let Some(event) = event.filter(|_| is_wanted) {
            self.report(event);
        }
        stop
    }

    /// Reports the exchanges that ended before the loss was noticed.
    fn finish_ready(&mut self) {
        while let Some(joined) = self.exchanges.try_join_next() {
            // The loss is known already; `Event::Closed` covers the remaining attempts.
            let _ = self.finish_joined(joined);
        }
    }

    fn report(&self, event: Event) {
        report(&self.events, event);
    }
}

fn failure_detail(failure: Failure) -> String {
    match failure {
        Failure::Unsent { detail }
        | Failure::Stream { detail }
        | Failure::Connection { detail } => detail,
    }
}
