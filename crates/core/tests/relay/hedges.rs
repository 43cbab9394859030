//! Hedges: second attempts for legs whose first one is slow.

use laburnum_core::{
    latency::Latency,
    relay::{
        View,
        message::Load,
        policy::hedge::{Hedge, Never, Tail},
    },
};

use crate::harness::{Harness, config, limits, ms, request, search, single, success, target, view};

fn latency_of(millis: &[u64]) -> Latency {
    let mut latency = Latency::default();
    millis.iter().for_each(|&millis| latency.record(ms(millis)));
    latency
}

/// A view with four targets of one service, more than its route allows attempts.
fn four_targets() -> View {
    let mut view = view(config(1, vec![single("desk")], 100));
    view.targets.extend([target("desk-3", "desk"), target("desk-4", "desk")]);
    view
}

cases! {
    the_delay_is_what_most_attempts_take => {
        let latency = latency_of(&[10; 100]);
        let delay = Tail::default().delay(&latency, ms(100)).unwrap();
        assert!((10..14).contains(&delay.as_millis()), "{delay:?}");
    };
    the_second_attempt_can_still_be_in_time => {
        let latency = latency_of(&[90; 100]);
        assert_eq!(Tail::default().delay(&latency, ms(100)), Some(ms(40)));
    };
    without_history_a_part_of_the_goal_is_waited => {
        assert_eq!(Tail::default().delay(&Latency::default(), ms(100)), Some(ms(30)));
    };
    the_never_policy_plans_no_hedge => {
        assert_eq!(Never.delay(&latency_of(&[1; 20]), ms(100)), None);
    };
    a_leg_at_a_paused_target_is_hedged_at_another => {
        let mut harness = Harness::with_route(search(&["s1", "s2"], 1.0));
        harness.train_latency("/search/1", 20, ms(8));
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        harness.now = harness.now + ms(8);
        harness.reply(&sent[0], success("a", 1));
        harness.advance(ms(20));
        let second = harness.take_one_sent();
        assert_ne!(second.target(), sent[1].target());
        harness.now = harness.now + ms(8);
        harness.reply(&second, success("b", 1));
        assert!(harness.answers.contains_key(&call));
    };
    a_leg_goes_to_as_many_targets_as_its_route_allows => {
        let mut harness = Harness::with_view(four_targets());
        harness.train_latency("/fetch/1", 20, ms(5));
        harness.submit(request("/fetch/1"));
        harness.advance(ms(500));
        assert_eq!(harness.take_sent().len(), 2);
    };
    a_lost_leg_goes_to_as_many_targets_as_its_route_allows => {
        let mut harness = Harness::with_view(four_targets());
        let call = harness.submit(request("/fetch/1"));
        let mut sent = 0;
        while let Some(attempt) = harness.take_sent().pop() {
            harness.lose_connection(&attempt, true);
            sent += 1;
        }
        assert_eq!((sent, harness.refusal_status(call)), (2, 502));
    };
    a_leg_that_was_retried_before_its_hedge_goes_to_no_third_target => {
        let mut harness = Harness::with_view(four_targets());
        harness.train_latency("/fetch/1", 20, ms(20));
        harness.submit(request("/fetch/1"));
        harness.now = harness.now + ms(1);
        let first = harness.take_one_sent();
        harness.lose_connection(&first, true);
        assert_eq!(harness.take_sent().len(), 1);
        harness.advance(ms(400));
        assert!(harness.take_sent().is_empty());
    };
    a_target_without_a_free_slot_gets_no_second_attempt => {
        let mut harness = Harness::with_route(single("desk"));
        harness.train_latency("/fetch/1", 20, ms(5));
        // One target reports that other VMs keep it busy, so the next request goes to
        // the other target, which is slow.
        harness.submit(request("/fetch/1"));
        let busy = harness.take_one_sent();
        let mut reply = success("d", 1);
        reply.load = Some(Load { running: 6, waiting: 0, slots: 2 });
        harness.reply(&busy, reply);
        harness.submit(request("/fetch/2"));
        assert_ne!(harness.take_one_sent().target(), busy.target());
        harness.advance(ms(100));
        assert!(harness.take_sent().is_empty(), "it would delay all requests of that target");
        harness.advance(ms(300));
        assert_eq!(harness.take_one_sent().target(), busy.target(), "the load report is too old");
    };
    the_budget_bounds_second_attempts => {
        let mut harness = Harness::with_slack(1.0);
        harness.set_view(view(config(1, vec![single("desk")], 100)));
        harness.open_first_connections();
        harness.advance(ms(10_000));
        for _ in 0..40 {
            harness.submit(request("/fetch/1"));
            harness.advance(ms(60));
            for sent in harness.take_sent() {
                harness.reply(&sent, success("d", 1));
            }
        }
        let counted =
            harness.lines.iter().filter(|l| l.event == laburnum_core::log::Event::LegHedged);
        let hedges = counted.count();
        assert!(hedges <= 9, "{hedges} hedges for 40 requests, ratio 0.2, slack 1");
        assert!(hedges >= 5, "{hedges} hedges");
    };
    other_limits_hold_at_once => {
        let mut harness = Harness::with_slack(0.0);
        harness.set_view(view(config(1, vec![single("desk")], 100)));
        harness.open_first_connections();
        harness.submit(request("/fetch/1"));
        harness.advance(ms(300));
        assert_eq!(harness.take_sent().len(), 1, "the retry budget is empty");
        harness.engine.set_limits(limits(100.0));
        harness.advance(ms(11_000));
        harness.submit(request("/fetch/2"));
        harness.advance(ms(300));
        assert_eq!(harness.take_sent().len(), 2);
    };
    the_loser_of_a_hedge_keeps_its_connection_if_it_answers => {
        let mut harness = Harness::with_route(single("desk"));
        harness.train_latency("/fetch/1", 20, ms(5));
        harness.submit(request("/fetch/1"));
        harness.advance(ms(45));
        let sent = harness.take_sent();
        harness.reply(&sent[1], success("d", 1));
        harness.now = harness.now + ms(100);
        harness.reply(&sent[0], success("d", 1));
        assert!(harness.closed.is_empty());
    };
    the_loser_of_a_hedge_is_withdrawn_in_the_end => {
        let mut harness = Harness::with_route(single("desk"));
        harness.train_latency("/fetch/1", 20, ms(5));
        harness.submit(request("/fetch/1"));
        harness.advance(ms(45));
        let sent = harness.take_sent();
        harness.reply(&sent[1], success("d", 1));
        harness.advance(ms(600));
        assert_eq!(harness.closed, [sent[0].connection]);
    };
}
