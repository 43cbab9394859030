//! Quarantine of requests that crash the targets that run them, and similar
//! losses that must not lead to it.

use std::time::Duration;

use laburnum_core::{
    digest::Fingerprint,
    fault::Ran,
    log::Event,
    name::Name,
    relay::{
        self, Answer, Suspicion, View,
        route::Route,
        table::suspect::{Loss, Suspects},
    },
    store::Call,
    time::Instant,
};

use crate::{
    harness::{
        Harness, Sent, config, failure, ms, name, request, search, single, success, target, view,
    },
    store::{HOLD, World},
};

/// A view with four targets of a service, so that some are left after a request
/// has crashed two.
fn four_targets(route: Route) -> View {
    let mut view = view(config(1, vec![route], 100));
    view.targets.extend([target("desk-3", "desk"), target("desk-4", "desk")]);
    view
}

/// Sends a request that crashes every target that it reaches, and returns how many
/// it crashed.
fn crash(harness: &mut Harness, path: &str) -> usize {
    harness.submit(request(path));
    let mut crashed = 0;
    loop {
        let sent = harness.take_sent();
        if sent.is_empty() {
            return crashed;
        }
        for sent in &sent {
            harness.crash_target(sent);
            crashed += 1;
        }
    }
}

fn fingerprint(path: &str) -> Fingerprint {
    request(path).fingerprint()
}

/// Sends a request and returns the attempt that reached a target, if there is one.
fn send(harness: &mut Harness, path: &str) -> Option<Sent> {
    harness.submit(request(path));
    harness.take_sent().pop()
}

/// The feed of a VM that has run for 4 s with a store that answers.
fn running_feed() -> World {
    let mut world = World::new();
    world.pass(ms(4000));
    world
}

/// What another VM tells about a target that it lost `lost` ago.
fn told(path: &str, target: &str, sent: Duration, lost: Duration) -> relay::Event {
    let (request, target) = (fingerprint(path), name(target));
    relay::Event::Suspicions(vec![Suspicion::Lost { request, target, sent, lost }])
}

fn is_loss_of(suspicion: &Suspicion, id: &Name) -> bool {
    matches!(suspicion, Suspicion::Lost { target, .. } if target == id)
}

/// Four targets that a request reaches at one of them at a time.
fn one_attempt() -> Harness {
    Harness::with_view(four_targets(Route { attempts: 1, ..single("desk") }))
}

cases! {
    // Guards against a request that crashes one target through each VM (review/5).
    losses_at_different_vms_add_up => {
        let (mut first, mut second) = (one_attempt(), one_attempt());
        assert_eq!(crash(&mut first, "/fetch/bad"), 1);
        // The next request reaches another target, as the first one is down.
        let mut rest = View::clone(&second.engine.tables().view);
        rest.targets.retain(|id, _| first.suspicions.iter().all(|told| !is_loss_of(told, id)));
        second.set_view(rest);
        let told = std::mem::take(&mut first.suspicions);
        assert!(matches!(&told[..], [Suspicion::Lost { .. }]), "{told:?}");
        second.tick(vec![relay::Event::Suspicions(told)]);
        second.advance(ms(300));
        assert_eq!(crash(&mut second, "/fetch/bad"), 1);
        assert_eq!(second.quarantined, [fingerprint("/fetch/bad")]);
        assert!(send(&mut second, "/fetch/bad").is_none());
        first.advance(ms(600));
        first.tick(vec![relay::Event::Suspicions(std::mem::take(&mut second.suspicions))]);
        assert!(send(&mut first, "/fetch/bad").is_none());
        assert!(first.quarantined.is_empty(), "the second VM reports it to the store");
    };
    losses_at_the_same_moment_at_different_vms_prove_nothing => {
        let mut harness = one_attempt();
        let sent = send(&mut harness, "/fetch/1").unwrap();
        harness.advance(ms(50));
        harness.crash_target(&sent);
        let other = if sent.target() == "desk-4" { "desk-3" } else { "desk-4" };
        harness.tick(vec![told("/fetch/1", other, ms(300), ms(250))]);
        assert!(harness.quarantined.is_empty());
        assert!(send(&mut harness, "/fetch/1").is_some());
    };
    the_same_target_lost_at_two_vms_proves_nothing => {
        let mut harness = one_attempt();
        let sent = send(&mut harness, "/fetch/1").unwrap();
        harness.tick(vec![told("/fetch/1", sent.target(), ms(5000), ms(4900))]);
        harness.crash_target(&sent);
        assert!(harness.quarantined.is_empty());
    };
    // Guards against requests that are held although another VM has served them.
    an_answer_at_one_vm_clears_a_request_at_all => {
        let mut harness = one_attempt();
        harness.tick(vec![told("/fetch/1", "desk-4", ms(300), ms(250))]);
        let sent = send(&mut harness, "/fetch/1").unwrap();
        harness.reply(&sent, success("d", 1));
        let cleared = vec![Suspicion::Cleared { request: fingerprint("/fetch/1") }];
        assert_eq!(harness.suspicions, cleared);
        let mut other = one_attempt();
        crash(&mut other, "/fetch/1");
        other.tick(vec![relay::Event::Suspicions(cleared)]);
        crash(&mut other, "/fetch/1");
        assert!(other.quarantined.is_empty());
    };
    an_answer_to_a_request_that_nobody_suspects_is_not_told => {
        let mut harness = one_attempt();
        let sent = send(&mut harness, "/fetch/1").unwrap();
        harness.reply(&sent, success("d", 1));
        assert!(harness.suspicions.is_empty());
    };
    many_suspects_do_not_hide_the_next_one => {
        let mut harness = one_attempt();
        for number in 0..3000 {
            harness.tick(vec![told(&format!("/fetch/{number}"), "desk-4", ms(300), ms(250))]);
        }
        assert!(harness.engine.tables().suspects.rows.len() <= 1024);
        harness.advance(ms(300));
        crash(&mut harness, "/fetch/bad");
        crash(&mut harness, "/fetch/bad");
        assert_eq!(harness.quarantined, [fingerprint("/fetch/bad")]);
    };
    suspicions_are_told_to_all_other_vms => {
        let mut world = running_feed();
        world.put("vm/a", "170@10.1.0.1:7000");
        world.put("vm/b", "170@10.1.0.2:7000");
        world.pass(ms(1000));
        let cleared = |number| Suspicion::Cleared { request: Fingerprint(number) };
        world.suspicions = (0..20).map(cleared).collect();
        world.pass(ms(10));
        for address in ["10.1.0.1:7000", "10.1.0.2:7000"] {
            let told = world.own.told.iter().filter(|(to, _)| to.to_string() == address);
            let told: Vec<Suspicion> = told.flat_map(|(_, part)| part.clone()).collect();
            assert_eq!(told, (0..20).map(cleared).collect::<Vec<_>>());
        }
    };
    a_request_that_crashed_two_targets_is_quarantined => {
        let mut harness = Harness::with_view(four_targets(single("desk")));
        assert_eq!(crash(&mut harness, "/fetch/bad"), 2);
        assert_eq!(harness.quarantined, [fingerprint("/fetch/bad")]);
        let call = harness.submit(request("/fetch/bad"));
        assert!(harness.take_sent().is_empty(), "a quarantined request reaches no target");
        assert_eq!(harness.refusal_status(call), 422);
        let Answer::Refused(refusal) = &harness.answers[&call] else { panic!() };
        assert!(refusal.retry.is_some() && refusal.fault.ran == Ran::No);
    };
    other_requests_are_served_beside_a_quarantined_one => {
        let mut harness = Harness::with_view(four_targets(single("desk")));
        crash(&mut harness, "/fetch/bad");
        assert!(send(&mut harness, "/fetch/good").is_some());
    };
    a_request_is_released_after_its_quarantine_and_quarantined_at_the_next_loss => {
        let mut harness = Harness::with_view(four_targets(Route { attempts: 1, ..single("desk") }));
        crash(&mut harness, "/fetch/bad");
        assert!(harness.quarantined.is_empty(), "one loss is not enough for quarantine");
        crash(&mut harness, "/fetch/bad");
        assert_eq!(harness.quarantined.len(), 1);
        harness.advance(ms(59_000));
        assert!(send(&mut harness, "/fetch/bad").is_none());
        harness.advance(ms(2_000));
        assert!(send(&mut harness, "/fetch/bad").is_some());
    };
    // Guards against two more crashes in each minute, by a request that comes again and again.
    one_loss_after_the_quarantine_quarantines_again => {
        let mut harness = one_attempt();
        crash(&mut harness, "/fetch/bad");
        crash(&mut harness, "/fetch/bad");
        harness.advance(ms(61_000));
        assert_eq!(crash(&mut harness, "/fetch/bad"), 1);
        assert!(send(&mut harness, "/fetch/bad").is_none());
        assert_eq!(harness.quarantined.len(), 2);
    };
    each_further_quarantine_is_longer => {
        let mut harness = one_attempt();
        crash(&mut harness, "/fetch/bad");
        for round in 0..6 {
            assert_eq!(crash(&mut harness, "/fetch/bad"), 1);
            let hold = *harness.holds.last().unwrap();
            let call = harness.submit(request("/fetch/bad"));
            let Answer::Refused(refusal) = &harness.answers[&call] else { panic!() };
            assert_eq!(refusal.retry, Some(hold), "told when it is let through");
            harness.advance(hold);
            // Targets that crashed come back under new names.
            let mut view = View::clone(&harness.engine.tables().view);
            view.targets = (0..4).map(|n| target(&format!("desk-{round}-{n}"), "desk")).collect();
            harness.set_view(view);
            harness.opened.clear();
            harness.open_first_connections();
        }
        assert_eq!(harness.holds, [60, 120, 240, 480, 480, 480].map(Duration::from_secs));
    };
    a_request_that_was_answered_after_its_quarantine_starts_anew => {
        let mut harness = one_attempt();
        crash(&mut harness, "/fetch/bad");
        crash(&mut harness, "/fetch/bad");
        harness.advance(ms(61_000));
        let sent = send(&mut harness, "/fetch/bad").unwrap();
        harness.reply(&sent, success("d", 1));
        crash(&mut harness, "/fetch/bad");
        assert_eq!(harness.quarantined.len(), 1, "one loss is not enough again");
    };
    the_report_of_a_quarantine_lasts_as_long_as_it => {
        let mut world = running_feed();
        world.quarantined = vec![Fingerprint(7)];
        world.pass(ms(1000));
        assert!(matches!(world.own.reports[0], Call::Grant { ttl } if ttl == HOLD));
    };
    targets_that_go_down_together_quarantine_nothing => {
        let mut harness = Harness::with_view(four_targets(single("desk")));
        harness.submit(request("/fetch/1"));
        let first = harness.take_one_sent();
        harness.submit(request("/fetch/1"));
        let second = harness.take_one_sent();
        assert_ne!(first.target(), second.target());
        harness.now = harness.now + ms(1);
        harness.crash_target(&first);
        harness.crash_target(&second);
        assert!(harness.quarantined.is_empty());
    };
    a_target_that_takes_connections_did_not_crash => {
        let mut harness = Harness::with_view(four_targets(single("desk")));
        harness.submit(request("/fetch/1"));
        for _ in 0..2 {
            let sent = harness.take_one_sent();
            harness.reset_connection(&sent);
            let rows = &harness.engine.tables().suspects.rows;
            let open = rows.values().flat_map(|row| row.unconfirmed.keys());
            assert!(!open.into_iter().any(|id| id.as_str() == sent.target()), "{rows:?}");
        }
        assert!(harness.quarantined.is_empty());
    };
    a_target_that_refuses_connections_later_did_not_crash => {
        let (mut suspects, request) = (Suspects::default(), fingerprint("/fetch/1"));
        let (first, second) = (name("desk-1"), name("desk-2"));
        let loss = |at| Loss { sent: Instant(at), lost: Instant(at + 10) };
        suspects.record_loss(request, &first, loss(0));
        suspects.record_loss(request, &second, loss(10));
        suspects.clear_target(&first);
        assert!(suspects.confirm_down(&first).is_empty());
        assert!(suspects.confirm_down(&second).is_empty());
        suspects.record_loss(request, &first, loss(20));
        assert_eq!(suspects.confirm_down(&first), [request]);
    };
    a_silent_target_did_not_crash => {
        let mut harness = Harness::with_view(four_targets(single("desk")));
        harness.submit(request("/fetch/1"));
        for _ in 0..2 {
            let sent = harness.take_one_sent();
            harness.opened.clear();
            harness.lose_connection(&sent, true);
            harness.advance(ms(250));
            harness.refuse_connections();
        }
        assert!(harness.quarantined.is_empty());
    };
    a_request_that_a_target_answered_crashes_none => {
        let mut harness = Harness::with_view(four_targets(Route { attempts: 1, ..single("desk") }));
        crash(&mut harness, "/fetch/1");
        let sent = send(&mut harness, "/fetch/1").unwrap();
        harness.reply(&sent, success("d", 1));
        crash(&mut harness, "/fetch/1");
        assert!(harness.quarantined.is_empty());
    };
    a_failure_does_not_clear_a_request => {
        let mut harness = Harness::with_view(four_targets(Route { attempts: 1, ..single("desk") }));
        crash(&mut harness, "/fetch/1");
        let sent = send(&mut harness, "/fetch/1").unwrap();
        harness.reply(&sent, failure(500));
        crash(&mut harness, "/fetch/1");
        assert_eq!(harness.quarantined.len(), 1);
    };
    an_operation_that_crashes_targets_is_quarantined => {
        let mut harness =
            Harness::with_view(four_targets(Route { idempotent: false, ..single("desk") }));
        assert_eq!(crash(&mut harness, "/fetch/bad"), 1);
        assert_eq!(crash(&mut harness, "/fetch/bad"), 1);
        assert!(send(&mut harness, "/fetch/bad").is_none());
    };
    a_search_that_crashes_targets_is_not_retried_further => {
        let mut harness = Harness::with_route(search(&["one", "two", "three"], 0.5));
        crash(&mut harness, "/search/bad");
        assert_eq!(harness.quarantined.len(), 1);
        assert!(send(&mut harness, "/search/bad").is_none());
    };
    a_request_that_another_vm_quarantined_is_refused_here => {
        let mut harness = Harness::with_view(four_targets(single("desk")));
        let mut view = four_targets(single("desk"));
        view.quarantined.insert(fingerprint("/fetch/bad"));
        harness.set_view(view);
        assert!(send(&mut harness, "/fetch/bad").is_none());
        assert!(send(&mut harness, "/fetch/good").is_some());
    };
    the_log_names_the_request_and_its_targets => {
        let mut harness = Harness::with_view(four_targets(single("desk")));
        crash(&mut harness, "/fetch/bad");
        let line = harness.lines.iter().find(|line| line.event == Event::RequestQuarantined).unwrap();
        let field = |name| line.fields.iter().find(|(key, _)| *key == name).unwrap().1.clone();
        assert_eq!(field("fingerprint"), fingerprint("/fetch/bad").to_string());
        assert_eq!(field("targets").split(' ').count(), 2);
    };
    a_quarantined_request_is_reported_once => {
        let mut world = running_feed();
        world.quarantined = vec![Fingerprint(7), Fingerprint(7)];
        world.pass(ms(3000));
        assert!(matches!(&world.own.reports[..], [Call::Grant { .. }, Call::Swap { .. }]));
        assert!(world.own.view.quarantined.contains(&Fingerprint(7)), "the watch returns the entry");
        world.quarantined = vec![Fingerprint(7)];
        world.pass(ms(3000));
        assert_eq!(world.own.reports.len(), 2);
    };
    a_quarantine_by_another_vm_is_in_force_until_its_entry_is_removed => {
        let mut world = running_feed();
        world.put("held/000000000000000a", "other");
        world.pass(ms(1000));
        assert!(world.own.view.quarantined.contains(&Fingerprint(10)));
        world.remove("held/000000000000000a");
        world.pass(ms(1000));
        assert!(world.own.view.quarantined.is_empty());
    };
    a_report_that_the_store_refuses_is_not_repeated => {
        let mut world = running_feed();
        world.store.is_down = true;
        world.quarantined = vec![Fingerprint(7)];
        world.pass(ms(3000));
        assert_eq!((world.own.reports.len(), world.own.logged(Event::ReportLost)), (1, 1));
    };
}
