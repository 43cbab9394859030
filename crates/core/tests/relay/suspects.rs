//! Requests that crash the targets that run them, and those that only look so.

use laburnum_core::{
    digest::Fingerprint,
    fault::Ran,
    log::Event,
    relay::{
        Answer, View,
        route::Route,
        table::suspect::{Loss, Suspects},
    },
    store::Call,
    time::Instant,
};

use crate::{
    bed::{Bed, Sent, config, failure, inquiry, ms, name, search, single, success, target, view},
    store::World,
};

/// A view with four targets of a service, so that one is left.
fn wide(route: Route) -> View {
    let mut view = view(config(1, vec![route], 100));
    view.targets.extend([target("desk-3", "desk"), target("desk-4", "desk")]);
    view
}

/// Sends the request that crashes targets and lets it crash what it reaches.
fn crash(bed: &mut Bed, path: &str) -> usize {
    bed.ask(inquiry(path));
    let mut crashed = 0;
    loop {
        let sent = bed.take();
        if sent.is_empty() {
            return crashed;
        }
        for sent in &sent {
            bed.crash(sent);
            crashed += 1;
        }
    }
}

fn fingerprint(path: &str) -> Fingerprint {
    inquiry(path).fingerprint()
}

/// Sends a request and returns what a target got, if one did.
fn ask(bed: &mut Bed, path: &str) -> Option<Sent> {
    bed.ask(inquiry(path));
    bed.take().pop()
}

fn fed() -> World {
    let mut world = World::new();
    world.pass(ms(4000));
    world
}

cases! {
    a_request_that_crashed_two_targets_is_held_back => {
        let mut bed = Bed::new(wide(single("desk")));
        assert_eq!(crash(&mut bed, "/fetch/bad"), 2);
        assert_eq!(bed.held, [fingerprint("/fetch/bad")]);
        let call = bed.ask(inquiry("/fetch/bad"));
        assert!(bed.take().is_empty(), "it reaches no target");
        assert_eq!(bed.refused(call), 422);
        let Answer::Refused(refusal) = &bed.answers[&call] else { panic!() };
        assert!(refusal.retry.is_some() && refusal.fault.ran == Ran::No);
    };
    other_requests_are_served_beside_one_that_is_held_back => {
        let mut bed = Bed::new(wide(single("desk")));
        crash(&mut bed, "/fetch/bad");
        assert!(ask(&mut bed, "/fetch/good").is_some());
    };
    a_request_is_let_go_after_its_time_and_held_back_at_the_next_loss => {
        let mut bed = Bed::new(wide(Route { attempts: 1, ..single("desk") }));
        crash(&mut bed, "/fetch/bad");
        assert!(bed.held.is_empty(), "one loss proves nothing");
        crash(&mut bed, "/fetch/bad");
        assert_eq!(bed.held.len(), 1);
        bed.pass(ms(59_000));
        assert!(ask(&mut bed, "/fetch/bad").is_none());
        bed.pass(ms(2_000));
        assert!(ask(&mut bed, "/fetch/bad").is_some());
    };
    targets_that_go_down_together_prove_nothing => {
        let mut bed = Bed::new(wide(single("desk")));
        bed.ask(inquiry("/fetch/1"));
        let first = bed.take_one();
        bed.ask(inquiry("/fetch/1"));
        let second = bed.take_one();
        assert_ne!(first.target(), second.target());
        bed.now = bed.now + ms(1);
        bed.crash(&first);
        bed.crash(&second);
        assert!(bed.held.is_empty());
    };
    a_target_that_takes_connections_did_not_crash => {
        let mut bed = Bed::new(wide(single("desk")));
        bed.ask(inquiry("/fetch/1"));
        for _ in 0..2 {
            let sent = bed.take_one();
            bed.reset(&sent);
            let rows = &bed.engine.tables().suspects.rows;
            let open = rows.values().flat_map(|row| row.open.keys());
            assert!(!open.into_iter().any(|id| id.as_str() == sent.target()), "{rows:?}");
        }
        assert!(bed.held.is_empty());
    };
    a_target_that_refuses_connections_later_did_not_crash => {
        let (mut suspects, request) = (Suspects::default(), fingerprint("/fetch/1"));
        let (first, second) = (name("desk-1"), name("desk-2"));
        let loss = |at| Loss { sent: Instant(at), lost: Instant(at + 10) };
        suspects.note(request, &first, loss(0));
        suspects.note(request, &second, loss(10));
        suspects.clear_target(&first);
        assert!(suspects.confirm(&first).is_empty());
        assert!(suspects.confirm(&second).is_empty());
        suspects.note(request, &first, loss(20));
        assert_eq!(suspects.confirm(&first), [request]);
    };
    a_silent_target_did_not_crash => {
        let mut bed = Bed::new(wide(single("desk")));
        bed.ask(inquiry("/fetch/1"));
        for _ in 0..2 {
            let sent = bed.take_one();
            bed.opened.clear();
            bed.lose(&sent, true);
            bed.pass(ms(250));
            bed.refuse();
        }
        assert!(bed.held.is_empty());
    };
    a_request_that_a_target_answered_crashes_none => {
        let mut bed = Bed::new(wide(Route { attempts: 1, ..single("desk") }));
        crash(&mut bed, "/fetch/1");
        let sent = ask(&mut bed, "/fetch/1").unwrap();
        bed.reply(&sent, success("d", 1));
        crash(&mut bed, "/fetch/1");
        assert!(bed.held.is_empty());
    };
    a_failure_does_not_clear_a_request => {
        let mut bed = Bed::new(wide(Route { attempts: 1, ..single("desk") }));
        crash(&mut bed, "/fetch/1");
        let sent = ask(&mut bed, "/fetch/1").unwrap();
        bed.reply(&sent, failure(500));
        crash(&mut bed, "/fetch/1");
        assert_eq!(bed.held.len(), 1);
    };
    an_operation_that_crashes_targets_is_held_back => {
        let mut bed = Bed::new(wide(Route { idempotent: false, ..single("desk") }));
        assert_eq!(crash(&mut bed, "/fetch/bad"), 1);
        assert_eq!(crash(&mut bed, "/fetch/bad"), 1);
        assert!(ask(&mut bed, "/fetch/bad").is_none());
    };
    a_search_that_crashes_targets_is_not_retried_further => {
        let mut bed = Bed::of(search(&["one", "two", "three"], 0.5));
        crash(&mut bed, "/search/bad");
        assert_eq!(bed.held.len(), 1);
        assert!(ask(&mut bed, "/search/bad").is_none());
    };
    a_request_that_another_vm_holds_back_is_held_back_here => {
        let mut bed = Bed::new(wide(single("desk")));
        let mut view = wide(single("desk"));
        view.held.insert(fingerprint("/fetch/bad"));
        bed.show(view);
        assert!(ask(&mut bed, "/fetch/bad").is_none());
        assert!(ask(&mut bed, "/fetch/good").is_some());
    };
    the_log_names_the_request_and_its_targets => {
        let mut bed = Bed::new(wide(single("desk")));
        crash(&mut bed, "/fetch/bad");
        let line = bed.lines.iter().find(|line| line.event == Event::RequestQuarantined).unwrap();
        let field = |name| line.fields.iter().find(|(key, _)| *key == name).unwrap().1.clone();
        assert_eq!(field("fingerprint"), fingerprint("/fetch/bad").to_string());
        assert_eq!(field("targets").split(' ').count(), 2);
    };
    a_request_that_is_held_back_is_told_once => {
        let mut world = fed();
        world.held = vec![Fingerprint(7), Fingerprint(7)];
        world.pass(ms(3000));
        assert!(matches!(&world.reports[..], [Call::Grant { .. }, Call::Swap { .. }]));
        assert!(world.view.held.contains(&Fingerprint(7)), "it comes back by the watch");
        world.held = vec![Fingerprint(7)];
        world.pass(ms(3000));
        assert_eq!(world.reports.len(), 2);
    };
    what_others_hold_back_is_known_and_goes_with_its_entry => {
        let mut world = fed();
        world.put("held/000000000000000a", "other");
        world.pass(ms(1000));
        assert!(world.view.held.contains(&Fingerprint(10)));
        world.remove("held/000000000000000a");
        world.pass(ms(1000));
        assert!(world.view.held.is_empty());
    };
    a_report_that_the_store_refuses_is_not_repeated => {
        let mut world = fed();
        world.is_down = true;
        world.held = vec![Fingerprint(7)];
        world.pass(ms(3000));
        assert_eq!((world.reports.len(), world.logged(Event::ReportLost)), (1, 1));
    };
}
