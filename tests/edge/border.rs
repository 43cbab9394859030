//! The client of targets against the stand-in target.

use std::time::Duration;

use laburnum_core::{
    border::Targets,
    digest, key,
    target::{Command, Event, Outcome, Version},
};
use laburnumworks::{
    memory::Ledger,
    standin::target::{
        fault::{Crash, Defect, Faults, Hit, Moment},
        row::Index,
    },
    target::Limits,
};

use crate::harness::{self, Caller, REQUEST_TIMEOUT, Target, operation, search};

/// The number of attempts in flight at the same time on one connection.
const CONCURRENT_ATTEMPTS: u32 = 40;

/// Faults by which a request whose text contains "boom" crashes the target for a
/// minute.
fn crash(moment: Moment) -> Faults {
    let crash = Crash { mark: "boom".to_owned(), moment, down: Duration::from_secs(60) };
    Faults { crash: Some(crash), ..Faults::default() }
}

/// Faults by which requests whose text contains `mark` are never answered.
fn mute(mark: &str) -> Faults {
    let hits = vec![Hit { wrong: Defect::Mute, mark: mark.to_owned(), times: None }];
    Faults { hits, ..Faults::default() }
}

async fn search_rows() {
    let target = Target::start(|_| {});
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    let reply = caller.call(connection, search("radar")).await;
    let expected = Index { seed: 1, rows: 1_000 }.read(Version(1), key::Range::ALL, "radar");
    assert!(!expected.is_empty());
    let Outcome::Rows { version, range, rows, count, digest } = reply.outcome else {
        panic!("no rows");
    };
    assert_eq!((version, range), (Version(1), key::Range::ALL));
    assert_eq!(rows, expected);
    assert_eq!((count, digest), (rows.len() as u64, digest::rows(&rows)));
    assert!(reply.attempt.is_some());
    assert_eq!(reply.status.map(|status| status.incarnation), Some(1));
}

async fn concurrent_attempts() {
    let target = Target::start(|raw| {
        raw.slots = CONCURRENT_ATTEMPTS;
        raw.service = Duration::from_millis(50);
    });
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    let mut open: Vec<_> =
        (0..CONCURRENT_ATTEMPTS).map(|_| caller.send(connection, search(""))).collect();
    while !open.is_empty() {
        match caller.event().await {
            Event::Reply { attempt, reply, .. } => {
                assert_eq!(reply.attempt, Some(attempt));
                open.retain(|&other| other != attempt);
            }
            event => panic!("{event:?}"),
        }
    }
    let counts = target.counts().await;
    assert_eq!(counts.connections_total, 1);
    assert!(counts.running_highest > 1, "{counts:?}");
}

async fn unanswered_attempt() {
    let target = Target::start(|_| {});
    target.put_faults(&mute("held")).await;
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    caller.send(connection, search("held"));
    assert!(matches!(caller.outcome(connection, search("")).await, Outcome::Rows { .. }));
}

async fn cancel_frees_the_slot() {
    let target = Target::start(|raw| raw.slots = 1);
    target.put_faults(&mute("held")).await;
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    let attempt = caller.send(connection, search("held"));
    caller.assert_quiet().await;
    caller.command(Command::Cancel { connection, attempt });
    assert!(matches!(caller.outcome(connection, search("")).await, Outcome::Rows { .. }));
    let counts = target.counts().await;
    assert_eq!((counts.cancelled, counts.connections_total), (1, 1));
}

async fn close_resets_streams() {
    let target = Target::start(|_| {});
    target.put_faults(&mute("held")).await;
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    caller.send(connection, search("held"));
    caller.assert_quiet().await;
    caller.command(Command::Close { connection });
    caller.assert_quiet().await;
    let counts = target.counts().await;
    assert_eq!((counts.cancelled, counts.connections_open), (1, 0));
}

async fn loss_is_reported_once() {
    let target = Target::start(|_| {});
    target.put_faults(&crash(Moment::Start)).await;
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    caller.send(connection, search("boom"));
    assert!(matches!(caller.event().await, Event::Closed { connection: lost, .. }
        if lost == connection));
    let attempt = caller.send(connection, search(""));
    assert_eq!(caller.event().await, Event::Unsent { connection, attempt });
    caller.assert_quiet().await;
}

async fn loss_while_idle() {
    let target = Target::start(|_| {});
    let faults = Faults {
        crash: Some(Crash { mark: "boom".to_owned(), moment: Moment::Start, down: Duration::ZERO }),
        ..Faults::default()
    };
    target.put_faults(&faults).await;
    let mut caller = Caller::new();
    let (idle, busy) = (caller.open(&target).await, caller.open(&target).await);
    caller.send(busy, search("boom"));
    assert!(matches!(caller.event().await, Event::Closed { connection, .. } if connection == busy));
    caller.assert_quiet().await;
    let attempt = caller.send(idle, operation("a"));
    assert_eq!(caller.event().await, Event::Unsent { connection: idle, attempt });
    assert!(matches!(caller.event().await, Event::Closed { connection, .. } if connection == idle));
    // The target takes connections again, but the client opened none by itself.
    assert_eq!(target.counts().await.connections_total, 2);
    assert!(target.executions().await.tokens.is_empty());
}

async fn closed_connection() {
    let target = Target::start(|_| {});
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    caller.command(Command::Close { connection });
    let attempt = caller.send(connection, search(""));
    assert_eq!(caller.event().await, Event::Unsent { connection, attempt });
}

async fn sent_while_opening() {
    let target = Target::start(|raw| raw.connection_cost = Duration::from_millis(50));
    let mut caller = Caller::new();
    let connection = caller.dial(target.address, REQUEST_TIMEOUT);
    let attempt = caller.send(connection, search(""));
    assert!(matches!(caller.event().await, Event::Opened { .. }));
    assert!(matches!(caller.event().await, Event::Reply { attempt: answered, .. }
        if answered == attempt));
}

async fn failed_opening() {
    let address = harness::listener().local_addr().expect("the listener was bound");
    let mut caller = Caller::new();
    let connection = caller.dial(address, REQUEST_TIMEOUT);
    let attempt = caller.send(connection, search(""));
    assert_eq!(caller.event().await, Event::Unsent { connection, attempt });
    assert!(matches!(caller.event().await, Event::Closed { .. }));
}

async fn opening_without_answer() {
    let listener = harness::listener();
    let address = listener.local_addr().expect("the listener is bound");
    let mut caller = Caller::new();
    let started = std::time::Instant::now();
    caller.dial(address, Duration::from_millis(100));
    assert!(matches!(caller.event().await, Event::Closed { .. }));
    assert!(started.elapsed() < Duration::from_secs(2));
}

async fn reply_over_the_limit() {
    let target = Target::start(|_| {});
    let mut caller = Caller::with_limits(Limits { body_bytes: 1_000 });
    let connection = caller.open(&target).await;
    let outcome = caller.outcome(connection, search("")).await;
    assert!(matches!(outcome, Outcome::Garbled { .. }), "{outcome:?}");
    let outcome = caller.outcome(connection, search("no such text")).await;
    assert!(matches!(outcome, Outcome::Rows { .. }), "{outcome:?}");
}

async fn read_status() {
    let target = Target::start(|_| {});
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    target.put_faults(&Faults { drain: true, ..Faults::default() }).await;
    caller.command(Command::ReadStatus { connection, limit: REQUEST_TIMEOUT });
    match caller.event().await {
        Event::Status { status, .. } => assert!(status.draining),
        event => panic!("{event:?}"),
    }
}

async fn trait_object() {
    let (sender, mut events) = tokio::sync::mpsc::unbounded_channel();
    let client = laburnumworks::target::Client::new(Limits::default(), Ledger::default(), sender);
    let mut targets: Box<dyn Targets> = Box::new(client);
    let connection = laburnum_core::id::Source::new(laburnum_core::id::Origin(1)).connection();
    targets.command(Command::Close { connection });
    assert!(events.try_recv().is_err());
}

cases! {
    a_search_returns_the_rows_of_the_range => search_rows();
    many_attempts_share_one_connection => concurrent_attempts();
    an_attempt_without_answer_blocks_no_other => unanswered_attempt();
    a_cancel_resets_the_stream_and_frees_the_slot => cancel_frees_the_slot();
    a_close_resets_all_streams_without_a_report => close_resets_streams();
    a_lost_connection_is_reported_once_and_takes_no_more => loss_is_reported_once();
    an_idle_connection_that_was_lost_is_not_reopened => loss_while_idle();
    a_send_on_a_closed_connection_is_unsent => closed_connection();
    a_send_before_the_opening_is_done_waits_for_it => sent_while_opening();
    a_send_on_an_opening_that_fails_is_unsent => failed_opening();
    an_opening_without_answer_ends_at_its_limit => opening_without_answer();
    a_reply_over_the_limit_is_garbled_and_the_connection_goes_on => reply_over_the_limit();
    a_status_is_read_on_request => read_status();
    the_client_is_usable_as_a_trait_object => trait_object();
}
