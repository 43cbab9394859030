//! The limits of the stand-in target: slots, queue, connections and deadlines.

use std::time::{Duration, Instant};

use laburnum_core::target::{Event, Outcome, Refusal};
use laburnumworks::standin::target::{
    Settings,
    fault::{Defect, Faults, Hit},
    settings::{Raw, shard_range},
};

use crate::harness::{Caller, REQUEST_TIMEOUT, Target, operation, search};

/// Faults by which no request is answered.
fn mute_all() -> Faults {
    let hits = vec![Hit { wrong: Defect::Mute, mark: String::new(), times: None }];
    Faults { hits, ..Faults::default() }
}

async fn full_queue() {
    let target = Target::start(|raw| {
        raw.slots = 1;
        raw.queue = 1;
    });
    target.put_faults(&mute_all()).await;
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    caller.send(connection, search(""));
    caller.send(connection, search(""));
    caller.assert_quiet().await;
    let outcome = caller.outcome(connection, search("")).await;
    assert_eq!(outcome, Outcome::Refused(Refusal::Shed));
    let counts = target.counts().await;
    assert_eq!((counts.started, counts.shed, counts.running_highest), (1, 1, 1));
}

async fn deadline_in_queue() {
    let target = Target::start(|raw| raw.slots = 1);
    target.put_faults(&mute_all()).await;
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    caller.send(connection, search(""));
    let late = caller.send_within(connection, operation("late"), Duration::from_millis(50));
    match caller.event().await {
        Event::Reply { attempt, reply, .. } => {
            assert_eq!(attempt, late);
            assert_eq!(reply.outcome, Outcome::Refused(Refusal::DeadlinePassed));
        }
        event => panic!("{event:?}"),
    }
    assert_eq!(target.counts().await.expired, 1);
    assert!(target.executions().await.tokens.is_empty());
}

async fn connection_limit() {
    let target = Target::start(|raw| raw.connections = 1);
    let mut caller = Caller::new();
    caller.open(&target).await;
    caller.dial(target.address, REQUEST_TIMEOUT);
    assert!(matches!(caller.event().await, Event::Closed { .. }));
    let counts = target.counts().await;
    assert_eq!((counts.connections_highest, counts.connections_refused), (1, 1));
}

async fn connection_cost() {
    let cost = Duration::from_millis(100);
    let target = Target::start(|raw| raw.connection_cost = cost);
    let mut caller = Caller::new();
    let started = Instant::now();
    let connection = caller.open(&target).await;
    assert!(started.elapsed() >= cost);
    let opened = Instant::now();
    caller.call(connection, search("")).await;
    assert!(opened.elapsed() < cost, "{:?}", opened.elapsed());
}

async fn cold_target() {
    let target = Target::start(|raw| {
        raw.cold = Duration::from_secs(1000);
        raw.cold_factor = 300.0;
    });
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    let started = Instant::now();
    caller.call(connection, search("")).await;
    assert!(started.elapsed() > Duration::from_millis(50), "{:?}", started.elapsed());
}

async fn lagging_load() {
    let lag = Duration::from_millis(300);
    let target = Target::start(|raw| raw.load_lag = lag);
    target.put_faults(&mute_all()).await;
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    caller.send(connection, search(""));
    tokio::time::sleep(lag / 3).await;
    assert_eq!(target.load().await.running, 0);
    tokio::time::sleep(lag).await;
    assert_eq!(target.load().await.running, 1);
}

async fn executions() {
    let target = Target::start(|_| {});
    let mut caller = Caller::new();
    let connection = caller.open(&target).await;
    for _ in 0..2 {
        let outcome = caller.outcome(connection, operation("same")).await;
        assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    }
    let executions = target.executions().await;
    assert_eq!(executions.tokens.values().collect::<Vec<_>>(), [&1, &1]);
    assert_eq!(executions.details.values().collect::<Vec<_>>(), [&2]);
    assert_eq!(executions.subjects.get(&5), Some(&2));
}

fn assert_shards_cover_all(shards: u32) {
    let mut next = 0;
    for number in 0..shards {
        let range = shard_range(number, shards);
        assert_eq!(range.first(), next);
        next = range.last().wrapping_add(1);
    }
    assert_eq!(next, 0, "the last shard ends at the end of the key space");
}

/// The key that the error of the changed settings names, if they are invalid.
fn invalid_key(change: impl FnOnce(&mut Raw)) -> Option<&'static str> {
    let mut raw = Raw::default();
    change(&mut raw);
    Settings::try_from(raw).err().map(|error| error.key)
}

cases! {
    a_full_queue_sheds => full_queue();
    a_deadline_that_passes_in_the_queue_is_refused => deadline_in_queue();
    a_connection_over_the_limit_is_refused => connection_limit();
    a_new_connection_costs_time_once => connection_cost();
    a_cold_target_is_slow => cold_target();
    the_reported_load_lags => lagging_load();
    each_execution_is_counted => executions();
    parts_are_disjoint_and_cover_all_keys => async {
        [1, 2, 3, 7, 64, 1000].into_iter().for_each(assert_shards_cover_all);
    };
    a_wrong_setting_is_named => async {
        assert_eq!(invalid_key(|raw| raw.slots = 0), Some("slots"));
        assert_eq!(invalid_key(|raw| raw.shard = 1), Some("shard"));
        assert_eq!(invalid_key(|raw| raw.spread = f64::NAN), Some("spread"));
        assert_eq!(invalid_key(|_| {}), None);
    };
}
