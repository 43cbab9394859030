//! Requests that a small VM hands over to a larger one.

use std::collections::BTreeMap;

use laburnum_core::{
    fault::{Fault, Kind, Ran},
    id::Origin,
    log,
    relay::{
        Answer, Call, Event, Hop, Reach, View, hop,
        message::{CallerRequest, Refusal},
        view::Vm,
    },
};

use crate::harness::{Harness, ORIGIN, config, ms, name, request, search, single, success, view};

/// What a VM says whose routes are current.
const CURRENT: hop::State = hop::State { is_current: true, version: 1 };

/// What a VM says that the store does not answer.
const OUTDATED: hop::State = hop::State { is_current: false, version: 1 };

fn vm(domain: &str, last: u8) -> Vm {
    let address = format!("10.1.0.{last}:7000").parse().unwrap();
    Vm { domain: name(domain), address, share: 500 }
}

/// A small VM without routes that knows the given larger VMs, each with its failure
/// domain.
fn small(larger: &[(&str, &str)]) -> Harness {
    let vms = larger.iter().zip(1u8..).map(|((id, domain), last)| (name(id), vm(domain, last)));
    let larger: BTreeMap<_, _> = vms.collect();
    let mut harness = Harness::empty();
    harness.set_view(View { larger, ..View::default() });
    harness
}

/// Takes the only message to another VM, which must be a request.
fn take_request(harness: &mut Harness) -> (String, hop::Id, CallerRequest) {
    let hops = std::mem::take(&mut harness.hops);
    let [(to, Hop::Request { id, caller_request, .. })] = &hops[..] else { panic!("{hops:?}") };
    (to.to_string(), *id, (**caller_request).clone())
}

/// Sends an answer of another VM to the engine.
fn answer(harness: &mut Harness, from: &str, id: hop::Id) {
    let answer = Answer::Forwarded(Box::new(success("d", 1)));
    let hop = Hop::Answer { id, answer, state: CURRENT };
    harness.tick(vec![Event::Hop { from: name(from), hop }]);
}

/// Sends an answer of another VM and checks that the caller gets it.
fn answer_and_check(harness: &mut Harness, from: &str, id: hop::Id, at_caller: Call) {
    answer(harness, from, id);
    assert!(matches!(harness.answers[&at_caller], Answer::Forwarded(_)));
}

/// The id of a request at the VM `small`.
fn id_of(call: u64) -> hop::Id {
    hop::Id { origin: Origin(77), call: Call(call) }
}

/// A request that the VM `small` hands over.
fn request_of(call: u64, caller_request: CallerRequest) -> Event {
    let reply_to = "10.2.0.1:7000".parse().unwrap();
    let hop = Hop::Request { id: id_of(call), caller_request: Box::new(caller_request), reply_to };
    Event::Hop { from: name("small"), hop }
}

/// The event that a VM could not be reached, so that it took no request.
fn unreached(vm: &str) -> Event {
    Event::HopLost { to: name(vm), detail: "refused".into(), maybe_received: false }
}

cases! {
    a_small_vm_forwards_its_requests => {
        let mut harness = small(&[("large", "near")]);
        let call = harness.submit(request("/fetch/1"));
        let (to, asked, caller_request) = take_request(&mut harness);
        assert_eq!((to.as_str(), &*caller_request.id), ("large", "c1"));
        assert!(caller_request.peer_delay > ms(0), "the round trip takes a part of the goal");
        answer(&mut harness, "large", asked);
        assert!(matches!(harness.answers[&call], Answer::Forwarded(_)));
    };
    a_larger_vm_of_the_same_failure_domain_comes_first => {
        let mut harness = small(&[("a", "far"), ("b", "near"), ("c", "far")]);
        harness.submit(request("/fetch/1"));
        assert_eq!(take_request(&mut harness).0, "b");
    };
    a_vm_that_is_lost_ends_its_requests_and_is_avoided => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        let call = harness.submit(request("/fetch/1"));
        take_request(&mut harness);
        harness.tick(vec![Event::HopLost { to: name("a"), detail: "reset".into(), maybe_received: true }]);
        assert_eq!(harness.refusal_status(call), 502);
        harness.submit(request("/fetch/2"));
        assert_eq!(take_request(&mut harness).0, "b");
    };
    a_request_that_a_vm_did_not_take_goes_to_another_one => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        let call = harness.submit(request("/fetch/1"));
        assert_eq!(take_request(&mut harness).0, "a");
        harness.now = harness.now + ms(100);
        harness.tick(vec![unreached("a")]);
        assert!(!harness.answers.contains_key(&call));
        let (to, again, asked) = take_request(&mut harness);
        assert_eq!((to.as_str(), asked.caller_timeout), ("b", Some(ms(500))));
        answer(&mut harness, "b", again);
        assert!(matches!(harness.answers[&call], Answer::Forwarded(_)));
    };
    a_request_that_no_vm_took_was_not_run => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        let call = harness.submit(request("/fetch/1"));
        harness.tick(vec![unreached("a"), unreached("b")]);
        let Answer::Refused(refusal) = &harness.answers[&call] else { panic!() };
        assert_eq!(refusal.fault.ran, Ran::No);
    };
    a_request_that_no_vm_took_is_served_alone_by_known_routes => {
        let mut harness = small(&[("a", "near")]);
        let mut own = view(config(1, vec![single("desk")], 100));
        own.larger = harness.engine.tables().view.larger.clone();
        own.is_current = true;
        harness.set_view(own);
        harness.submit(request("/fetch/1"));
        harness.tick(vec![unreached("a")]);
        assert!(harness.take_one_sent().target().starts_with("desk-"));
    };
    a_silent_vm_gets_no_new_requests => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        harness.submit(request("/fetch/1"));
        take_request(&mut harness);
        harness.advance(ms(450));
        harness.submit(request("/fetch/2"));
        assert_eq!(take_request(&mut harness).0, "b");
    };
    a_request_without_an_answer_ends_in_time => {
        let mut harness = small(&[("a", "near")]);
        let since = harness.now;
        let call = harness.submit(request("/fetch/1"));
        harness.advance(ms(700));
        assert_eq!(harness.refusal_status(call), 504);
        assert!(harness.waited(call, since) < ms(600));
    };
    an_answer_that_comes_too_late_is_dropped => {
        let mut harness = small(&[("a", "near")]);
        let call = harness.submit(request("/fetch/1"));
        let (_, asked, _) = take_request(&mut harness);
        harness.advance(ms(700));
        answer(&mut harness, "a", asked);
        assert_eq!(harness.refusal_status(call), 504);
    };
    a_vm_that_reaches_no_larger_one_says_so => {
        let mut harness = small(&[("a", "near")]);
        assert_eq!(harness.engine.reach(harness.now), Reach::Served);
        harness.submit(request("/fetch/1"));
        harness.tick(vec![Event::HopLost { to: name("a"), detail: "reset".into(), maybe_received: true }]);
        assert_eq!(harness.engine.reach(harness.now), Reach::Lost);
        let call = harness.submit(request("/fetch/2"));
        assert_eq!(harness.refusal_status(call), 503);
        harness.advance(ms(5000));
        assert_eq!(harness.engine.reach(harness.now), Reach::Lost, "nothing was heard from it since");
    };
    a_vm_without_larger_ones_needs_none => {
        let harness = Harness::with_route(single("desk"));
        assert_eq!(harness.engine.reach(harness.now), Reach::Served);
    };
    a_large_vm_answers_for_a_small_one => {
        let mut harness = Harness::with_route(single("desk"));
        harness.tick(vec![request_of(5, request("/fetch/1"))]);
        let sent = harness.take_one_sent();
        harness.reply(&sent, success("d", 1));
        let [(to, Hop::Answer { id, answer, .. })] = &harness.hops[..] else { panic!() };
        assert_eq!((to.as_str(), *id), ("small", id_of(5)));
        assert!(matches!(answer, Answer::Forwarded(_)));
        assert!(harness.answers.is_empty());
    };
    a_large_vm_refuses_for_a_small_one => {
        let mut harness = Harness::with_route(single("desk"));
        harness.tick(vec![request_of(5, request("/nowhere/1"))]);
        let [(_, Hop::Answer { answer, .. })] = &harness.hops[..] else { panic!() };
        let Answer::Refused(Refusal { fault: Fault { kind, .. }, .. }) = answer else { panic!() };
        assert_eq!(*kind, Kind::NotFound);
    };
    a_large_vm_answers_sooner_by_the_delay_to_the_small_one => {
        let mut harness = Harness::with_route(search(&["s1", "s2"], 0.5));
        let mut handed = request("/search/1");
        handed.peer_delay = ms(30);
        let since = harness.now;
        harness.tick(vec![request_of(5, handed)]);
        let sent = harness.take_sent();
        harness.reply(&sent[0], success("a", 1));
        while harness.hops.is_empty() {
            harness.advance(ms(1));
        }
        assert!(harness.now.since(since) <= ms(70));
    };
    a_request_refused_by_old_routes_is_retried_at_another_vm => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        let call = harness.submit(request("/fetch/1"));
        let (_, first, _) = take_request(&mut harness);
        let fault = Fault::not_run(Kind::NotFound, "no route");
        let answer = Answer::Refused(Refusal { fault, retry: None });
        let hop = Hop::Answer { id: first, answer, state: OUTDATED };
        harness.tick(vec![Event::Hop { from: name("a"), hop }]);
        let (to, again, _) = take_request(&mut harness);
        assert_eq!(to, "b");
        answer_and_check(&mut harness, "b", again, call);
    };
    a_request_that_is_handed_on_again_has_the_time_that_is_left => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        harness.submit(request("/fetch/1"));
        let (_, first, _) = take_request(&mut harness);
        harness.advance(ms(250));
        let fault = Fault::not_run(Kind::NotFound, "no route");
        let answer = Answer::Refused(Refusal { fault, retry: None });
        let hop = Hop::Answer { id: first, answer, state: OUTDATED };
        harness.tick(vec![Event::Hop { from: name("a"), hop }]);
        let (_, _, again) = take_request(&mut harness);
        assert!(again.caller_timeout <= Some(ms(350)), "{:?}", again.caller_timeout);
    };
    a_request_that_outlives_its_deadline_is_withdrawn => {
        let mut harness = small(&[("a", "near")]);
        harness.submit(request("/fetch/1"));
        let (_, asked, _) = take_request(&mut harness);
        harness.advance(ms(600));
        assert!(matches!(&harness.hops[..], [(_, Hop::Cancel { id })] if *id == asked));
    };
    a_request_and_its_withdrawal_that_come_together_reach_no_target => {
        let mut large = Harness::with_route(single("desk"));
        let cancel = Event::Hop { from: name("small"), hop: Hop::Cancel { id: id_of(5) } };
        large.tick(vec![request_of(5, request("/fetch/1")), cancel]);
        assert!(large.take_sent().is_empty());
    };
    a_vm_with_old_routes_is_asked_last => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        harness.submit(request("/fetch/1"));
        let (_, first, _) = take_request(&mut harness);
        answer(&mut harness, "a", first);
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::State(OUTDATED) }]);
        harness.submit(request("/fetch/2"));
        assert_eq!(take_request(&mut harness).0, "b");
        harness.tick(vec![Event::HopLost { to: name("b"), detail: "reset".into(), maybe_received: true }]);
        assert_eq!(harness.engine.reach(harness.now), Reach::Stale);
        harness.submit(request("/fetch/3"));
        assert_eq!(take_request(&mut harness).0, "a", "outdated routes are better than none");
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::State(CURRENT) }]);
        assert_eq!(harness.engine.reach(harness.now), Reach::Served);
    };
    a_large_vm_reports_whether_its_routes_are_current => {
        let mut harness = Harness::with_route(single("desk"));
        harness.tick(vec![request_of(5, request("/fetch/1"))]);
        let mut view = (*harness.engine.tables().view).clone();
        view.is_current = !view.is_current;
        let state = hop::State { is_current: view.is_current, version: 1 };
        harness.set_view(view);
        let hop = Hop::State(state);
        assert_eq!(harness.hops.last(), Some(&(name("small"), hop)));
    };
    a_caller_that_leaves_a_small_vm_cancels_at_the_large_one => {
        let mut harness = small(&[("a", "near")]);
        let call = harness.submit(request("/fetch/1"));
        take_request(&mut harness);
        harness.tick(vec![Event::Abandoned { call }]);
        assert!(matches!(&harness.hops[..], [(_, Hop::Cancel { .. })]));
        let mut large = Harness::with_route(single("desk"));
        large.tick(vec![request_of(5, request("/fetch/1"))]);
        let sent = large.take_one_sent();
        let hop = Hop::Cancel { id: id_of(5) };
        large.tick(vec![Event::Hop { from: name("small"), hop }]);
        large.advance(ms(400));
        assert_eq!(large.closed, [sent.connection]);
        assert!(large.hops.is_empty());
    };
    // Guards against answers to requests of a process that was killed, which reached
    // callers of the process after it (review/1).
    an_answer_to_an_earlier_process_of_this_vm_is_dropped => {
        let mut harness = small(&[("a", "near")]);
        let call = harness.submit(request("/fetch/1"));
        let (_, asked, _) = take_request(&mut harness);
        assert_eq!(asked.origin, ORIGIN);
        answer(&mut harness, "a", hop::Id { origin: Origin(12), ..asked });
        assert!(harness.answers.is_empty());
        assert_eq!(harness.lines.last().unwrap().event, log::Event::HopUnknown);
        answer_and_check(&mut harness, "a", asked, call);
    };
    an_answer_of_a_vm_that_does_not_have_the_request_is_dropped => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        let call = harness.submit(request("/fetch/1"));
        let (_, asked, _) = take_request(&mut harness);
        answer(&mut harness, "b", asked);
        assert!(harness.answers.is_empty());
        answer_and_check(&mut harness, "a", asked, call);
    };
    // Guards against the withdrawal of a request of the running process by a message of an
    // earlier one, which would have the same number.
    a_withdrawal_of_an_earlier_process_ends_no_request_of_the_next_one => {
        let mut large = Harness::with_route(single("desk"));
        large.tick(vec![request_of(5, request("/fetch/1"))]);
        let sent = large.take_one_sent();
        let id = hop::Id { origin: Origin(76), ..id_of(5) };
        large.tick(vec![Event::Hop { from: name("small"), hop: Hop::Cancel { id } }]);
        large.reply(&sent, success("d", 1));
        assert!(matches!(&large.hops[..], [(_, Hop::Answer { .. })]));
    };
    // Guards against a VM that counts as gone while it works on a long request, so that the next
    // request goes to one with older routes (review/3).
    a_vm_that_works_on_a_long_request_still_gets_new_ones => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        harness.submit(request("/fetch/1"));
        take_request(&mut harness);
        for _ in 0..5 {
            harness.advance(ms(100));
            if std::mem::take(&mut harness.asked) == [name("a")] {
                harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::State(CURRENT) }]);
            }
        }
        harness.submit(request("/fetch/2"));
        assert_eq!(take_request(&mut harness).0, "a");
    };
    a_vm_that_answers_in_time_is_asked_for_no_sign => {
        let mut harness = small(&[("a", "near")]);
        for _ in 0..20 {
            harness.submit(request("/fetch/1"));
            let (_, asked, _) = take_request(&mut harness);
            harness.advance(ms(100));
            answer(&mut harness, "a", asked);
        }
        assert!(harness.asked.is_empty(), "{:?}", harness.asked);
    };
    a_vm_that_is_asked_for_its_state_tells_it_at_once => {
        let mut harness = Harness::with_route(single("desk"));
        let reply_to = "10.2.0.1:7000".parse().unwrap();
        harness.tick(vec![Event::Hop { from: name("small"), hop: Hop::AskState { reply_to } }]);
        let state = hop::State { is_current: false, version: 1 };
        assert_eq!(harness.hops, [(name("small"), Hop::State(state))]);
    };
    // Guards against callers of a small VM who are served by older routes than before, through
    // a larger VM that is cut off from the store (review/3).
    a_request_is_not_served_by_older_routes_than_its_vm_has_served => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        harness.submit(request("/fetch/1"));
        let (_, first, _) = take_request(&mut harness);
        let newer = hop::State { is_current: true, version: 2 };
        let reply = Answer::Forwarded(Box::new(success("d", 1)));
        let hop = Hop::Answer { id: first, answer: reply, state: newer };
        harness.tick(vec![Event::Hop { from: name("a"), hop }]);
        harness.submit(request("/fetch/2"));
        let (_, _, next) = take_request(&mut harness);
        assert_eq!(next.min_version, 2);
        let mut behind = Harness::with_route(single("desk"));
        behind.tick(vec![request_of(5, next)]);
        assert!(behind.take_sent().is_empty());
        let [(_, Hop::Answer { answer: Answer::Refused(refusal), .. })] = &behind.hops[..] else {
            panic!("{:?}", behind.hops)
        };
        assert_eq!((refusal.fault.kind, refusal.fault.ran), (Kind::NotReady, Ran::No));
    };
    a_vm_with_older_routes_than_were_served_is_asked_last => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        harness.submit(request("/fetch/1"));
        let (_, first, _) = take_request(&mut harness);
        let reply = Answer::Forwarded(Box::new(success("d", 1)));
        let state = hop::State { is_current: true, version: 2 };
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::Answer { id: first, answer: reply, state } }]);
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::State(CURRENT) }]);
        harness.submit(request("/fetch/2"));
        assert_eq!(take_request(&mut harness).0, "b");
    };
    a_vm_serves_nobody_by_older_routes_than_before => {
        let mut harness = small(&[("a", "near")]);
        harness.submit(request("/fetch/1"));
        let (_, first, _) = take_request(&mut harness);
        let reply = Answer::Forwarded(Box::new(success("d", 1)));
        let state = hop::State { is_current: true, version: 2 };
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::Answer { id: first, answer: reply, state } }]);
        let mut own = view(config(1, vec![single("desk")], 100));
        own.is_current = true;
        harness.set_view(own);
        let call = harness.submit(request("/fetch/2"));
        assert!(harness.take_sent().is_empty());
        assert_eq!(harness.refusal_status(call), 503);
        harness.set_view(view(config(2, vec![single("desk")], 100)));
        harness.open_first_connections();
        harness.submit(request("/fetch/3"));
        assert_eq!(harness.take_sent().len(), 1);
    };
    // Guards against a larger VM that is never asked again, because the process before it said
    // that the store does not answer it.
    a_vm_that_was_outdated_when_it_was_lost_is_asked_for_its_state => {
        let mut harness = small(&[("a", "near"), ("b", "far")]);
        harness.submit(request("/fetch/1"));
        let (_, first, _) = take_request(&mut harness);
        answer(&mut harness, "a", first);
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::State(OUTDATED) }]);
        harness.tick(vec![Event::HopLost { to: name("a"), detail: "reset".into(), maybe_received: true }]);
        harness.advance(ms(10_000));
        assert!((4..=6).contains(&harness.asked.len()), "{:?}", harness.asked);
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::State(CURRENT) }]);
        harness.submit(request("/fetch/2"));
        assert_eq!(take_request(&mut harness).0, "a");
    };
}
