//! Shares one attempt between equal searches in flight at a home.
//!
//! The first one leads and the others follow: they take its rows and are never
//! sent themselves, so sharing adds no wait. Each has a deadline of its own. A
//! leader that leaves hands its attempts to its first follower. The idea is that
//! of "req-batching: RL-driven request coalescing"; see `docs/design/homes.md`.

use crate::{
    fault::Kind,
    id,
    message::Outcome,
    traffic::{
        Context, Tables,
        table::{Job, share::Key},
    },
};

/// The leader that a new job may follow.
pub fn leader(tables: &Tables, cx: &Context, job: &Job) -> Option<id::Leg> {
    if !cx.policies.coalesce.allows(&job.leg) || job.suspect {
        return None;
    }
    let id = *tables.leaders.get(&Key::of(job)?)?;
    let leader = tables.jobs.get(&id)?;
    // The key holds a fingerprint of the text only.
    let is_equal = leader.leg.work == job.leg.work && !leader.suspect;
    is_equal.then_some(id)
}

/// Notes that a job may be followed.
pub fn lead(tables: &mut Tables, cx: &Context, job: &Job) {
    if cx.policies.coalesce.allows(&job.leg)
        && let Some(key) = Key::of(job)
    {
        tables.leaders.insert(key, job.leg.leg);
    }
}

/// Takes the followers that end as their leader does. Only its deadline is its
/// own.
pub fn take_followers(tables: &mut Tables, id: id::Leg, outcome: &Outcome) -> Vec<id::Leg> {
    if matches!(outcome, Outcome::Failed { kind: Kind::DeadlinePassed, .. }) {
        return Vec::new();
    }
    let Some(job) = tables.jobs.get_mut(&id) else { return Vec::new() };
    std::mem::take(&mut job.followers).into_iter().collect()
}

/// Takes a job that ends out of its group. If it led others, the first of them
/// takes over its attempts or its place in the queue.
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
    let place = match (job.place, tables.shards.get_mut(&job.shard)) {
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
    row.place = place;
    row.tries = job.tries;
    row.ran = job.ran;
    row.suspect = job.suspect;
    row.avoid = std::mem::take(&mut job.avoid);
    tables.leaders.insert(key, next);
    tables.to_dispatch.insert(job.shard.clone());
}
