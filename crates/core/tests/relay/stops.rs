//! Tests of a VM that shuts down while it has requests.

use std::time::Duration;

use laburnum_core::{
    fault::Ran,
    id::Origin,
    relay::{
        Answer, Call, Event, Hop, Reach, Reply, Route, View, hop,
        message::{Notice, Refusal},
        view::Vm,
    },
};

use crate::harness::{Harness, ms, name, refusal, request, single, success};

/// Tells the engine that every request is to be answered within `span`.
fn stop_within(harness: &mut Harness, span: Duration) {
    let at = harness.now + span;
    harness.tick(vec![Event::Stopping { at }]);
}

/// A target's refusal that asks for a pause of 400 ms.
fn pause() -> Reply {
    Reply { notice: Notice { is_leaving: false, pause: Some(ms(400)) }, ..refusal(503) }
}

fn refusal_of(harness: &Harness, call: Call) -> &Refusal {
    match &harness.answers[&call] {
        Answer::Refused(refusal) => refusal,
        other => panic!("{other:?}"),
    }
}

/// A small VM that knows two larger ones, of which `a` is in its failure domain, and that
/// has handed a request to it.
fn small() -> Harness {
    let vm = |domain: &str, last: u8| {
        let address = format!("10.1.0.{last}:7000").parse().unwrap();
        Vm { domain: name(domain), address, share: 500 }
    };
    let larger = [(name("a"), vm("near", 1)), (name("b"), vm("far", 2))].into();
    let mut harness = Harness::empty();
    harness.set_view(View { larger, ..View::default() });
    assert_eq!(hand_over(&mut harness), "a");
    harness
}

/// Sends a request and returns the VM to which it is handed.
fn hand_over(harness: &mut Harness) -> String {
    harness.hops.clear();
    harness.submit(request("/fetch/1"));
    let [(to, Hop::Request { .. })] = &harness.hops[..] else { panic!("{:?}", harness.hops) };
    to.to_string()
}

fn tell_stop(harness: &mut Harness, from: &str, ends_in: Duration) {
    harness.tick(vec![Event::Hop { from: name(from), hop: Hop::Stopping { ends_in } }]);
}

cases! {
    // Guards against requests that wait for targets until the process ends, and are then cut
    // off without an answer (review/2).
    a_request_that_waits_beyond_the_end_is_refused_at_once => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/0"));
        for _ in 0..2 {
            let sent = harness.take_one_sent();
            harness.reply(&sent, pause());
        }
        let call = harness.submit(request("/fetch/1"));
        assert!(!harness.answers.contains_key(&call), "it waits for 400 of its 600 ms");
        stop_within(&mut harness, ms(300));
        assert_eq!(refusal_of(&harness, call).fault.ran, Ran::No);
        assert!(refusal_of(&harness, call).retry.is_some());
        let late = harness.submit(request("/fetch/2"));
        assert_eq!(refusal_of(&harness, late).fault.ran, Ran::No);
        assert!(!harness.engine.is_cut_short());
    };
    a_request_that_can_be_served_before_the_end_is_served => {
        let mut harness = Harness::with_route(single("desk"));
        stop_within(&mut harness, ms(300));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        assert!(sent.target_request.time_left <= ms(300), "the target knows when it is late");
        harness.advance(ms(100));
        harness.reply(&sent, success("d", 1));
        assert!(matches!(harness.answers[&call], Answer::Forwarded(_)));
        harness.advance(ms(300));
        assert!(!harness.engine.is_cut_short());
    };
    a_request_at_work_is_answered_before_the_end_and_not_said_to_be_not_run => {
        let mut harness = Harness::with_route(Route { idempotent: false, ..single("desk") });
        let call = harness.submit(request("/fetch/1"));
        harness.take_one_sent();
        let since = harness.now;
        stop_within(&mut harness, ms(300));
        harness.advance(ms(400));
        assert_eq!(refusal_of(&harness, call).fault.ran, Ran::Unknown);
        assert_eq!(harness.waited(call, since), ms(300));
        assert!(harness.engine.is_cut_short());
    };
    // Guards against requests that are taken late in a planned stop, passed on and cut off at
    // its end.
    a_request_that_comes_too_late_to_be_served_is_not_passed_on => {
        for idempotent in [true, false] {
            let mut harness = Harness::with_route(Route { idempotent, ..single("desk") });
            stop_within(&mut harness, ms(300));
            harness.advance(ms(230));
            let call = harness.submit(request("/fetch/1"));
            assert!(harness.take_sent().is_empty());
            assert_eq!(refusal_of(&harness, call).fault.ran, Ran::No);
            assert_eq!(harness.refusal_status(call), 503);
        }
    };
    a_vm_that_stops_tells_the_vms_that_hand_requests_to_it => {
        let mut harness = Harness::with_route(single("desk"));
        let id = hop::Id { origin: Origin(77), call: Call(5) };
        let reply_to = "10.2.0.1:7000".parse().unwrap();
        let hop = |id| Hop::Request { id, caller_request: Box::new(request("/fetch/1")), reply_to };
        harness.tick(vec![Event::Hop { from: name("small"), hop: hop(id) }]);
        stop_within(&mut harness, ms(3000));
        assert!(harness.engine.owes_answers());
        let told = Hop::Stopping { ends_in: ms(3000) };
        assert_eq!(harness.hops, [(name("small"), told.clone())]);
        let other = Event::Hop { from: name("other"), hop: hop(id) };
        harness.tick(vec![other]);
        assert!(harness.hops.contains(&(name("other"), told)), "also one that comes later");
        for sent in harness.take_sent() {
            harness.reply(&sent, success("d", 1));
        }
        assert!(!harness.engine.owes_answers());
    };
    a_vm_that_stops_gets_no_requests_while_there_is_another => {
        let mut harness = small();
        tell_stop(&mut harness, "a", ms(3000));
        assert_eq!(hand_over(&mut harness), "b");
        tell_stop(&mut harness, "b", ms(3000));
        assert_eq!(harness.engine.reach(harness.now), Reach::Lost, "it reads the routes itself");
        assert_eq!(hand_over(&mut harness), "a", "better than nobody");
    };
    a_vm_that_stopped_gets_requests_again_when_it_is_back => {
        let mut harness = small();
        tell_stop(&mut harness, "a", ms(3000));
        let detail = "closed".to_owned();
        harness.tick(vec![Event::HopLost { to: name("a"), detail, maybe_received: true }]);
        assert_eq!(hand_over(&mut harness), "b");
        harness.advance(ms(550));
        assert_eq!(hand_over(&mut harness), "a");
        tell_stop(&mut harness, "a", ms(200));
        harness.advance(ms(250));
        assert_eq!(hand_over(&mut harness), "a", "its process has ended by now");
    };
    a_small_vm_that_stops_waits_no_longer_than_it_runs => {
        let mut harness = small();
        let since = harness.now;
        stop_within(&mut harness, ms(200));
        harness.advance(ms(300));
        let call = *harness.answers.keys().next().unwrap();
        assert_eq!(refusal_of(&harness, call).fault.ran, Ran::Unknown);
        assert!(harness.waited(call, since) <= ms(200));
        assert!(harness.engine.is_cut_short());
    };
}
