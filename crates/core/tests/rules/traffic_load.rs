//! Behaviour under load: retry budget, choice of targets, admission and
//! recovery.

use std::time::Duration;

use laburnum_core::{
    count::Count,
    fault::{Kind, Ran},
    profile::WHOLE_PPM as MILLION,
    traffic::{Body, Call},
    view::State,
};

use crate::world::{FULL_COVERAGE, World, name};

const MS: Duration = Duration::from_millis(1);

/// Changes the profile that requires full coverage.
fn set_profile(world: &mut World, extra_load: u32, priority: u32) {
    let profile = world.document.profiles.get_mut(&name(FULL_COVERAGE)).unwrap();
    profile.extra_load = extra_load;
    profile.priority = priority;
    world.publish();
    world.run(10 * MS);
}

fn total(world: &World, count: Count) -> u64 {
    world.vms.values().map(|vm| vm.counts.get(count)).sum()
}

fn took(world: &World, call: Call) -> Duration {
    world.found(call);
    world.answer(call).took
}

/// Sends `count` searches, one every `pause`, to each VM in turn.
fn send(world: &mut World, count: usize, pause: Duration, profile: &str) -> Vec<Call> {
    let vms: Vec<String> = world.vms.keys().map(ToString::to_string).collect();
    let mut calls = Vec::new();
    for number in 0..count {
        let vm = &vms[number % vms.len()];
        let text = format!("text {number} at {}", world.now.0);
        calls.push(world.search(vm, profile, &text));
        world.run(pause);
    }
    calls
}

fn count_answered(world: &World, calls: &[Call]) -> usize {
    calls.iter().filter(|&&call| matches!(world.answer(call).body, Body::Found(_))).count()
}

fn hedges_keep_the_budget() {
    let mut world = World::new(3, 4, 2);
    let before = total(&world, Count::FirstAttempts);
    for target in world.targets.rows.values_mut() {
        target.service = 100 * MS;
    }
    send(&mut world, 40, 300 * MS, FULL_COVERAGE);
    let first = total(&world, Count::FirstAttempts) - before;
    let hedges = total(&world, Count::Hedges);
    assert_eq!(first, 160);
    let allowed = first * 50_000 / u64::from(MILLION);
    assert!(hedges <= allowed, "{hedges} hedges, {allowed} are allowed");
    assert!(hedges > 0, "nothing was hedged");
}

/// One VM and one shard of two targets, of which the first is known to be slow.
/// The profile allows no hedges.
fn slow_target() -> World {
    let mut world = World::new(1, 1, 2);
    set_profile(&mut world, 0, 10);
    world.targets.get(0, 0).service = 400 * MS;
    send(&mut world, 40, 450 * MS, FULL_COVERAGE);
    world
}

fn leg_waits_for_the_fast_target() {
    let mut world = slow_target();
    let calls: Vec<Call> =
        (0..4).map(|n| world.search("vm-1", FULL_COVERAGE, &n.to_string())).collect();
    world.run(1100 * MS);
    for call in calls {
        let took = took(&world, call);
        assert!(took < 50 * MS, "took {took:?}");
    }
}

fn slow_target_is_used_when_the_queue_is_longer() {
    let mut world = slow_target();
    for target in world.targets.rows.values_mut() {
        target.service = 300 * MS;
    }
    let before = world.targets.get(0, 0).attempts;
    send(&mut world, 60, 30 * MS, FULL_COVERAGE);
    world.run(1100 * MS);
    assert!(world.targets.get(0, 0).attempts > before + 4);
}

fn recovered_target_is_used_again() {
    let mut world = slow_target();
    world.targets.get(0, 0).service = 4 * MS;
    send(&mut world, 200, 50 * MS, FULL_COVERAGE);
    let before = world.targets.get(0, 0).attempts;
    for _ in 0..20 {
        for number in 0..4 {
            world.search("vm-1", FULL_COVERAGE, &number.to_string());
        }
        world.run(50 * MS);
    }
    let attempts = world.targets.get(0, 0).attempts - before;
    assert!(attempts >= 20, "{attempts} attempts after it recovered");
}

fn new_target_gets_little_at_first() {
    let mut world = World::new(1, 1, 2);
    world.targets.get(0, 0).listed = None;
    world.publish();
    send(&mut world, 20, 20 * MS, FULL_COVERAGE);
    world.targets.get(0, 0).listed = Some(State::Live);
    world.targets.get(0, 0).peak_running = 0;
    world.publish();
    world.run(50 * MS);
    for number in 0..8 {
        world.search("vm-1", FULL_COVERAGE, &number.to_string());
    }
    world.run(6 * MS);
    assert_eq!(world.targets.get(0, 0).peak_running, 1);
}

/// Two shards of one target with two slots each. A request takes 42 ms with its
/// network delay, so the slots allow 47 queries a second.
fn small_world() -> World {
    let mut world = World::new(2, 2, 1);
    for target in world.targets.rows.values_mut() {
        target.service = 40 * MS;
    }
    send(&mut world, 10, 100 * MS, FULL_COVERAGE);
    world
}

fn overload_is_refused_before_it_runs() {
    let mut world = small_world();
    let calls = send(&mut world, 600, 5 * MS, FULL_COVERAGE);
    world.run(1100 * MS);
    let answered = count_answered(&world, &calls);
    assert!(answered >= 140, "{answered} of 141 that the slots allow were answered");
    let refused = calls.iter().filter_map(|&call| match &world.answer(call).body {
        Body::Refused(fault) => Some((fault.kind, fault.ran)),
        _ => None,
    });
    let late = refused.filter(|refusal| *refusal != (Kind::Overloaded, Ran::No)).count();
    assert!(late <= 6, "{late} of 600 queries were not refused as overloaded before they ran");
}

fn latency_is_back_after_a_burst(deadline: Duration) {
    let mut world = small_world();
    world.document.profiles.get_mut(&name(FULL_COVERAGE)).unwrap().deadline = deadline;
    world.publish();
    world.run(10 * MS);
    send(&mut world, 200, 7 * MS, FULL_COVERAGE);
    let after = send(&mut world, 80, 35 * MS, FULL_COVERAGE);
    world.run(1100 * MS);
    // The searches from two seconds after the burst on.
    for &call in &after[58..] {
        let took = took(&world, call);
        assert!(took < 100 * MS, "took {took:?}");
    }
}

fn unanswerable_query_ends_its_legs() {
    let mut world = World::new(3, 4, 2);
    set_profile(&mut world, 0, 10);
    for target in world.targets.rows.values_mut() {
        target.sheds = target.shard == 1;
        target.service = 400 * MS;
    }
    let call = world.search("vm-1", FULL_COVERAGE, "");
    world.run(1100 * MS);
    let answer = world.answer(call);
    assert!(matches!(answer.body, Body::Refused(_)));
    assert!(answer.took < 50 * MS, "took {:?}", answer.took);
    let running: usize = world.targets.rows.values().map(|target| target.running.len()).sum();
    assert_eq!(running, 0);
}

fn sheds_cause_no_storm() {
    let mut world = World::new(3, 4, 2);
    for target in world.targets.rows.values_mut() {
        target.sheds = true;
    }
    send(&mut world, 500, 5 * MS, FULL_COVERAGE);
    world.run(1100 * MS);
    let (first, all) = (total(&world, Count::FirstAttempts), total(&world, Count::Attempts));
    assert!(first >= 1000, "{first} first attempts");
    assert!(all * 10 <= first * 11, "{all} attempts for {first} first attempts");
}

fn profiles_share_by_priority() {
    let mut world = small_world();
    let mut other = world.document.profiles[&name(FULL_COVERAGE)].clone();
    other.priority = 30;
    world.document.profiles.insert(name("urgent"), other);
    world.publish();
    world.run(10 * MS);
    let mut plain = Vec::new();
    let mut urgent = Vec::new();
    for _ in 0..300 {
        plain.extend(send(&mut world, 1, 5 * MS, FULL_COVERAGE));
        urgent.extend(send(&mut world, 1, 5 * MS, "urgent"));
    }
    world.run(1100 * MS);
    let (plain, urgent) = (count_answered(&world, &plain), count_answered(&world, &urgent));
    assert!(urgent >= 2 * plain, "{urgent} urgent answers, {plain} others");
    assert!(plain >= 20, "{plain} others");
}

cases! {
    hedges_stay_within_the_part_of_first_attempts => hedges_keep_the_budget();
    a_leg_waits_for_a_fast_target_before_it_takes_a_slow_one => leg_waits_for_the_fast_target();
    a_slow_target_is_used_when_the_wait_is_longer => slow_target_is_used_when_the_queue_is_longer();
    a_target_that_recovered_is_used_again => recovered_target_is_used_again();
    a_new_target_gets_one_leg_at_a_time_at_first => new_target_gets_little_at_first();
    overload_is_refused_before_anything_runs => overload_is_refused_before_it_runs();
    latency_is_back_two_seconds_after_a_burst => latency_is_back_after_a_burst(1000 * MS);
    latency_is_back_also_with_a_long_deadline => latency_is_back_after_a_burst(3000 * MS);
    a_query_that_cannot_be_answered_ends_all_its_legs => unanswerable_query_ends_its_legs();
    targets_that_shed_cause_no_retry_storm => sheds_cause_no_storm();
    profiles_share_the_slots_by_priority => profiles_share_by_priority();
}
