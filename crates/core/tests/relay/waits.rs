//! How work waits and is turned away when load is at its worst.

use laburnum_core::relay::{View, route::Route};

use crate::bed::{Bed, config, inquiry, ms, search, single, success, target, view};

/// Two routes to one target that takes one connection of this VM.
fn narrow() -> View {
    let urgent = Route {
        name: crate::bed::name("urgent"),
        priority: 0,
        prefix: "/urgent/".into(),
        ..single("desk")
    };
    let mut view = view(config(1, vec![single("desk"), urgent], 1));
    view.targets = [target("desk-1", "desk")].into();
    view
}

cases! {
    the_urgent_request_goes_first => {
        let mut bed = Bed::new(narrow());
        bed.ask(inquiry("/fetch/1"));
        bed.ask(inquiry("/fetch/2"));
        bed.ask(inquiry("/urgent/3"));
        let first = bed.take_one();
        bed.reply(&first, success("d", 1));
        assert_eq!(&*bed.take_one().target_request.caller_request.path, "/urgent/3");
    };
    equal_requests_go_in_their_order => {
        let mut bed = Bed::new(narrow());
        (1..=3).for_each(|n| { bed.ask(inquiry(&format!("/fetch/{n}"))); });
        for n in 1..=3 {
            let sent = bed.take_one();
            assert_eq!(&*sent.target_request.caller_request.path, format!("/fetch/{n}"));
            bed.reply(&sent, success("d", 1));
        }
    };
    a_request_that_never_got_a_connection_was_not_run => {
        let mut bed = Bed::new(narrow());
        bed.ask(inquiry("/fetch/1"));
        let waiting = bed.ask(inquiry("/fetch/2"));
        bed.pass(ms(700));
        assert_eq!(bed.refused(waiting), 503);
    };
    the_time_for_a_target_is_what_is_left => {
        let mut bed = Bed::new(narrow());
        bed.ask(inquiry("/fetch/1"));
        bed.ask(inquiry("/fetch/2"));
        let first = bed.take_one();
        bed.now = bed.now + ms(250);
        bed.reply(&first, success("d", 1));
        let second = bed.take_one();
        assert!(second.target_request.time_left <= ms(350), "{:?}", second.target_request.time_left);
    };
    a_caller_that_waited_elsewhere_gets_its_answer_sooner => {
        let mut bed = Bed::of(search(&["s1", "s2"], 0.5));
        bed.teach("/search/1", 3, ms(5));
        let mut again = inquiry("/search/1");
        again.caller_timeout = Some(ms(560));
        let since = bed.now;
        let call = bed.ask(again);
        let sent = bed.take();
        bed.reply(&sent[0], success("a", 1));
        bed.pass(ms(100));
        assert!(bed.waited(call, since) <= ms(60), "40 ms of the goal are gone");
    };
    a_caller_is_answered_before_it_gives_up => {
        let mut bed = Bed::of(single("desk"));
        let mut short = inquiry("/fetch/1");
        short.caller_timeout = Some(ms(200));
        let since = bed.now;
        let call = bed.ask(short);
        bed.pass(ms(300));
        assert!(bed.waited(call, since) < ms(200));
    };
}
