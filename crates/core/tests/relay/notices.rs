//! Tests of what targets say in their replies about further requests.

use std::{sync::Arc, time::Duration};

use laburnum_core::{
    id::Origin,
    relay::{
        Answer, Call, Event, Hop, Reply, View, hop,
        message::{Notice, Refusal},
    },
};

use crate::harness::{
    Harness, Sent, config, failure, ms, name, refusal, request, search, single, success, target,
    view,
};

fn leaving(reply: Reply) -> Reply {
    Reply { notice: Notice { is_leaving: true, pause: None }, ..reply }
}

fn resting(pause: Duration) -> Reply {
    Reply { notice: Notice { is_leaving: false, pause: Some(pause) }, ..refusal(503) }
}

/// Sends a request to the only service and returns what was sent to a target.
fn fetch(harness: &mut Harness) -> Sent {
    harness.submit(request("/fetch/1"));
    harness.take_one_sent()
}

/// Lets the first target that is chosen say that it is leaving, and returns its id.
fn let_one_leave(harness: &mut Harness) -> String {
    let sent = fetch(harness);
    harness.reply(&sent, leaving(success("d", 1)));
    sent.target().to_owned()
}

/// Sends requests for 4 s and returns those that reached `id` later than `after`.
fn count_sent_to(harness: &mut Harness, id: &str, after: Duration) -> usize {
    let start = harness.now;
    let mut count = 0;
    for _ in 0..80 {
        harness.submit(request("/fetch/1"));
        for sent in harness.take_sent() {
            count += usize::from(sent.target() == id && sent.at.since(start) >= after);
            harness.reply(&sent, success("d", 1));
        }
        harness.advance(ms(50));
    }
    count
}

fn refusal_of(harness: &Harness, call: Call) -> &Refusal {
    match &harness.answers[&call] {
        Answer::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

cases! {
    a_target_that_says_it_is_leaving_gets_no_new_work => {
        let mut harness = Harness::with_route(single("desk"));
        let id = let_one_leave(&mut harness);
        assert_eq!(count_sent_to(&mut harness, &id, ms(0)), 0);
    };
    a_failure_says_that_a_target_is_leaving_too => {
        let mut harness = Harness::with_route(single("desk"));
        let sent = fetch(&mut harness);
        harness.reply(&sent, leaving(failure(500)));
        let id = sent.target().to_owned();
        harness.advance(ms(600));
        harness.sent.clear();
        assert_eq!(count_sent_to(&mut harness, &id, ms(0)), 0);
    };
    the_last_targets_of_a_service_are_used_for_a_short_time => {
        let mut harness = Harness::with_route(single("desk"));
        let first = let_one_leave(&mut harness);
        let second = let_one_leave(&mut harness);
        assert_ne!(first, second);
        let sent = fetch(&mut harness);
        harness.reply(&sent, success("d", 1));
        for id in [&first, &second] {
            assert_eq!(count_sent_to(&mut harness, id, ms(1500)), 0);
        }
        let call = harness.submit(request("/fetch/1"));
        assert_eq!(harness.refusal_status(call), 503, "refused at once");
    };
    a_slow_request_is_not_hedged_at_a_leaving_target => {
        let mut harness = Harness::with_route(single("desk"));
        let id = let_one_leave(&mut harness);
        let sent = fetch(&mut harness);
        assert_ne!(sent.target(), id);
        harness.advance(ms(300));
        assert!(harness.take_sent().is_empty());
    };
    a_target_that_started_again_gets_work => {
        let mut harness = Harness::with_route(single("desk"));
        let id = let_one_leave(&mut harness);
        let mut view = (*harness.engine.tables().view).clone();
        let mut entry = (*target(&id, "desk").1).clone();
        entry.born = 9;
        view.targets.insert(name(&id), Arc::new(entry));
        harness.set_view(view);
        harness.open_first_connections();
        assert!(count_sent_to(&mut harness, &id, ms(0)) > 0);
    };
    a_vm_that_hands_requests_over_is_told => {
        let mut large = Harness::with_route(single("desk"));
        let hop = Hop::Request {
            id: hop::Id { origin: Origin(77), call: Call(5) },
            caller_request: Box::new(request("/fetch/1")),
            reply_to: "10.1.0.9:7000".parse().unwrap(),
        };
        large.tick(vec![Event::Hop { from: name("small"), hop }]);
        let sent = large.take_one_sent();
        large.reply(&sent, leaving(success("d", 1)));
        let told = large.hops.iter().find(|(_, hop)| matches!(hop, Hop::Leaving { .. })).unwrap();
        let (to, hop) = told.clone();
        assert_eq!(to, name("small"));
        let mut small = Harness::empty();
        small.tick(vec![Event::Hop { from: name("large"), hop }]);
        small.set_view(View::clone(&view(config(1, vec![single("desk")], 100))));
        small.open_first_connections();
        assert_eq!(count_sent_to(&mut small, sent.target(), ms(0)), 0);
    };
    a_target_that_asks_for_a_pause_gets_nothing_until_its_end => {
        let mut harness = Harness::with_route(single("desk"));
        let sent = fetch(&mut harness);
        harness.reply(&sent, resting(ms(2500)));
        let id = sent.target().to_owned();
        for again in harness.take_sent() {
            assert_ne!(again.target(), id);
            harness.reply(&again, success("d", 1));
        }
        let end = harness.now + ms(2500);
        while harness.now < end {
            harness.submit(request("/fetch/1"));
            for sent in harness.take_sent() {
                assert_ne!(sent.target(), id);
                harness.reply(&sent, success("d", 1));
            }
            harness.advance(ms(50));
        }
        for _ in 0..6 {
            harness.submit(request("/fetch/1"));
        }
        assert!(harness.take_sent().iter().any(|sent| sent.target() == id), "it is used again");
    };
    a_request_is_refused_at_once_while_every_target_rests => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let since = harness.now;
        for _ in 0..2 {
            let sent = harness.take_one_sent();
            harness.reply(&sent, resting(ms(2500)));
        }
        assert_eq!(harness.waited(call, since), ms(0));
        harness.advance(ms(500));
        let next = harness.submit(request("/fetch/2"));
        assert!(harness.take_sent().is_empty());
        assert_eq!(refusal_of(&harness, next).retry, Some(ms(2000)), "when the first wants requests");
        assert!(refusal_of(&harness, next).fault.ran == laburnum_core::fault::Ran::No);
    };
    a_request_waits_for_a_pause_that_ends_in_time => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/1"));
        for _ in 0..2 {
            let sent = harness.take_one_sent();
            harness.reply(&sent, resting(ms(200)));
        }
        let call = harness.submit(request("/fetch/2"));
        let since = harness.now;
        harness.advance(ms(210));
        let sent = harness.take_one_sent();
        assert_eq!(sent.at.since(since), ms(200));
        harness.reply(&sent, success("d", 1));
        assert!(matches!(harness.answers[&call], Answer::Forwarded(_)));
    };
    a_search_leaves_out_a_shard_whose_targets_rest => {
        let mut harness = Harness::with_route(search(&["s1", "s2"], 0.5));
        let call = harness.submit(request("/search/1"));
        for _ in 0..3 {
            for sent in harness.take_sent() {
                let is_first = sent.target().starts_with("s1");
                harness.reply(&sent, if is_first { resting(ms(2500)) } else { success("b", 1) });
            }
        }
        let Answer::Gathered(gathered) = &harness.answers[&call] else { panic!() };
        assert_eq!(gathered.missing, 1);
    };
}
