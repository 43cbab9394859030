//! Searches over shards: complete answers, partial answers at the goal, and
//! refusals.

use laburnum_core::relay::{Answer, message::Gathered};

use crate::harness::{Harness, Sent, failure, ms, refusal, request, search, success};

const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

fn gathered(harness: &Harness, call: laburnum_core::relay::Call) -> &Gathered {
    match &harness.answers[&call] {
        Answer::Gathered(gathered) => gathered,
        other => panic!("not gathered: {other:?}"),
    }
}

/// The request that was sent to a target of a shard.
fn sent_to<'a>(sent: &'a [Sent], shard: &str) -> &'a Sent {
    sent.iter().find(|sent| sent.target().starts_with(shard)).unwrap()
}

/// Replies for every shard except those in `without`.
fn reply_except(harness: &mut Harness, sent: &[Sent], without: &[&str]) {
    for shard in SHARDS.iter().filter(|shard| !without.contains(shard)) {
        harness.reply(sent_to(sent, shard), success(shard, 1));
    }
}

cases! {
    a_partial_answer_leaves_time_for_the_way_to_the_caller => {
        // Callers are 3 ms away, and a VM with 0.17 of a core works for about 6 ms.
        let (way, work) = (ms(3), ms(6));
        let mut harness = Harness::with_route(search(&["s1", "s2"], 0.5));
        let call = harness.submit(request("/search/1"));
        let since = harness.now;
        let sent = harness.take_sent();
        harness.reply(&sent[0], success("a", 1));
        harness.advance(ms(200));
        assert!(harness.waited(call, since) + way + way + work <= ms(100));
    };
    each_shard_gets_one_leg_at_once => {
        let mut harness = Harness::with_route(search(&SHARDS, 0.75));
        harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        assert_eq!(sent.len(), 4);
        assert!(SHARDS.iter().all(|shard| sent_to(&sent, shard).at == harness.now));
    };
    a_whole_answer_goes_out_with_the_last_part => {
        let mut harness = Harness::with_route(search(&SHARDS, 0.75));
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        reply_except(&mut harness, &sent, &["s4"]);
        assert!(!harness.answers.contains_key(&call));
        harness.reply(sent_to(&sent, "s4"), success("s4", 9));
        let answer = gathered(&harness, call);
        assert_eq!((answer.missing, answer.digests.len()), (0, 4));
        assert_eq!(answer.body, [[9; 16], [1; 16], [1; 16]].concat());
    };
    a_partial_answer_goes_out_just_before_the_goal => {
        let mut harness = Harness::with_route(search(&SHARDS, 0.75));
        let since = harness.now;
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        reply_except(&mut harness, &sent, &["s4"]);
        harness.advance(ms(100));
        assert_eq!(gathered(&harness, call).missing, 1);
        assert!((80..100).contains(&harness.waited(call, since).as_millis()));
    };
    too_few_parts_at_the_goal_are_waited_for => {
        let mut harness = Harness::with_route(search(&SHARDS, 0.75));
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        reply_except(&mut harness, &sent, &["s3", "s4"]);
        harness.advance(ms(150));
        assert!(!harness.answers.contains_key(&call));
        harness.reply(sent_to(&sent, "s3"), success("s3", 1));
        assert_eq!(gathered(&harness, call).missing, 1);
    };
    a_search_that_cannot_become_complete_enough_is_refused_at_once => {
        let mut harness = Harness::with_route(search(&SHARDS, 0.75));
        let call = harness.submit(request("/search/1"));
        for _ in 0..2 {
            for sent in harness.take_sent() {
                if sent.target().starts_with("s1") || sent.target().starts_with("s2") {
                    harness.reply(&sent, failure(500));
                }
            }
        }
        // A target ran the search, so the refusal must not say that it was not run.
        assert_eq!(harness.refusal_status(call), 502);
    };
    a_search_that_no_target_ran_says_so => {
        let mut harness = Harness::with_route(search(&["s1"], 1.0));
        let call = harness.submit(request("/search/1"));
        for _ in 0..2 {
            let sent = harness.take_one_sent();
            harness.reply(&sent, refusal(503));
        }
        assert_eq!(harness.refusal_status(call), 503);
    };
    a_failure_is_no_part_even_with_a_digest => {
        let mut harness = Harness::with_route(search(&["s1"], 1.0));
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_one_sent();
        harness.reply(&sent, failure(500));
        assert!(!harness.answers.contains_key(&call));
        let sent = harness.take_one_sent();
        harness.reply(&sent, success("s1", 1));
        assert_eq!(gathered(&harness, call).digests.len(), 1);
    };
    a_success_without_a_digest_is_no_part => {
        let mut harness = Harness::with_route(search(&["s1"], 1.0));
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_one_sent();
        let mut reply = success("s1", 1);
        reply.digest = None;
        harness.reply(&sent, reply);
        assert!(!harness.answers.contains_key(&call));
    };
    a_shard_without_targets_is_missing_at_once => {
        let mut harness = Harness::with_route(search(&SHARDS, 0.75));
        let mut view = (*harness.engine.tables().view).clone();
        view.targets.retain(|id, _| !id.as_str().starts_with("s2"));
        harness.set_view(view);
        let call = harness.submit(request("/search/1"));
        let sent = harness.take_sent();
        reply_except(&mut harness, &sent, &["s2"]);
        assert_eq!(gathered(&harness, call).missing, 1);
    };
    a_hedged_shard_counts_once => {
        let mut harness = Harness::with_route(search(&["s1"], 1.0));
        harness.train_latency("/search/1", 10, ms(10));
        let call = harness.submit(request("/search/1"));
        let first = harness.take_one_sent();
        harness.advance(ms(40));
        let second = harness.take_one_sent();
        assert_ne!(first.target(), second.target());
        harness.reply(&second, success("s1", 1));
        harness.reply(&first, success("s1", 1));
        assert_eq!(gathered(&harness, call).digests.len(), 1);
    };
    the_least_share_is_rounded_up => {
        let gather = |count: usize, min_coverage: f64| laburnum_core::relay::route::Gather {
            shards: (0..count).map(|n| crate::harness::name(&format!("s{n}"))).collect(),
            top_k: 1,
            min_coverage,
        };
        assert_eq!(gather(20, 0.89).min_parts(), 18);
        assert_eq!(gather(20, 0.75).min_parts(), 15);
        assert_eq!(gather(90, 0.95).min_parts(), 86);
        assert_eq!(gather(4, 0.0).min_parts(), 1);
    };
}
