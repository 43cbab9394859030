//! Coalesces equal searches in flight at a home into one attempt.
//!
//! The first search is the leader and the others follow it: they get its rows
//! and are never sent themselves, so that sharing adds no wait. Each keeps its
//! own deadline. A leader that ends early hands its attempts to its first
//! follower. The idea is that of "req-batching: RL-driven request coalescing";
//! see `docs/design/homes.md`.

use crate::{
    fault::Kind,
    id,
    message::Outcome,
    traffic::{
        Context, Tables,
        table::{Job, coalesce::Key},
    },
};

/// The leader that a new job may follow, if any.
pub fn leader(tables: &Tables, cx: &Context, job: &Job) -> Option<id::Leg> {
    if !cx.policies.coalesce.allows(&job.leg) || job.suspect {
        return None;
    }
    let id = *tables.leaders.get(&Key::of(job)?)?;
    let leader = tables.jobs.get(&id)?;
    // The key holds only a fingerprint of the text, which may collide.
    let is_equal = leader.leg.work == job.leg.work && !leader.suspect;
    is_equal.then_some(id)
}

/// Registers a job as the leader of equal jobs that arrive later.
pub fn register_leader(tables: &mut Tables, cx: &Context, job: &Job) {
    if cx.policies.coalesce.allows(&job.leg)
        && let Some(key) = Key::of(job)
    {
        tables.leaders.insert(key, job.leg.leg);
    }
}

/// Takes the followers that end with the outcome of their leader. The passing
/// of the leader's deadline ends none, because each follower has its own.
pub fn take_followers(tables: &mut Tables, id: id::Leg, outcome: &Outcome) -> Vec<id::Leg> {
    if matches!(outcome, Outcome::Failed { kind: Kind::DeadlinePassed, .. }) {
        return Vec::new();
    }
    let Some(job) = tables.jobs.get_mut(&id) else { return Vec::new() };
    std::mem::take(&mut job.followers).into_iter().collect()
}

/// Removes a job that ends from its group. If it was a leader, its first
/// follower takes over its attempts or its position in the queue.
pub fn leave(tables: &mut Tables, job: &mut Job) {
    let id = job.leg.leg;
    if let Some(leader) = job.follows.and_then(|leader| tables.jobs.get_mut(&leader)) {
        leader.followers.remove(&id);
        return;
    }
    let Some(key) = Key::of(job) else { return };
    if tables.leaders.get(&key) == Some(&id) {
        tables.leaders.remove(&key);
    }
    let Some(next) = job.followers.pop_first() else { return };
    for follower in &job.followers {
        if let Some(row) = tables.jobs.get_mut(follower) {
            row.follows = Some(next);
        }
    }
    let attempts = std::mem::take(&mut job.attempts);
    for attempt in &attempts {
        if let Some(row) = tables.attempts.get_mut(attempt) {
            row.job = next;
        }
    }
    let position = match (job.position, tables.shards.get_mut(&job.shard)) {
        (Some((tag, _)), Some(shard)) => {
            shard.queue.insert((tag, next));
            Some((tag, next))
        }
        (None, Some(shard)) if attempts.is_empty() => Some(shard.requeue(next)),
        _ => None,
    };
    let Some(row) = tables.jobs.get_mut(&next) else { return };
    row.follows = None;
    row.followers = std::mem::take(&mut job.followers);
    row.attempts = attempts;
    row.position = position;
    row.tries = job.tries;
    row.ran = job.ran;
    row.suspect = job.suspect;
    row.avoid = std::mem::take(&mut job.avoid);
    tables.leaders.insert(key, next);
    tables.to_dispatch.insert(job.shard.clone());
}
