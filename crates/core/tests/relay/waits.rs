//! Queues and deadlines under overload: the order of waiting requests, refusals
//! and the time that is left.

use laburnum_core::relay::{Answer, View, route::Route};

use crate::harness::{Harness, config, ms, request, search, single, success, target, view};

/// Two routes to one target that accepts a single connection from this VM.
fn one_connection() -> View {
    let urgent = Route {
        name: crate::harness::name("urgent"),
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
        let mut harness = Harness::with_view(one_connection());
        harness.submit(request("/fetch/1"));
        harness.submit(request("/fetch/2"));
        harness.submit(request("/urgent/3"));
        let first = harness.take_one_sent();
        harness.reply(&first, success("d", 1));
        assert_eq!(&*harness.take_one_sent().target_request.caller_request.path, "/urgent/3");
    };
    equal_requests_go_in_their_order => {
        let mut harness = Harness::with_view(one_connection());
        (1..=3).for_each(|n| { harness.submit(request(&format!("/fetch/{n}"))); });
        for n in 1..=3 {
            let sent = harness.take_one_sent();
            assert_eq!(&*sent.target_request.caller_request.path, format!("/fetch/{n}"));
            harness.reply(&sent, success("d", 1));
        }
    };
    a_request_that_never_got_a_connection_was_not_run => {
        let mut harness = Harness::with_view(one_connection());
        harness.submit(request("/fetch/1"));
        let waiting = harness.submit(request("/fetch/2"));
        harness.advance(ms(700));
        assert_eq!(harness.refusal_status(waiting), 503);
    };
    the_time_for_a_target_is_what_is_left => {
        let mut harness = Harness::with_view(one_connection());
        harness.submit(request("/fetch/1"));
        harness.submit(request("/fetch/2"));
        let first = harness.take_one_sent();
        harness.now = harness.now + ms(250);
        harness.reply(&first, success("d", 1));
        let second = harness.take_one_sent();
        assert!(second.target_request.time_left <= ms(350), "{:?}", second.target_request.time_left);
    };
    a_caller_that_waited_elsewhere_gets_its_answer_sooner => {
        let mut harness = Harness::with_route(search(&["s1", "s2"], 0.5));
        harness.train_latency("/search/1", 3, ms(5));
        let mut again = request("/search/1");
        again.caller_timeout = Some(ms(560));
        let since = harness.now;
        let call = harness.submit(again);
        let sent = harness.take_sent();
        harness.reply(&sent[0], success("a", 1));
        harness.advance(ms(100));
        assert!(harness.waited(call, since) <= ms(60), "40 ms of the goal have passed");
    };
    // Guards against a caller that says it waits for days: the others of its route, which wait
    // for less, then seem to come back late, and get what is there at once.
    a_caller_that_states_a_very_long_timeout_takes_no_time_from_others => {
        let mut harness = Harness::with_route(search(&["s1", "s2"], 0.5));
        harness.train_latency("/search/1", 3, ms(5));
        let mut endless = request("/search/1");
        endless.caller_timeout = Some(std::time::Duration::from_secs(1 << 40));
        harness.submit(endless);
        harness.take_sent();
        let since = harness.now;
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        harness.reply(&sent[0], success("a", 1));
        harness.advance(ms(70));
        assert!(!harness.answers.contains_key(&call), "{:?}", harness.waited(call, since));
        harness.reply(&sent[1], success("b", 1));
        let Answer::Gathered(gathered) = &harness.answers[&call] else { panic!() };
        assert_eq!(gathered.missing, 0);
    };
    a_caller_is_answered_before_it_gives_up => {
        let mut harness = Harness::with_route(single("desk"));
        let mut short = request("/fetch/1");
        short.caller_timeout = Some(ms(200));
        let since = harness.now;
        let call = harness.submit(short);
        harness.advance(ms(300));
        assert!(harness.waited(call, since) < ms(200));
    };
}
