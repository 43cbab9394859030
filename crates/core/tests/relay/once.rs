//! Requests that must not run twice, and refusals that say truthfully whether a
//! request may have run.

use laburnum_core::relay::{Answer, route::Route};

use crate::harness::{Harness, failure, ms, refusal, request, single, success};

/// A route whose requests must not run twice.
fn operation() -> Route {
    Route { idempotent: false, attempts: 3, ..single("desk") }
}

cases! {
    a_lost_operation_is_not_sent_again => {
        let mut harness = Harness::with_route(operation());
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.lose_connection(&sent, true);
        assert!(harness.take_sent().is_empty());
        assert_eq!(harness.refusal_status(call), 502);
    };
    an_operation_that_was_not_sent_goes_elsewhere => {
        let mut harness = Harness::with_route(operation());
        harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.lose_connection(&sent, false);
        assert_ne!(harness.take_one_sent().target(), sent.target());
    };
    an_operation_that_a_target_did_not_run_goes_elsewhere => {
        let mut harness = Harness::with_route(operation());
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.reply(&sent, refusal(503));
        let again = harness.take_one_sent();
        assert_ne!(again.target(), sent.target());
        harness.reply(&again, success("d", 1));
        assert!(matches!(harness.answers[&call], Answer::Forwarded(_)));
    };
    an_operation_is_never_hedged => {
        let mut harness = Harness::with_route(operation());
        harness.train_latency("/fetch/1", 10, ms(5));
        harness.submit(request("/fetch/1"));
        harness.take_one_sent();
        harness.advance(ms(500));
        assert!(harness.take_sent().is_empty());
    };
    an_operation_that_fails_is_answered_with_that_failure => {
        let mut harness = Harness::with_route(operation());
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.reply(&sent, failure(500));
        let Answer::Forwarded(reply) = &harness.answers[&call] else { panic!() };
        assert_eq!(reply.status, 500);
    };
    a_status_that_wrongly_implies_not_run_is_not_passed_on => {
        for status in [408, 429, 503] {
            let mut harness = Harness::with_route(operation());
            let call = harness.submit(request("/fetch/1"));
            let sent = harness.take_one_sent();
            harness.reply(&sent, failure(status));
            assert_eq!(harness.refusal_status(call), 502, "{status}");
        }
    };
    an_operation_under_way_at_its_deadline_may_have_run => {
        let mut harness = Harness::with_route(operation());
        let since = harness.now;
        let call = harness.submit(request("/fetch/1"));
        harness.advance(ms(700));
        assert_eq!(harness.refusal_status(call), 504);
        assert!(harness.waited(call, since) <= ms(600));
    };
    an_operation_that_reached_no_target_says_so => {
        let mut harness = Harness::with_route(operation());
        let mut view = (*harness.engine.tables().view).clone();
        view.targets.clear();
        harness.set_view(view);
        let call = harness.submit(request("/fetch/1"));
        assert_eq!(harness.refusal_status(call), 503);
        let Answer::Refused(refusal) = &harness.answers[&call] else { panic!() };
        assert!(refusal.retry.is_some());
    };
    a_reply_after_a_caller_left_is_dropped => {
        let mut harness = Harness::with_route(operation());
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.tick(vec![laburnum_core::relay::Event::Abandoned { call }]);
        harness.reply(&sent, success("d", 1));
        assert!(harness.answers.is_empty());
    };
    a_request_whose_caller_left_is_withdrawn => {
        let mut harness = Harness::with_route(operation());
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.tick(vec![laburnum_core::relay::Event::Abandoned { call }]);
        harness.advance(ms(400));
        assert_eq!(harness.closed, [sent.connection]);
        harness.advance(ms(1000));
        assert!(harness.take_sent().is_empty());
    };
}
