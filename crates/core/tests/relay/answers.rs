//! Replies of a single target: which are passed on, which are retried.

use laburnum_core::{
    fault::Ran,
    relay::{Answer, Reply, Route},
};

use crate::harness::{Harness, failure, refusal, request, single, success};

cases! {
    a_success_is_passed_on_unchanged => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.reply(&sent, success("d", 7));
        assert_eq!(harness.answers[&call], Answer::Forwarded(Box::new(success("d", 7))));
    };
    a_failure_is_tried_elsewhere_before_it_is_passed_on => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let first = harness.take_one_sent();
        harness.reply(&first, failure(500));
        let second = harness.take_one_sent();
        harness.reply(&second, failure(500));
        assert_eq!(harness.answers[&call], Answer::Forwarded(Box::new(failure(500))));
    };
    // Guards against a success whose body the caller cannot check: the target broke off, or its
    // bytes are no reply of it.
    a_success_without_a_digest_is_not_passed_on => {
        for status in [200, 204, 101] {
            for idempotent in [true, false] {
                let mut harness = Harness::with_route(Route { idempotent, ..single("desk") });
                let call = harness.submit(request("/fetch/1"));
                for _ in 0..2 {
                    for sent in harness.take_sent() {
                        harness.reply(&sent, Reply { digest: None, ..failure(status) });
                    }
                }
                let Answer::Refused(refusal) = &harness.answers[&call] else { panic!("{status}") };
                assert_eq!(refusal.fault.ran, Ran::Unknown);
                assert_eq!(harness.refusal_status(call), 502);
            }
        }
    };
    // Guards against a status that is none in HTTP, which a target in trouble may send.
    a_status_of_no_class_is_not_passed_on => {
        for status in [0, 1, 99, 600, 999] {
            for idempotent in [true, false] {
                let mut harness = Harness::with_route(Route { idempotent, ..single("desk") });
                let call = harness.submit(request("/fetch/1"));
                for _ in 0..2 {
                    for sent in harness.take_sent() {
                        harness.reply(&sent, failure(status));
                    }
                }
                assert_eq!(harness.refusal_status(call), 502, "{status}");
            }
        }
    };
    a_client_error_is_not_retried => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.reply(&sent, failure(404));
        assert!(matches!(&harness.answers[&call], Answer::Forwarded(reply) if reply.status == 404));
    };
    a_request_that_every_target_refused_was_not_run => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        for _ in 0..2 {
            let sent = harness.take_one_sent();
            harness.reply(&sent, refusal(503));
        }
        assert_eq!(harness.refusal_status(call), 503);
    };
    a_refusal_does_not_hide_a_run => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.lose_connection(&sent, true);
        let sent = harness.take_one_sent();
        harness.reply(&sent, refusal(503));
        assert_eq!(harness.refusal_status(call), 502);
    };
    the_log_says_why_a_request_was_refused => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.lose_connection(&sent, true);
        let sent = harness.take_one_sent();
        harness.lose_connection(&sent, true);
        assert_eq!(harness.refusal_status(call), 502);
        let line =
            harness.lines.iter().find(|l| l.event == laburnum_core::log::Event::Refused).unwrap();
        let field = |name: &str| line.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| v.as_str());
        let lost =
            harness.lines.iter().filter(|l| l.event == laburnum_core::log::Event::AttemptFailed);
        assert_eq!(lost.count(), 2, "each lost attempt is logged with the id of its request");
        assert_eq!(field("id"), Some("c1"));
        assert_eq!(field("ran"), Some("unknown"));
        assert!(field("missing").unwrap().contains("desk-1+desk-2"), "{:?}", line.fields);
    };
}
