//! The whole path: a caller, a relay, the store and the targets.

use std::time::Duration;

use http::{HeaderName, header};
use laburnum_platform::header as names;
use tokio::time::sleep;

use crate::{
    bed::Bed,
    entry::config,
    standin::{entries::CONFIG, target::Manner},
};

/// The value of a header, or nothing.
fn text(response: &reqwest::Response, name: &HeaderName) -> String {
    let value = response.headers().get(name);
    value.map(|value| value.to_str().unwrap().to_owned()).unwrap_or_default()
}

cases! {
    async:
    a_search_is_gathered_from_all_shards => {
        let bed = Bed::start().await;
        let relay = bed.relay("vm-1", 1.0).await;
        let response = bed.search(&relay).await;
        assert_eq!(response.status(), 200);
        assert_eq!(text(&response, &names::MISSING), "0");
        assert_eq!(text(&response, &names::DIGESTS).split(", ").count(), 3);
        let records = [[3; 16], [2; 16]].concat();
        assert_eq!(response.bytes().await.unwrap(), records);
    };
    a_shard_that_fails_is_left_out_and_counted => {
        let bed = Bed::start().await;
        let relay = bed.relay("vm-1", 1.0).await;
        for id in ["two-1", "two-2"] {
            bed.targets[id].behave(Manner { status: Some(500), ..Manner::default() });
        }
        let response = bed.search(&relay).await;
        assert_eq!(response.status(), 200);
        assert_eq!(text(&response, &names::MISSING), "1");
        assert!(!text(&response, &names::DIGESTS).contains("two"));
    };
    an_operation_runs_once_and_its_reply_is_passed_on => {
        let bed = Bed::start().await;
        let relay = bed.relay("vm-1", 1.0).await;
        let response = bed.operate(&relay).await;
        assert_eq!(response.status(), 200);
        assert!(text(&response, &names::DIGEST).starts_with("seal-desk"));
        assert_eq!(text(&response, &names::ATTEMPT_ID), "c1");
        assert_eq!(bed.runs("desk"), 1);
    };
    an_operation_that_failed_is_not_run_again => {
        let bed = Bed::start().await;
        let relay = bed.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            bed.targets[id].behave(Manner { status: Some(500), ..Manner::default() });
        }
        assert_eq!(bed.operate(&relay).await.status(), 500);
        assert_eq!(bed.runs("desk"), 1);
    };
    an_operation_that_every_target_refused_says_so => {
        let bed = Bed::start().await;
        let relay = bed.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            bed.targets[id].behave(Manner { refuses: true, ..Manner::default() });
        }
        let response = bed.operate(&relay).await;
        assert_eq!(response.status(), 503);
        assert!(!text(&response, &header::RETRY_AFTER).is_empty());
        assert_eq!(bed.runs("desk"), 0);
    };
    a_reply_to_another_request_is_not_passed_on => {
        let bed = Bed::start().await;
        let relay = bed.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            bed.targets[id].behave(Manner { crosses: true, ..Manner::default() });
        }
        let response = bed.operate(&relay).await;
        assert_eq!(response.status(), 502);
        assert!(text(&response, &names::DIGEST).is_empty());
        assert_eq!(bed.runs("desk"), 1);
    };
    a_route_that_is_added_is_found_within_a_second => {
        let bed = Bed::start().await;
        let relay = bed.relay("vm-1", 1.0).await;
        let path = "/added/1";
        assert_eq!(bed.ask(&relay, reqwest::Method::GET, path).await.status(), 404);
        let mut newer = config(9);
        let mut route = newer["routes"][0].clone();
        route["name"] = "added".into();
        route["prefix"] = "/added/".into();
        newer["routes"].as_array_mut().unwrap().push(route);
        bed.store.put(CONFIG, &newer).await;
        sleep(Duration::from_millis(1000)).await;
        assert_eq!(bed.ask(&relay, reqwest::Method::GET, path).await.status(), 200);
    };
    a_search_that_may_still_answer_is_partial_at_its_goal => {
        let bed = Bed::start().await;
        let relay = bed.relay("vm-1", 1.0).await;
        for id in ["three-1", "three-2"] {
            bed.targets[id].behave(Manner { run: Duration::from_secs(5), ..Manner::default() });
        }
        let since = std::time::Instant::now();
        let response = bed.search(&relay).await;
        assert_eq!((response.status().as_u16(), text(&response, &names::MISSING)), (200, "1".into()));
        assert!(since.elapsed() < Duration::from_millis(900), "{:?}", since.elapsed());
    };
    a_vm_that_is_told_to_end_answers_what_it_took => {
        let bed = Bed::start().await;
        let mut relay = bed.relay("vm-1", 1.0).await;
        for id in ["desk-1", "desk-2"] {
            bed.targets[id].behave(Manner { run: Duration::from_millis(700), ..Manner::default() });
        }
        let open = bed.operate(&relay);
        let end = async {
            sleep(Duration::from_millis(200)).await;
            relay.terminate();
            sleep(Duration::from_millis(100)).await;
            assert_eq!(bed.is_ready(&relay).await, Some(false));
        };
        let (response, ()) = tokio::join!(open, end);
        assert_eq!(response.status(), 200);
        assert_eq!(text(&response, &header::CONNECTION), "close");
        assert!(relay.ended().await, "the end is orderly");
    };
    a_small_vm_hands_its_requests_to_a_larger_one => {
        let bed = Bed::start().await;
        let large = bed.relay("large", 1.0).await;
        let small = bed.relay("small", 0.1).await;
        assert!(bed.store.has("vms/large").await && !bed.store.has("vms/small").await);
        assert_eq!(bed.search(&small).await.status(), 200);
        assert_eq!(bed.operate(&small).await.status(), 200);
        assert!(bed.metrics(&small).await.contains("laburnum_requests_handed_total 2"));
        assert!(bed.metrics(&large).await.contains("laburnum_requests_total 2"));
    };
    a_small_vm_serves_alone_when_the_larger_one_is_gone => {
        let bed = Bed::start().await;
        let large = bed.relay("large", 1.0).await;
        let small = bed.relay("small", 0.1).await;
        assert_eq!(bed.search(&small).await.status(), 200);
        drop(large);
        sleep(Duration::from_millis(300)).await;
        let mut last = 0;
        for _ in 0..50 {
            last = bed.search(&small).await.status().as_u16();
            if last == 200 {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(last, 200);
    };
}
