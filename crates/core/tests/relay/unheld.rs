//! Requests and replies for which this VM has no room.

use bytes::Bytes;
use laburnum_core::{
    fault::{Kind, Ran},
    id::Origin,
    relay::{Answer, Call, Event, Hop, Loss, View, hop, message::CallerRequest, view::Vm},
};

use crate::harness::{Harness, ORIGIN, Sent, ms, name, request, search, single, success};

/// Tells the engine that there is no room for the reply to a request.
fn drop_reply(harness: &mut Harness, sent: &Sent) {
    let (connection, attempt) = (sent.connection, sent.attempt);
    harness.tick(vec![Event::Unheld { connection, attempt, sent: true }]);
}

/// Tells the engine that there is no room for the connection that a request needs.
fn drop_connection(harness: &mut Harness, sent: &Sent) {
    let (connection, attempt) = (sent.connection, sent.attempt);
    harness.tick(vec![Event::Unheld { connection, attempt, sent: false }]);
}

/// The id of a request that the VM `small` hands over.
const ID: hop::Id = hop::Id { origin: Origin(77), call: Call(5) };

fn request_of(caller_request: CallerRequest) -> Hop {
    let reply_to = "10.2.0.1:7000".parse().unwrap();
    Hop::Request { id: ID, caller_request: Box::new(caller_request), reply_to }
}

/// Returns the refusal that was sent to the VM `small`.
fn refusal_at_small(harness: &Harness) -> (Kind, Ran, bool) {
    let [(to, Hop::Answer { id, answer: Answer::Refused(refusal), .. })] = &harness.hops[..] else {
        panic!("{:?}", harness.hops)
    };
    assert_eq!((to.as_str(), *id), ("small", ID));
    (refusal.fault.kind, refusal.fault.ran, refusal.retry.is_some())
}

cases! {
    an_operation_without_its_reply_may_have_run_and_is_not_sent_again => {
        let mut harness = Harness::with_route(laburnum_core::relay::Route { idempotent: false, ..single("desk") });
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        drop_reply(&mut harness, &sent);
        let Answer::Refused(refusal) = &harness.answers[&call] else { panic!() };
        assert_eq!((refusal.fault.kind, refusal.fault.ran), (Kind::TargetFailed, Ran::Unknown));
        assert!(harness.closed.contains(&sent.connection));
        assert!(harness.take_sent().is_empty());
    };
    an_operation_without_a_connection_did_not_run_and_is_refused_at_once => {
        let mut harness = Harness::with_route(laburnum_core::relay::Route { idempotent: false, ..single("desk") });
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        drop_connection(&mut harness, &sent);
        let Answer::Refused(refusal) = &harness.answers[&call] else { panic!() };
        assert_eq!(refusal.fault.ran, Ran::No);
        assert!(refusal.retry.is_some());
        assert!(harness.take_sent().is_empty());
    };
    a_request_that_may_run_twice_is_not_sent_again_either => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        drop_reply(&mut harness, &sent);
        assert_eq!(harness.refusal_status(call), 502);
        harness.advance(ms(2000));
        assert!(harness.take_sent().is_empty());
    };
    a_target_whose_reply_has_no_room_gets_the_next_request => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/1"));
        let first = harness.take_one_sent();
        let target = &harness.engine.tables().targets[&name(first.target())];
        let (errors, pause) = (target.error_rate(harness.now), target.pause_until);
        drop_reply(&mut harness, &first);
        let target = &harness.engine.tables().targets[&name(first.target())];
        assert_eq!((target.error_rate(harness.now), target.pause_until), (errors, pause));
        assert!(target.running.is_empty());
        let call = harness.submit(request("/fetch/2"));
        let sent = harness.take_one_sent();
        harness.reply(&sent, success("d", 1));
        assert!(matches!(harness.answers[&call], Answer::Forwarded(_)));
    };
    a_search_goes_on_with_its_other_shards => {
        let mut harness = Harness::with_route(search(&["a", "b", "c"], 0.6));
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        drop_reply(&mut harness, &sent[0]);
        for (index, sent) in sent.iter().enumerate().skip(1) {
            harness.reply(sent, success(&format!("d{index}"), 1));
        }
        let Answer::Gathered(gathered) = &harness.answers[&call] else { panic!() };
        assert_eq!((gathered.digests.len(), gathered.missing), (2, 1));
    };
    a_request_of_another_vm_that_has_no_room_was_not_run => {
        let mut harness = Harness::with_route(single("desk"));
        let hop = request_of(request("/fetch/1"));
        harness.tick(vec![Event::HopUnheld { from: name("small"), hop }]);
        assert_eq!(refusal_at_small(&harness), (Kind::TooManyOpen, Ran::No, true));
        assert!(harness.take_sent().is_empty());
        assert!(!harness.engine.owes_answers());
    };
    a_caller_whose_answer_of_another_vm_has_no_room_learns_that_it_may_have_run => {
        let mut harness = Harness::empty();
        let address = "10.1.0.1:7000".parse().unwrap();
        let larger = [(name("large"), Vm { domain: name("near"), address, share: 500 })];
        harness.set_view(View { larger: larger.into(), ..View::default() });
        let call = harness.submit(request("/fetch/1"));
        let id = hop::Id { origin: ORIGIN, call };
        let state = hop::State { is_current: true, version: 1 };
        let answer = Answer::Forwarded(Box::new(success("d", 1)));
        let hop = Hop::Answer { id, answer, state };
        harness.tick(vec![Event::HopUnheld { from: name("large"), hop }]);
        let Answer::Refused(refusal) = &harness.answers[&call] else { panic!() };
        assert_eq!((refusal.fault.kind, refusal.fault.ran), (Kind::TargetFailed, Ran::Unknown));
    };
    // Guards against a body over the limit of the configuration that came through a VM which
    // knows no configuration.
    a_body_of_another_vm_over_the_limit_is_refused => {
        let mut harness = Harness::with_route(single("desk"));
        let allowed = harness.engine.tables().view.config.as_ref().unwrap().bounds.body;
        let mut long = request("/fetch/1");
        long.message.body = Bytes::from(vec![0; allowed + 1]);
        harness.tick(vec![Event::Hop { from: name("small"), hop: request_of(long) }]);
        assert_eq!(refusal_at_small(&harness), (Kind::TooLarge, Ran::No, false));
    };
    // A request was sent while its connection was closed to make room: the target did nothing wrong.
    a_connection_closed_to_make_room_blames_no_target => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        let target = name(sent.target());
        let row = &harness.engine.tables().targets[&target];
        let (errors, pause) = (row.error_rate(harness.now), row.pause_until);
        let loss = Loss { sent: false, idle: true, gone: false, detail: "closed to make room".into() };
        harness.tick(vec![Event::Closed { connection: sent.connection, loss }]);
        let row = &harness.engine.tables().targets[&target];
        assert_eq!((row.error_rate(harness.now), row.pause_until), (errors, pause));
    };
}
