//! Tests of which targets get new work, and on which connections.

use std::sync::Arc;

use laburnum_core::relay::{Attempt, Event};

use crate::harness::{Harness, config, ms, name, refusal, request, single, success, target, view};

/// Sends `count` requests one after another and returns their targets.
fn send_in_turn(harness: &mut Harness, count: usize) -> Vec<String> {
    (0..count)
        .map(|_| {
            harness.submit(request("/fetch/1"));
            let sent = harness.take_one_sent();
            harness.now = harness.now + ms(5);
            harness.reply(&sent, success("d", 1));
            sent.target().to_owned()
        })
        .collect()
}

fn drain(harness: &mut Harness, id: &str) {
    let mut view = (*harness.engine.tables().view).clone();
    let mut entry = (*view.targets[&name(id)]).clone();
    entry.draining = true;
    view.targets.insert(name(id), Arc::new(entry));
    harness.set_view(view);
}

/// Returns an engine with two targets, the first in another failure domain.
fn bed_with_remote_target() -> Harness {
    let mut harness = Harness::with_route(single("desk"));
    let mut view = (*harness.engine.tables().view).clone();
    let mut far = (*view.targets[&name("desk-1")]).clone();
    far.domain = name("far");
    view.targets.insert(name("desk-1"), Arc::new(far));
    harness.set_view(view);
    harness
}

cases! {
    a_draining_target_gets_no_new_work => {
        let mut harness = Harness::with_route(single("desk"));
        drain(&mut harness, "desk-1");
        assert!(send_in_turn(&mut harness, 20).iter().all(|id| id == "desk-2"));
    };
    a_draining_target_finishes_its_work => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        drain(&mut harness, sent.target());
        harness.reply(&sent, success("d", 1));
        assert!(harness.answers.contains_key(&call));
        assert!(harness.closed.contains(&sent.connection));
    };
    a_target_that_is_gone_from_the_list_gets_no_new_work => {
        let mut harness = Harness::with_route(single("desk"));
        let mut view = (*harness.engine.tables().view).clone();
        view.targets.remove(&name("desk-1"));
        harness.set_view(view);
        assert!(send_in_turn(&mut harness, 20).iter().all(|id| id == "desk-2"));
    };
    another_target_at_an_address_is_detected_once => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        harness.reply(&sent, refusal(421));
        let again = harness.take_one_sent();
        harness.reply(&again, success("d", 1));
        assert!(send_in_turn(&mut harness, 20).iter().all(|id| id == again.target()));
        harness.advance(ms(20_000));
        assert!(send_in_turn(&mut harness, 20).iter().all(|id| id == again.target()), "it stays out of use");
    };
    a_request_to_a_target_names_that_target => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        assert_eq!(sent.target_request.target, name(sent.target()));
        assert!(sent.target_request.time_left <= ms(600));
    };
    a_slow_target_gets_less_work => {
        let mut harness = Harness::with_route(single("desk"));
        let mut slow = 0;
        for _ in 0..100 {
            harness.submit(request("/fetch/1"));
            let sent = harness.take_one_sent();
            let is_slow = sent.target() == "desk-1";
            slow += u32::from(is_slow);
            harness.now = harness.now + if is_slow { ms(35) } else { ms(5) };
            harness.reply(&sent, success("d", 1));
            harness.advance(ms(50));
            harness.sent.clear();
        }
        assert!(slow < 25, "{slow}");
        assert!(slow > 0, "it is still tried from time to time");
    };
    a_failing_target_gets_less_work => {
        let mut harness = Harness::with_route(single("desk"));
        let mut failed = 0;
        for turn in 0..200 {
            harness.submit(request("/fetch/1"));
            while let Some(sent) = harness.take_sent().pop() {
                harness.now = harness.now + ms(5);
                if sent.target() == "desk-1" && turn % 2 == 0 {
                    failed += 1;
                    harness.reply(&sent, crate::harness::failure(500));
                } else {
                    harness.reply(&sent, success("d", 1));
                }
            }
        }
        assert!(failed < 40, "{failed}");
    };
    a_target_that_lost_a_connection_is_avoided_for_a_time => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/1"));
        let lost = harness.take_one_sent();
        harness.lose_connection(&lost, true);
        let again = harness.take_one_sent();
        harness.reply(&again, success("d", 1));
        assert!(send_in_turn(&mut harness, 20).iter().all(|id| id != lost.target()));
        harness.open_first_connections();
        harness.advance(ms(12_000));
        let later = send_in_turn(&mut harness, 40);
        assert!(later.iter().any(|id| id == lost.target()), "it is tried again");
    };
    a_near_target_is_taken_before_a_far_one => {
        let mut harness = bed_with_remote_target();
        harness.train_latency("/fetch/1", 10, ms(5));
        let near = send_in_turn(&mut harness, 100).iter().filter(|id| *id == "desk-2").count();
        assert!(near > 95, "{near}");
    };
    a_near_target_is_taken_though_a_far_one_is_a_little_faster => {
        let mut harness = bed_with_remote_target();
        harness.train_latency("/fetch/1", 10, ms(5));
        let mut near = 0;
        for _ in 0..100 {
            harness.submit(request("/fetch/1"));
            let sent = harness.take_one_sent();
            let is_near = sent.target() == "desk-2";
            near += usize::from(is_near);
            harness.now = harness.now + ms(if is_near { 8 } else { 4 });
            harness.reply(&sent, success("d", 1));
        }
        assert!(near > 95, "{near}");
    };
    a_far_target_gets_what_a_near_one_has_no_slots_for => {
        let mut harness = bed_with_remote_target();
        harness.train_latency("/fetch/1", 10, ms(5));
        let asked = ["/fetch/1", "/fetch/2", "/fetch/3"].map(|path| {
            harness.submit(request(path));
            harness.take_one_sent().target().to_owned()
        });
        assert_eq!(asked, ["desk-2", "desk-2", "desk-1"]);
    };
    a_near_target_that_pauses_is_avoided => {
        let mut harness = bed_with_remote_target();
        harness.train_latency("/fetch/1", 10, ms(5));
        harness.submit(request("/fetch/1"));
        assert_eq!(harness.take_one_sent().target(), "desk-2");
        harness.now = harness.now + ms(40);
        harness.submit(request("/fetch/2"));
        // The hedge of the first request also goes to the remote target.
        let sent = harness.take_sent();
        assert!(sent.len() == 2 && sent.iter().all(|sent| sent.target() == "desk-1"), "{sent:?}");
    };
    a_target_that_started_anew_is_a_new_one => {
        let mut harness = Harness::with_route(single("desk"));
        let mut view = (*harness.engine.tables().view).clone();
        let mut anew = (*view.targets[&name("desk-1")]).clone();
        anew.born = 5;
        view.targets.insert(name("desk-1"), Arc::new(anew));
        harness.set_view(view);
        assert_eq!(harness.closed.len(), 1, "the connection to the previous start is closed");
    };
    connections_are_kept_within_the_share_of_a_vm => {
        // Number of VMs, connections that the target accepts, and connections that one VM may
        // open to its two slots.
        for (vms, accepted, allowed) in [(1, 20, 2), (1, 1, 1), (4, 20, 2), (5, 4, 1), (8, 97, 1), (19, 55, 1)] {
            let mut view = view(config(1, vec![single("desk")], accepted));
            view.targets = [target("desk-1", "desk")].into();
            view.assumed_vms = vms;
            let mut harness = Harness::with_view(view);
            (0..6).for_each(|_| { harness.submit(request("/fetch/1")); });
            let sent = harness.take_sent();
            assert_eq!(sent.len(), allowed, "{vms} VMs, {accepted} connections");
            harness.reply(&sent[0], success("d", 1));
            assert_eq!(harness.take_sent().len(), 1, "the next request is sent when a connection is free");
        }
    };
    a_leg_goes_to_another_target_before_it_waits_at_a_busy_one => {
        let mut view = view(config(1, vec![single("desk")], 55));
        view.assumed_vms = 19;
        let mut harness = Harness::with_view(view);
        harness.submit(request("/fetch/1"));
        harness.submit(request("/fetch/2"));
        let sent = harness.take_sent();
        assert_ne!(sent[0].target(), sent[1].target());
    };
    a_reply_that_no_attempt_waits_for_closes_its_connection => {
        let mut harness = Harness::with_route(single("desk"));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        let reply = Box::new(success("x", 1));
        let connection = sent.connection;
        harness.tick(vec![Event::Replied { connection, attempt: Attempt(9999), reply }]);
        assert_eq!(harness.closed, [connection]);
        assert!(!harness.answers.contains_key(&call));
    };
    a_connection_that_cannot_be_used_again_is_not => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        let mut reply = success("d", 1);
        reply.reusable = false;
        harness.reply(&sent, reply);
        for _ in 0..10 {
            harness.submit(request("/fetch/1"));
            let next = harness.take_one_sent();
            assert_ne!(next.connection, sent.connection);
            harness.reply(&next, success("d", 1));
        }
    };
}
