//! Tests of which route a request takes, and of the configuration version that it keeps.

use laburnum_core::relay::{Answer, route::Route};

use crate::harness::{
    HOST, Harness, config, ms, name, request, search, single, split, success, view,
};

fn prefix_route(prefix: &str, service: &str) -> Route {
    Route { prefix: prefix.into(), ..single(service) }
}

/// Returns the service that a path is routed to.
fn service_of(path: &str) -> Option<String> {
    let routes =
        vec![prefix_route("/a/", "one"), prefix_route("/a/b/", "two"), prefix_route("/", "rest")];
    let config = config(1, routes, 10);
    let route = config.find(HOST, path)?;
    Some(route.services()[0].to_string())
}

cases! {
    the_longest_prefix_wins => {
        assert_eq!(service_of("/a/b/c").as_deref(), Some("two"));
        assert_eq!(service_of("/a/bc").as_deref(), Some("one"));
        assert_eq!(service_of("/x").as_deref(), Some("rest"));
    };
    a_path_without_a_route_is_not_found => {
        let mut harness = Harness::with_route(single("one"));
        let call = harness.submit(request("/elsewhere/1"));
        assert_eq!(harness.refusal_status(call), 404);
        assert!(harness.sent.is_empty());
    };
    another_host_is_not_found => {
        let mut harness = Harness::with_route(single("one"));
        let mut request = request("/fetch/1");
        request.host = "other.example".into();
        let call = harness.submit(request);
        assert_eq!(harness.refusal_status(call), 404);
    };
    without_a_configuration_nothing_is_not_found => {
        let mut harness = Harness::empty();
        let call = harness.submit(request("/fetch/1"));
        assert_eq!(harness.refusal_status(call), 503);
    };
    a_request_keeps_its_version_to_the_end => {
        let mut harness = Harness::with_route(single("one"));
        let call = harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        let mut moved = single("two");
        moved.name = name("fetch");
        let mut newer = view(config(2, vec![moved], 100));
        newer.targets.extend(view(config(1, vec![single("one")], 100)).targets);
        harness.set_view(newer);
        harness.lose_connection(&sent, true);
        let again = harness.take_one_sent();
        assert!(again.target().starts_with("one-"), "{}", again.target());
        harness.reply(&again, success("d", 1));
        assert!(harness.answers.contains_key(&call));
        harness.submit(request("/fetch/2"));
        assert!(harness.take_one_sent().target().starts_with("two-"));
    };
    a_search_keeps_the_shards_of_its_version => {
        let mut harness = Harness::with_route(search(&["one", "two"], 0.5));
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        harness.set_view(view(config(2, vec![search(&["one", "two", "three", "four"], 0.5)], 100)));
        for (sent, digest) in sent.iter().zip(["a", "b"]) {
            harness.reply(sent, success(digest, 1));
        }
        let Answer::Gathered(gathered) = &harness.answers[&call] else { panic!() };
        assert_eq!((gathered.digests.len(), gathered.missing), (2, 0));
    };
    rows_of_routes_that_are_gone_are_dropped => {
        let mut harness = Harness::with_route(split(&[("one", 1.0), ("two", 1.0)]));
        harness.submit(request("/split/1"));
        let sent = harness.take_one_sent();
        harness.reply(&sent, success("d", 1));
        let rows = |harness: &Harness| {
            let tables = harness.engine.tables();
            (tables.route_stats.len(), tables.round_robins.len(), tables.budgets.len())
        };
        assert_eq!(rows(&harness), (1, 1, 1));
        harness.set_view(view(config(2, vec![single("desk")], 100)));
        assert_eq!(rows(&harness), (0, 0, 1), "the budget counts what was sent within a window");
        harness.advance(ms(11_000));
        harness.set_view(view(config(3, vec![single("desk")], 100)));
        assert_eq!(rows(&harness), (0, 0, 0));
    };
    shares_follow_the_weights_exactly => {
        let mut harness = Harness::with_route(split(&[("one", 3.0), ("two", 1.0)]));
        let mut ones = 0;
        for _ in 0..400 {
            harness.submit(request("/split/1"));
            let sent = harness.take_one_sent();
            ones += u32::from(sent.target().starts_with("one-"));
            harness.reply(&sent, success("d", 1));
        }
        assert!((299..=301).contains(&ones), "{ones}");
    };
    changed_weights_hold_at_once => {
        let mut harness = Harness::with_route(split(&[("one", 1.0), ("two", 0.0)]));
        harness.set_view(view(config(2, vec![split(&[("one", 0.0), ("two", 1.0)])], 100)));
        for turn in 0..20 {
            harness.submit(request("/split/1"));
            let sent = harness.take_one_sent();
            // The credit from the previous version may decide the first pick.
            assert!(turn == 0 || sent.target().starts_with("two-"), "turn {turn}");
            harness.reply(&sent, success("d", 1));
        }
    };
}
