//! Tests of the whole path from a caller through a relay, with a store and targets.

use std::time::Duration;

use http::{HeaderName, header};
use laburnum_platform::header as names;
use tokio::time::sleep;

use crate::{
    entry::config_with_added_route,
    harness::Harness,
    standin::{entries::CONFIG, target::Behaviour},
};

/// Returns the value of a header, or an empty text.
fn text(response: &reqwest::Response, name: &HeaderName) -> String {
    let value = response.headers().get(name);
    value.map(|value| value.to_str().unwrap().to_owned()).unwrap_or_default()
}

cases! {
    async:
    a_search_is_gathered_from_all_shards => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        let response = harness.search(&relay).await;
        assert_eq!(response.status(), 200);
        assert_eq!(text(&response, &names::MISSING), "0");
        assert_eq!(text(&response, &names::DIGESTS).split(", ").count(), 3);
        let records = [[3; 16], [2; 16]].concat();
        assert_eq!(response.bytes().await.unwrap(), records);
    };
    a_shard_that_fails_is_left_out_and_counted => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        for id in ["two-1", "two-2"] {
            harness.targets[id].set_behaviour(Behaviour { status: Some(500), ..Behaviour::default() });
        }
        let response = harness.search(&relay).await;
        assert_eq!(response.status(), 200);
        assert_eq!(text(&response, &names::MISSING), "1");
        assert!(!text(&response, &names::DIGESTS).contains("two"));
    };
    an_operation_runs_once_and_its_reply_is_passed_on => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        let response = harness.operate(&relay).await;
        assert_eq!(response.status(), 200);
        assert!(text(&response, &names::DIGEST).starts_with("seal-desk"));
        assert_eq!(text(&response, &names::ATTEMPT_ID), "c1");
        assert_eq!(harness.runs("desk"), 1);
    };
    an_operation_that_failed_is_not_run_again => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            harness.targets[id].set_behaviour(Behaviour { status: Some(500), ..Behaviour::default() });
        }
        assert_eq!(harness.operate(&relay).await.status(), 500);
        assert_eq!(harness.runs("desk"), 1);
    };
    an_operation_that_every_target_refused_says_so => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            harness.targets[id].set_behaviour(Behaviour { refuses: true, ..Behaviour::default() });
        }
        let response = harness.operate(&relay).await;
        assert_eq!(response.status(), 503);
        assert!(!text(&response, &header::RETRY_AFTER).is_empty());
        assert_eq!(harness.runs("desk"), 0);
    };
    a_reply_to_another_request_is_not_passed_on => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            harness.targets[id].set_behaviour(Behaviour { echoes_wrong_id: true, ..Behaviour::default() });
        }
        let response = harness.operate(&relay).await;
        assert_eq!(response.status(), 502);
        assert!(text(&response, &names::DIGEST).is_empty());
        assert_eq!(harness.runs("desk"), 1);
    };
    a_route_that_is_added_is_found_within_a_second => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        let path = "/added/1";
        assert_eq!(harness.send(&relay, reqwest::Method::GET, path).await.status(), 404);
        harness.store.put(CONFIG, &config_with_added_route(9)).await;
        sleep(Duration::from_millis(1000)).await;
        assert_eq!(harness.send(&relay, reqwest::Method::GET, path).await.status(), 200);
    };
    a_search_that_may_still_answer_is_partial_at_its_goal => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        for id in ["three-1", "three-2"] {
            harness.targets[id].set_behaviour(Behaviour { run_time: Duration::from_secs(5), ..Behaviour::default() });
        }
        let since = std::time::Instant::now();
        let response = harness.search(&relay).await;
        assert_eq!((response.status().as_u16(), text(&response, &names::MISSING)), (200, "1".into()));
        assert!(since.elapsed() < Duration::from_millis(900), "{:?}", since.elapsed());
    };
    a_vm_that_is_terminated_answers_the_open_requests => {
        let harness = Harness::start().await;
        let mut relay = harness.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            harness.targets[id].set_behaviour(Behaviour { run_time: Duration::from_millis(700), ..Behaviour::default() });
        }
        let open = harness.operate(&relay);
        let end = async {
            sleep(Duration::from_millis(200)).await;
            relay.terminate();
            sleep(Duration::from_millis(100)).await;
            assert_eq!(harness.is_ready(&relay).await, Some(false));
        };
        let (response, ()) = tokio::join!(open, end);
        assert_eq!(response.status(), 200);
        assert_eq!(text(&response, &header::CONNECTION), "close");
        assert!(relay.exits_successfully().await, "the process exits successfully");
    };
    a_small_vm_hands_its_requests_to_a_larger_one => {
        let harness = Harness::start().await;
        let large = harness.relay("large", 1.0).await;
        let small = harness.relay("small", 0.1).await;
        assert!(harness.store.has("vms/large").await && !harness.store.has("vms/small").await);
        assert_eq!(harness.search(&small).await.status(), 200);
        assert_eq!(harness.operate(&small).await.status(), 200);
        assert!(harness.metrics(&small).await.contains("laburnum_requests_handed_total 2"));
        assert!(harness.metrics(&large).await.contains("laburnum_requests_total 2"));
    };
    a_small_vm_serves_alone_when_the_larger_one_is_gone => {
        let harness = Harness::start().await;
        let large = harness.relay("large", 1.0).await;
        let small = harness.relay("small", 0.1).await;
        assert_eq!(harness.search(&small).await.status(), 200);
        drop(large);
        sleep(Duration::from_millis(300)).await;
        let mut last = 0;
        for _ in 0..50 {
            last = harness.search(&small).await.status().as_u16();
            if last == 200 {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(last, 200);
    };
}
