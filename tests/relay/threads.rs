//! Tests of a VM that loses one of its threads or stops with requests open.

use std::{
    future::pending,
    time::{Duration, Instant},
};

use laburnumworks::relay::guard::{Ended, spawn};
use tokio::time::{sleep, timeout};

use crate::{
    entry::config,
    harness::Harness,
    standin::{entries::CONFIG, target::Behaviour},
};

/// The time within which the end of a thread must be noticed.
const NOTICE_LIMIT: Duration = Duration::from_secs(2);

cases! {
    async:
    a_thread_that_panics_is_noticed => {
        let ended = Ended::default();
        let running = spawn("running", &ended, pending).unwrap();
        assert!(timeout(Duration::from_millis(50), ended.wait()).await.is_err());
        let panicking = spawn("panicking", &ended, || async { panic!("planted") }).unwrap();
        assert!(timeout(NOTICE_LIMIT, ended.wait()).await.is_ok());
        assert!(panicking.join().is_err() && !running.is_finished());
    };
    a_thread_that_returns_is_noticed => {
        let ended = Ended::default();
        spawn("returning", &ended, || async {}).unwrap();
        assert!(timeout(NOTICE_LIMIT, ended.wait()).await.is_ok());
    };
    a_request_that_is_open_at_the_end_is_not_said_to_be_not_run => {
        let harness = Harness::start().await;
        let mut relay = harness.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            harness.targets[id].set_behaviour(Behaviour { run_time: Duration::from_secs(8), ..Behaviour::default() });
        }
        let mut patient = config(9);
        patient["routes"][1]["timeout_ms"] = 9000.into();
        harness.store.put(CONFIG, &patient).await;
        sleep(Duration::from_secs(1)).await;
        let open = harness.try_operate(&relay, Duration::from_secs(9));
        let end = async {
            sleep(Duration::from_millis(200)).await;
            relay.terminate();
        };
        let (response, ()) = tokio::join!(open, end);
        let status = response.map(|response| response.status().as_u16()).ok();
        assert!(!matches!(status, Some(200 | 408 | 421 | 429 | 503)), "{status:?}");
        assert_eq!(harness.runs("desk"), 1);
        assert!(!relay.exits_successfully().await, "a request was open");
    };
    // Guards against requests that a VM reads during a planned stop, keeps because all targets
    // ask for a pause, and cuts off without an answer at the end (review/2).
    a_request_that_cannot_be_served_before_the_end_is_refused_at_once => {
        let harness = Harness::start().await;
        let mut relay = harness.relay("vm-1", 1.0).await;
        let mut patient = config(9);
        patient["routes"][1]["timeout_ms"] = 9000.into();
        harness.store.put(CONFIG, &patient).await;
        for id in ["desk-1", "desk-2"] {
            let behaviour =
                Behaviour { refuses: true, retry_after: Some("8"), ..Behaviour::default() };
            harness.targets[id].set_behaviour(behaviour);
        }
        sleep(Duration::from_secs(1)).await;
        // Both targets ask for a pause that is longer than the stop takes.
        let wait = Duration::from_secs(9);
        let _ = timeout(Duration::from_millis(500), harness.try_operate(&relay, wait)).await;
        let open = harness.try_operate(&relay, wait);
        let stop = async {
            sleep(Duration::from_millis(200)).await;
            relay.terminate();
            sleep(Duration::from_millis(50)).await;
            let since = Instant::now();
            let late = harness.try_operate(&relay, wait).await.unwrap();
            assert!(since.elapsed() < Duration::from_millis(500), "{:?}", since.elapsed());
            late.status()
        };
        let (open, late) = tokio::join!(open, stop);
        assert_eq!((open.unwrap().status().as_u16(), late.as_u16()), (503, 503));
        assert!(relay.exits_successfully().await);
        assert_eq!(harness.runs("desk"), 0);
    };
}
