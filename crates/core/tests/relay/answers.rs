//! Replies of one target, passed on as they are.

use laburnum_core::relay::Answer;

use crate::bed::{Bed, failure, inquiry, refusal, single, success};

cases! {
    a_success_is_passed_on_unchanged => {
        let mut bed = Bed::of(single("desk"));
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.reply(&sent, success("d", 7));
        assert_eq!(bed.answers[&call], Answer::Forwarded(Box::new(success("d", 7))));
    };
    a_failure_is_tried_elsewhere_before_it_is_passed_on => {
        let mut bed = Bed::of(single("desk"));
        let call = bed.ask(inquiry("/fetch/1"));
        let first = bed.take_one();
        bed.reply(&first, failure(500));
        let second = bed.take_one();
        bed.reply(&second, failure(500));
        assert_eq!(bed.answers[&call], Answer::Forwarded(Box::new(failure(500))));
    };
    what_the_caller_did_wrong_is_not_tried_elsewhere => {
        let mut bed = Bed::of(single("desk"));
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.reply(&sent, failure(404));
        assert!(matches!(&bed.answers[&call], Answer::Forwarded(reply) if reply.status == 404));
    };
    a_request_that_every_target_refused_was_not_run => {
        let mut bed = Bed::of(single("desk"));
        let call = bed.ask(inquiry("/fetch/1"));
        for _ in 0..2 {
            let sent = bed.take_one();
            bed.reply(&sent, refusal(503));
        }
        assert_eq!(bed.refused(call), 503);
    };
    a_refusal_does_not_hide_a_run => {
        let mut bed = Bed::of(single("desk"));
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.lose(&sent, true);
        let sent = bed.take_one();
        bed.reply(&sent, refusal(503));
        assert_eq!(bed.refused(call), 502);
    };
    the_log_says_why_a_request_was_refused => {
        let mut bed = Bed::of(single("desk"));
        let call = bed.ask(inquiry("/fetch/1"));
        let sent = bed.take_one();
        bed.lose(&sent, true);
        let sent = bed.take_one();
        bed.lose(&sent, true);
        assert_eq!(bed.refused(call), 502);
        let line = bed.lines.iter().find(|l| l.event == laburnum_core::log::Event::Refused).unwrap();
        let field = |name: &str| line.fields.iter().find(|(n, _)| *n == name).map(|(_, v)| v.as_str());
        let lost = bed.lines.iter().filter(|l| l.event == laburnum_core::log::Event::AttemptFailed);
        assert_eq!(lost.count(), 2, "each lost attempt is found by the id of its request");
        assert_eq!(field("id"), Some("c1"));
        assert_eq!(field("ran"), Some("unknown"));
        assert!(field("missing").unwrap().contains("desk-1+desk-2"), "{:?}", line.fields);
    };
}
