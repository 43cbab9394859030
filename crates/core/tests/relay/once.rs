//! Requests that may run once, and refusals that are true.

use laburnum_core::relay::{Answer, route::Route};

use crate::bed::{Bed, failure, inquiry, ms, refusal, single, success};

fn operation() -> Route {
    Route { idempotent: false, attempts: 3, ..single("desk") }
}

cases! {
    a_lost_operation_is_not_sent_again => {
        let mut bed = Bed::of(operation());
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.lose(&sent, true);
        assert!(bed.take().is_empty());
        assert_eq!(bed.refused(call), 502);
    };
    an_operation_that_was_not_sent_goes_elsewhere => {
        let mut bed = Bed::of(operation());
        bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.lose(&sent, false);
        assert_ne!(bed.take_one().target(), sent.target());
    };
    an_operation_that_a_target_did_not_run_goes_elsewhere => {
        let mut bed = Bed::of(operation());
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.reply(&sent, refusal(503));
        let again = bed.take_one();
        assert_ne!(again.target(), sent.target());
        bed.reply(&again, success("d", 1));
        assert!(matches!(bed.answers[&call], Answer::Forwarded(_)));
    };
    an_operation_is_never_hedged => {
        let mut bed = Bed::of(operation());
        bed.teach("/fetch/1", 10, ms(5));
        bed.ask(inquiry("/fetch/1"));
        bed.take_one();
        bed.pass(ms(500));
        assert!(bed.take().is_empty());
    };
    an_operation_that_fails_is_answered_with_that_failure => {
        let mut bed = Bed::of(operation());
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.reply(&sent, failure(500));
        let Answer::Forwarded(reply) = &bed.answers[&call] else { panic!() };
        assert_eq!(reply.status, 500);
    };
    a_status_that_promises_too_much_is_not_passed_on => {
        for status in [408, 429, 503] {
            let mut bed = Bed::of(operation());
            let call = bed.ask(inquiry("/fetch/1"));
            let sent = bed.take_one();
            bed.reply(&sent, failure(status));
            assert_eq!(bed.refused(call), 502, "{status}");
        }
    };
    an_operation_under_way_at_its_deadline_may_have_run => {
        let mut bed = Bed::of(operation());
        let since = bed.now;
        let call = bed.ask(inquiry("/fetch/1"));
        bed.pass(ms(700));
        assert_eq!(bed.refused(call), 504);
        assert!(bed.waited(call, since) <= ms(600));
    };
    an_operation_that_reached_no_target_says_so => {
        let mut bed = Bed::of(operation());
        let mut view = (*bed.engine.tables().view).clone();
        view.targets.clear();
        bed.show(view);
        let call = bed.ask(inquiry("/fetch/1"));
        assert_eq!(bed.refused(call), 503);
        let Answer::Refused(refusal) = &bed.answers[&call] else { panic!() };
        assert!(refusal.retry.is_some());
    };
    a_reply_after_a_caller_left_is_dropped => {
        let mut bed = Bed::of(operation());
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.step(vec![laburnum_core::relay::Event::Abandoned { call }]);
        bed.reply(&sent, success("d", 1));
        assert!(bed.answers.is_empty());
    };
    a_request_whose_caller_left_is_withdrawn => {
        let mut bed = Bed::of(operation());
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.step(vec![laburnum_core::relay::Event::Abandoned { call }]);
        bed.pass(ms(400));
        assert_eq!(bed.closed, [sent.connection]);
        bed.pass(ms(1000));
        assert!(bed.take().is_empty());
    };
}
