//! Requests that a small VM hands to a larger one.

use std::collections::BTreeMap;

use laburnum_core::{
    fault::{Fault, Kind, Ran},
    relay::{
        Answer, Call, Event, Hop, View,
        message::{CallerRequest, Refusal},
        view::Vm,
    },
};

use crate::bed::{Bed, config, inquiry, ms, name, search, single, success, view};

fn vm(domain: &str, last: u8) -> Vm {
    let address = format!("10.1.0.{last}:7000").parse().unwrap();
    Vm { domain: name(domain), address, share: 500 }
}

/// A small VM beside larger ones that knows no routes.
fn small(larger: &[(&str, &str)]) -> Bed {
    let vms = larger.iter().zip(1u8..).map(|((id, domain), last)| (name(id), vm(domain, last)));
    let larger: BTreeMap<_, _> = vms.collect();
    let mut bed = Bed::empty();
    bed.show(View { larger, ..View::default() });
    bed
}

/// Takes the only message to another VM, which is a request.
fn asked(bed: &mut Bed) -> (String, Call, CallerRequest) {
    let hops = std::mem::take(&mut bed.hops);
    let [(to, Hop::Request { call, caller_request, .. })] = &hops[..] else { panic!("{hops:?}") };
    (to.to_string(), *call, (**caller_request).clone())
}

fn answer(bed: &mut Bed, from: &str, call: Call) {
    let answer = Answer::Forwarded(Box::new(success("d", 1)));
    let hop = Hop::Answer { call, answer, is_current: true };
    bed.step(vec![Event::Hop { from: name(from), hop }]);
}

fn answer_of(bed: &mut Bed, from: &str, call: Call, at_caller: Call) {
    answer(bed, from, call);
    assert!(matches!(bed.answers[&at_caller], Answer::Forwarded(_)));
}

fn ask_of(call: u64, caller_request: CallerRequest) -> Event {
    let reply_to = "10.2.0.1:7000".parse().unwrap();
    let hop = Hop::Request { call: Call(call), caller_request: Box::new(caller_request), reply_to };
    Event::Hop { from: name("small"), hop }
}

/// A VM could not be reached.
fn unreached(vm: &str) -> Event {
    Event::HopLost { to: name(vm), detail: "refused".into(), maybe_received: false }
}

cases! {
    a_small_vm_hands_its_requests_on => {
        let mut bed = small(&[("large", "near")]);
        let call = bed.ask(inquiry("/fetch/1"));
        let (to, asked, caller_request) = asked(&mut bed);
        assert_eq!((to.as_str(), &*caller_request.id), ("large", "c1"));
        assert!(caller_request.peer_delay > ms(0), "the way takes a part of the goal");
        answer(&mut bed, "large", asked);
        assert!(matches!(bed.answers[&call], Answer::Forwarded(_)));
    };
    a_larger_vm_of_the_same_failure_domain_comes_first => {
        let mut bed = small(&[("a", "far"), ("b", "near"), ("c", "far")]);
        bed.ask(inquiry("/fetch/1"));
        assert_eq!(asked(&mut bed).0, "b");
    };
    a_vm_that_is_lost_ends_its_requests_and_is_left_alone => {
        let mut bed = small(&[("a", "near"), ("b", "far")]);
        let call = bed.ask(inquiry("/fetch/1"));
        asked(&mut bed);
        bed.step(vec![Event::HopLost { to: name("a"), detail: "reset".into(), maybe_received: true }]);
        assert_eq!(bed.refused(call), 502);
        bed.ask(inquiry("/fetch/2"));
        assert_eq!(asked(&mut bed).0, "b");
    };
    a_request_that_a_vm_did_not_take_goes_to_another_one => {
        let mut bed = small(&[("a", "near"), ("b", "far")]);
        let call = bed.ask(inquiry("/fetch/1"));
        assert_eq!(asked(&mut bed).0, "a");
        bed.now = bed.now + ms(100);
        bed.step(vec![unreached("a")]);
        assert!(!bed.answers.contains_key(&call));
        let (to, again, asked) = asked(&mut bed);
        assert_eq!((to.as_str(), asked.caller_timeout), ("b", Some(ms(500))));
        answer(&mut bed, "b", again);
        assert!(matches!(bed.answers[&call], Answer::Forwarded(_)));
    };
    a_request_that_no_vm_took_was_not_run => {
        let mut bed = small(&[("a", "near"), ("b", "far")]);
        let call = bed.ask(inquiry("/fetch/1"));
        bed.step(vec![unreached("a"), unreached("b")]);
        let Answer::Refused(refusal) = &bed.answers[&call] else { panic!() };
        assert_eq!(refusal.fault.ran, Ran::No);
    };
    a_request_that_no_vm_took_is_served_alone_by_known_routes => {
        let mut bed = small(&[("a", "near")]);
        let mut own = view(config(1, vec![single("desk")], 100));
        own.larger = bed.engine.tables().view.larger.clone();
        own.is_current = true;
        bed.show(own);
        bed.ask(inquiry("/fetch/1"));
        bed.step(vec![unreached("a")]);
        assert!(bed.take_one().target().starts_with("desk-"));
    };
    a_vm_that_says_nothing_is_gone_round => {
        let mut bed = small(&[("a", "near"), ("b", "far")]);
        bed.ask(inquiry("/fetch/1"));
        asked(&mut bed);
        bed.pass(ms(450));
        bed.ask(inquiry("/fetch/2"));
        assert_eq!(asked(&mut bed).0, "b");
    };
    a_request_without_an_answer_ends_in_time => {
        let mut bed = small(&[("a", "near")]);
        let since = bed.now;
        let call = bed.ask(inquiry("/fetch/1"));
        bed.pass(ms(700));
        assert_eq!(bed.refused(call), 504);
        assert!(bed.waited(call, since) < ms(600));
    };
    an_answer_that_comes_too_late_is_dropped => {
        let mut bed = small(&[("a", "near")]);
        let call = bed.ask(inquiry("/fetch/1"));
        let (_, asked, _) = asked(&mut bed);
        bed.pass(ms(700));
        answer(&mut bed, "a", asked);
        assert_eq!(bed.refused(call), 504);
    };
    a_vm_that_reaches_none_knows_it => {
        let mut bed = small(&[("a", "near")]);
        assert!(!bed.engine.is_alone(bed.now));
        bed.ask(inquiry("/fetch/1"));
        bed.step(vec![Event::HopLost { to: name("a"), detail: "reset".into(), maybe_received: true }]);
        assert!(bed.engine.is_alone(bed.now));
        let call = bed.ask(inquiry("/fetch/2"));
        assert_eq!(bed.refused(call), 503);
    };
    a_vm_without_larger_ones_is_not_alone => {
        let bed = Bed::of(single("desk"));
        assert!(!bed.engine.is_alone(bed.now));
    };
    a_large_vm_answers_for_a_small_one => {
        let mut bed = Bed::of(single("desk"));
        bed.step(vec![ask_of(5, inquiry("/fetch/1"))]);
        let sent = bed.take_one();
        bed.reply(&sent, success("d", 1));
        let [(to, Hop::Answer { call, answer, .. })] = &bed.hops[..] else { panic!() };
        assert_eq!((to.as_str(), *call), ("small", Call(5)));
        assert!(matches!(answer, Answer::Forwarded(_)));
        assert!(bed.answers.is_empty());
    };
    a_large_vm_refuses_for_a_small_one => {
        let mut bed = Bed::of(single("desk"));
        bed.step(vec![ask_of(5, inquiry("/nowhere/1"))]);
        let [(_, Hop::Answer { answer, .. })] = &bed.hops[..] else { panic!() };
        let Answer::Refused(Refusal { fault: Fault { kind, .. }, .. }) = answer else { panic!() };
        assert_eq!(*kind, Kind::NotFound);
    };
    a_large_vm_answers_sooner_by_the_way_back => {
        let mut bed = Bed::of(search(&["s1", "s2"], 0.5));
        let mut detour = inquiry("/search/1");
        detour.peer_delay = ms(30);
        let since = bed.now;
        bed.step(vec![ask_of(5, detour)]);
        let sent = bed.take();
        bed.reply(&sent[0], success("a", 1));
        while bed.hops.is_empty() {
            bed.pass(ms(1));
        }
        assert!(bed.now.since(since) <= ms(70));
    };
    a_refusal_by_old_routes_is_asked_again_elsewhere => {
        let mut bed = small(&[("a", "near"), ("b", "far")]);
        let call = bed.ask(inquiry("/fetch/1"));
        let (_, first, _) = asked(&mut bed);
        let fault = Fault::not_run(Kind::NotFound, "no route");
        let answer = Answer::Refused(Refusal { fault, retry: None });
        let hop = Hop::Answer { call: first, answer, is_current: false };
        bed.step(vec![Event::Hop { from: name("a"), hop }]);
        let (to, again, _) = asked(&mut bed);
        assert_eq!(to, "b");
        answer_of(&mut bed, "b", again, call);
    };
    a_vm_with_old_routes_is_asked_last => {
        let mut bed = small(&[("a", "near"), ("b", "far")]);
        bed.ask(inquiry("/fetch/1"));
        let (_, first, _) = asked(&mut bed);
        answer(&mut bed, "a", first);
        bed.step(vec![Event::Hop { from: name("a"), hop: Hop::State { is_current: false } }]);
        bed.ask(inquiry("/fetch/2"));
        assert_eq!(asked(&mut bed).0, "b");
        bed.step(vec![Event::HopLost { to: name("b"), detail: "reset".into(), maybe_received: true }]);
        assert!(bed.engine.is_alone(bed.now), "it must read the routes itself");
        bed.ask(inquiry("/fetch/3"));
        assert_eq!(asked(&mut bed).0, "a", "old routes are better than none");
        bed.step(vec![Event::Hop { from: name("a"), hop: Hop::State { is_current: true } }]);
        assert!(!bed.engine.is_alone(bed.now));
    };
    a_large_vm_tells_that_it_lost_the_store => {
        let mut bed = Bed::of(single("desk"));
        bed.step(vec![ask_of(5, inquiry("/fetch/1"))]);
        let mut view = (*bed.engine.tables().view).clone();
        view.is_current = !view.is_current;
        let is_current = view.is_current;
        bed.show(view);
        let hop = Hop::State { is_current };
        assert_eq!(bed.hops.last(), Some(&(name("small"), hop)));
    };
    a_caller_that_leaves_a_small_vm_leaves_the_large_one => {
        let mut bed = small(&[("a", "near")]);
        let call = bed.ask(inquiry("/fetch/1"));
        asked(&mut bed);
        bed.step(vec![Event::Abandoned { call }]);
        assert!(matches!(&bed.hops[..], [(_, Hop::Cancel { .. })]));
        let mut large = Bed::of(single("desk"));
        large.step(vec![ask_of(5, inquiry("/fetch/1"))]);
        let sent = large.take_one();
        let hop = Hop::Cancel { call: Call(5) };
        large.step(vec![Event::Hop { from: name("small"), hop }]);
        large.pass(ms(400));
        assert_eq!(large.closed, [sent.connection]);
        assert!(large.hops.is_empty());
    };
}
