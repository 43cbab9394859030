//! The faults of the stand-in target, as the client sees them.

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{
    digest, id, key,
    target::{Command, Event, Outcome, Refusal, Version},
};
use laburnumworks::standin::target::{
    fault::{Crash, Defect, Faults, Hit, Moment},
    settings::shard_range,
    table::Load,
};

use crate::harness::{Caller, REQUEST_TIMEOUT, Target, operation, search, search_at};

/// Starts a target and opens a connection to it.
async fn setup() -> (Target, Caller, id::Connection) {
    let target = Target::start(|_| {});
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    (target, caller, connection)
}

/// The outcome of a search of half the key space when all replies have
/// `defect`.
async fn outcome_with(defect: Defect) -> Outcome {
    let (target, mut caller, connection) = setup().await;
    target.corrupt_replies(defect).await;
    caller.outcome(connection, search_at(1, shard_range(0, 2), "")).await
}

async fn cut() {
    let outcome = outcome_with(Defect::Cut).await;
    assert!(matches!(outcome, Outcome::Garbled { .. }), "{outcome:?}");
}

async fn crossed() {
    let (target, mut caller, connection) = setup().await;
    target.corrupt_replies(Defect::Crossed).await;
    let attempt = caller.send(connection, search(""));
    match caller.event().await {
        Event::Reply { attempt: own, reply, .. } => {
            assert_eq!(own, attempt);
            assert_ne!(reply.attempt, Some(attempt));
        }
        event => panic!("{event:?}"),
    }
}

async fn doubled() {
    let Outcome::Rows { rows, count, digest, .. } = outcome_with(Defect::Doubled).await else {
        panic!("no rows");
    };
    assert!(rows.chunks(2).all(|pair| pair[0] == pair[1]));
    assert_eq!((count, digest), (rows.len() as u64, digest::rows(&rows)));
}

async fn outside() {
    let Outcome::Rows { rows, range, .. } = outcome_with(Defect::Outside).await else {
        panic!("no rows");
    };
    assert_eq!(rows.iter().filter(|row| !range.contains(row.key)).count(), 1);
}

async fn version() {
    let Outcome::Rows { version, .. } = outcome_with(Defect::Version).await else {
        panic!("no rows");
    };
    assert_eq!(version, Version(2));
}

async fn wrong_digest() {
    let Outcome::Rows { rows, digest, .. } = outcome_with(Defect::Digest).await else {
        panic!("no rows");
    };
    assert_ne!(digest, digest::rows(&rows));
}

async fn limited_hits() {
    let (target, mut caller, connection) = setup().await;
    let hits = vec![Hit { wrong: Defect::Cut, mark: "radar".to_owned(), times: Some(1) }];
    target.put_faults(&Faults { hits, ..Faults::default() }).await;
    let mut garbled = Vec::new();
    for text in ["uhf", "radar", "radar"] {
        let outcome = caller.outcome(connection, search(text)).await;
        garbled.push(matches!(outcome, Outcome::Garbled { .. }));
    }
    assert_eq!(garbled, [false, true, false]);
}

/// Asserts that a target with these faults refuses a search and starts nothing.
async fn assert_refused(faults: Faults, refusal: Refusal) {
    let (target, mut caller, connection) = setup().await;
    target.put_faults(&faults).await;
    let reply = caller.call(connection, search("")).await;
    assert_eq!(reply.outcome, Outcome::Refused(refusal));
    assert_eq!(reply.status.map(|status| status.draining), Some(faults.drain));
    assert_eq!(target.counts().await.started, 0);
}

async fn drain() {
    assert_refused(Faults { drain: true, ..Faults::default() }, Refusal::Draining).await;
}

async fn shed() {
    assert_refused(Faults { shed: true, ..Faults::default() }, Refusal::Shed).await;
}

async fn version_gone() {
    let holds = BTreeMap::from([(Version(2), key::Range::ALL)]);
    assert_refused(Faults { holds: Some(holds), ..Faults::default() }, Refusal::VersionGone).await;
}

async fn range_moved() {
    let holds = BTreeMap::from([(Version(1), shard_range(0, 2))]);
    assert_refused(Faults { holds: Some(holds), ..Faults::default() }, Refusal::RangeMoved).await;
}

/// Crashes a target with one operation and returns how often the operation took
/// effect.
async fn crash(moment: Moment) -> u64 {
    let (target, mut caller, connection) = setup().await;
    let down = Duration::from_millis(300);
    let crash = Some(Crash { mark: "boom".to_owned(), moment, down });
    target.put_faults(&Faults { crash, ..Faults::default() }).await;
    caller.send(connection, operation("boom"));
    assert!(matches!(caller.event().await, Event::Closed { .. }));
    caller.dial(target.address, REQUEST_TIMEOUT);
    assert!(matches!(caller.event().await, Event::Closed { .. }), "the target must be down");
    tokio::time::sleep(down).await;
    caller.dial(target.address, REQUEST_TIMEOUT);
    match caller.event().await {
        Event::Opened { status, .. } => assert_eq!(status.incarnation, 2),
        event => panic!("{event:?}"),
    }
    target.executions().await.details.get("boom").copied().unwrap_or_default()
}

async fn silent_connection() {
    let (target, mut caller, old) = setup().await;
    target.put_faults(&Faults { silence: true, ..Faults::default() }).await;
    caller.send(old, search(""));
    caller.assert_quiet().await;
    let new = caller.open(&target).await;
    assert!(matches!(caller.outcome(new, search("")).await, Outcome::Rows { .. }));
    caller.command(Command::ReadStatus { connection: old, limit: Duration::from_millis(100) });
    assert!(matches!(caller.event().await, Event::Closed { connection, .. } if connection == old));
    assert_eq!(target.counts().await.attempts, 1);
}

async fn slow_target() {
    let (target, mut caller, connection) = setup().await;
    target.put_faults(&Faults { slow_factor: 300.0, ..Faults::default() }).await;
    let started = std::time::Instant::now();
    caller.call(connection, search("")).await;
    assert!(started.elapsed() > Duration::from_millis(50), "{:?}", started.elapsed());
}

async fn stragglers() {
    let (target, mut caller, connection) = setup().await;
    let faults = Faults {
        straggler_ppm: Some(1_000_000),
        straggler_factor: Some(300.0),
        ..Faults::default()
    };
    target.put_faults(&faults).await;
    let started = std::time::Instant::now();
    caller.call(connection, search("")).await;
    assert!(started.elapsed() > Duration::from_millis(50), "{:?}", started.elapsed());
}

async fn false_load() {
    let (target, _, _) = setup().await;
    let load = Load { running: 9, waiting: 9, slots: 2 };
    target.put_faults(&Faults { load: Some(load), ..Faults::default() }).await;
    assert_eq!(target.load().await, load);
}

cases! {
    a_cut_reply_is_garbled => cut();
    a_crossed_reply_carries_another_id => crossed();
    doubled_rows_agree_with_their_digest => doubled();
    a_row_outside_of_the_range_is_sent => outside();
    a_wrong_version_is_stated => version();
    a_wrong_digest_is_stated => wrong_digest();
    a_fault_hits_marked_requests_so_many_times => limited_hits();
    a_draining_target_refuses_and_says_so => drain();
    a_target_that_sheds_starts_nothing => shed();
    a_version_that_is_gone_is_refused => version_gone();
    a_range_that_moved_is_refused => range_moved();
    a_crash_at_the_start_has_no_effect => async {
        assert_eq!(crash(Moment::Start).await, 0);
    };
    a_crash_midway_has_no_effect => async {
        assert_eq!(crash(Moment::Midway).await, 0);
    };
    a_crash_after_the_effect_has_run_once => async {
        assert_eq!(crash(Moment::After).await, 1);
    };
    a_silent_connection_stays_silent_and_new_ones_work => silent_connection();
    a_slow_target_answers_late => slow_target();
    stragglers_answer_late => stragglers();
    a_target_may_report_a_false_load => false_load();
}
