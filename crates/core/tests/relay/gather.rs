//! Searches over shards: whole, partial at the goal, or refused.

use laburnum_core::relay::{Answer, message::Gathered};

use crate::bed::{Bed, Sent, failure, inquiry, ms, refusal, search, success};

const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

fn gathered(bed: &Bed, call: laburnum_core::relay::Call) -> &Gathered {
    match &bed.answers[&call] {
        Answer::Gathered(gathered) => gathered,
        other => panic!("not gathered: {other:?}"),
    }
}

/// The request that the target of a shard was handed.
fn of<'a>(sent: &'a [Sent], shard: &str) -> &'a Sent {
    sent.iter().find(|sent| sent.target().starts_with(shard)).unwrap()
}

/// Answers every shard but `without`.
fn reply_all(bed: &mut Bed, sent: &[Sent], without: &[&str]) {
    for shard in SHARDS.iter().filter(|shard| !without.contains(shard)) {
        bed.reply(of(sent, shard), success(shard, 1));
    }
}

cases! {
    each_shard_gets_one_leg_at_once => {
        let mut bed = Bed::of(search(&SHARDS, 0.75));
        bed.ask(inquiry("/search/1"));
        let sent = bed.take();
        assert_eq!(sent.len(), 4);
        assert!(SHARDS.iter().all(|shard| of(&sent, shard).at == bed.now));
    };
    a_whole_answer_goes_out_with_the_last_part => {
        let mut bed = Bed::of(search(&SHARDS, 0.75));
        let call = bed.ask(inquiry("/search/1"));
        let sent = bed.take();
        reply_all(&mut bed, &sent, &["s4"]);
        assert!(!bed.answers.contains_key(&call));
        bed.reply(of(&sent, "s4"), success("s4", 9));
        let answer = gathered(&bed, call);
        assert_eq!((answer.missing, answer.digests.len()), (0, 4));
        assert_eq!(answer.body, [[9; 16], [1; 16], [1; 16]].concat());
    };
    a_partial_answer_goes_out_just_before_the_goal => {
        let mut bed = Bed::of(search(&SHARDS, 0.75));
        let since = bed.now;
        let call = bed.ask(inquiry("/search/1"));
        let sent = bed.take();
        reply_all(&mut bed, &sent, &["s4"]);
        bed.pass(ms(100));
        assert_eq!(gathered(&bed, call).missing, 1);
        assert!((80..100).contains(&bed.waited(call, since).as_millis()));
    };
    too_few_parts_at_the_goal_are_waited_for => {
        let mut bed = Bed::of(search(&SHARDS, 0.75));
        let call = bed.ask(inquiry("/search/1"));
        let sent = bed.take();
        reply_all(&mut bed, &sent, &["s3", "s4"]);
        bed.pass(ms(150));
        assert!(!bed.answers.contains_key(&call));
        bed.reply(of(&sent, "s3"), success("s3", 1));
        assert_eq!(gathered(&bed, call).missing, 1);
    };
    a_search_that_cannot_become_complete_enough_is_refused_at_once => {
        let mut bed = Bed::of(search(&SHARDS, 0.75));
        let call = bed.ask(inquiry("/search/1"));
        for _ in 0..2 {
            for sent in bed.take() {
                if sent.target().starts_with("s1") || sent.target().starts_with("s2") {
                    bed.reply(&sent, failure(500));
                }
            }
        }
        // A target ran it, so it is no refusal that promises the contrary.
        assert_eq!(bed.refused(call), 502);
    };
    a_search_that_no_target_ran_says_so => {
        let mut bed = Bed::of(search(&["s1"], 1.0));
        let call = bed.ask(inquiry("/search/1"));
        for _ in 0..2 {
            let sent = bed.take_one();
            bed.reply(&sent, refusal(503));
        }
        assert_eq!(bed.refused(call), 503);
    };
    a_failure_is_no_part_even_with_a_digest => {
        let mut bed = Bed::of(search(&["s1"], 1.0));
        let call = bed.ask(inquiry("/search/1"));
        let sent = bed.take_one();
        bed.reply(&sent, failure(500));
        assert!(!bed.answers.contains_key(&call));
        let sent = bed.take_one();
        bed.reply(&sent, success("s1", 1));
        assert_eq!(gathered(&bed, call).digests.len(), 1);
    };
    a_success_without_a_digest_is_no_part => {
        let mut bed = Bed::of(search(&["s1"], 1.0));
        let call = bed.ask(inquiry("/search/1"));
        let sent = bed.take_one();
        let mut reply = success("s1", 1);
        reply.digest = None;
        bed.reply(&sent, reply);
        assert!(!bed.answers.contains_key(&call));
    };
    a_shard_without_targets_is_missing_at_once => {
        let mut bed = Bed::of(search(&SHARDS, 0.75));
        let mut view = (*bed.engine.tables().view).clone();
        view.targets.retain(|id, _| !id.as_str().starts_with("s2"));
        bed.show(view);
        let call = bed.ask(inquiry("/search/1"));
        let sent = bed.take();
        reply_all(&mut bed, &sent, &["s2"]);
        assert_eq!(gathered(&bed, call).missing, 1);
    };
    a_hedged_shard_counts_once => {
        let mut bed = Bed::of(search(&["s1"], 1.0));
        bed.teach("/search/1", 10, ms(10));
        let call = bed.ask(inquiry("/search/1"));
        let first = bed.take_one();
        bed.pass(ms(40));
        let second = bed.take_one();
        assert_ne!(first.target(), second.target());
        bed.reply(&second, success("s1", 1));
        bed.reply(&first, success("s1", 1));
        assert_eq!(gathered(&bed, call).digests.len(), 1);
    };
    the_least_share_is_rounded_up => {
        let gather = |count: usize, min_coverage: f64| laburnum_core::relay::route::Gather {
            shards: (0..count).map(|n| crate::bed::name(&format!("s{n}"))).collect(),
            top_k: 1,
            min_coverage,
        };
        assert_eq!(gather(20, 0.89).min_parts(), 18);
        assert_eq!(gather(20, 0.75).min_parts(), 15);
        assert_eq!(gather(90, 0.95).min_parts(), 86);
        assert_eq!(gather(4, 0.0).min_parts(), 1);
    };
}
