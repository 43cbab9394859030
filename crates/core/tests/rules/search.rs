//! Searches: all rows come from one snapshot version, the reported coverage is
//! true, and an answer belongs to its request and is whole in what it covers.

use std::time::Duration;

use laburnum_core::{
    count::{Count, Drop},
    fault::{Kind, Ran},
    notice::Report,
    target::Version,
    traffic::Body,
    view::State,
};

use crate::world::{
    ANY_COVERAGE, CANARY, FULL_COVERAGE, World, name,
    targets::{Fault, Target},
};

const MS: Duration = Duration::from_millis(1);

fn refusal(world: &World, call: laburnum_core::traffic::Call) -> (Kind, Ran) {
    match &world.answer(call).body {
        Body::Refused(fault) => (fault.kind, fault.ran),
        other => panic!("not refused: {other:?}"),
    }
}

fn complete_through_each_vm() {
    let mut world = World::new(3, 6, 2);
    for vm in ["vm-1", "vm-2", "vm-3"] {
        let found = world.find(vm, FULL_COVERAGE, "");
        world.check(&found);
        assert!(found.missing.is_empty());
        assert_eq!(found.attempts, 6);
    }
}

/// Every reply of one replica has the fault; the answer is still complete.
fn bad_replies_are_dropped(fault: Fault, reason: Drop) {
    let mut world = World::new(3, 4, 2);
    world.targets.get(1, 0).fault = Some(fault);
    for _ in 0..4 {
        let found = world.find("vm-1", FULL_COVERAGE, "");
        world.check(&found);
        assert!(found.missing.is_empty());
    }
    let dropped: u64 = world.vms.values().map(|vm| vm.counts.get(Count::Dropped(reason))).sum();
    assert!(dropped > 0, "no reply was dropped as {reason:?}");
}

/// Every reply of a shard has the fault; the answer leaves the shard out.
fn bad_shards_are_missing(fault: Fault) {
    let mut world = World::new(3, 4, 2);
    world.targets.get(1, 0).fault = Some(fault);
    world.targets.get(1, 1).fault = Some(fault);
    let found = world.find("vm-1", ANY_COVERAGE, "");
    world.check(&found);
    assert_eq!(found.coverage, 750_000);
}

fn lost_shard_is_named() {
    let mut world = World::new(3, 4, 2);
    world.crash_target(2, 0);
    world.crash_target(2, 1);
    world.run(2000 * MS);
    let found = world.find("vm-1", ANY_COVERAGE, "");
    world.check(&found);
    assert_eq!(found.coverage, 750_000);
    let call = world.search("vm-2", FULL_COVERAGE, "");
    world.run(1100 * MS);
    assert_eq!(refusal(&world, call), (Kind::CoverageTooLow, Ran::No));
}

fn unlisted_shard_is_missing() {
    let mut world = World::new(3, 4, 2);
    for replica in 0..2 {
        world.targets.get(3, replica).listed = None;
    }
    world.publish();
    world.run(10 * MS);
    let found = world.find("vm-1", ANY_COVERAGE, "");
    world.check(&found);
    assert_eq!(found.coverage, 750_000);
}

fn replica_lost_during_the_query() {
    let mut world = World::new(3, 4, 2);
    let call = world.search("vm-1", FULL_COVERAGE, "");
    world.run(2 * MS);
    world.crash_target(0, 0);
    world.run(1100 * MS);
    let found = world.found(call).clone();
    world.check(&found);
    assert!(found.missing.is_empty());
}

fn newer_version_is_read_once_it_is_everywhere() {
    let mut world = World::new(3, 4, 2);
    for shard in 0..4 {
        for replica in 0..2 {
            let target = world.targets.get(shard, replica);
            let range = target.status.holds[&Version(1)];
            target.status.holds.insert(Version(2), range);
        }
        world.run(1000 * MS);
        let found = world.find("vm-1", FULL_COVERAGE, "");
        world.check(&found);
        let expected = if shard == 3 { 2 } else { 1 };
        assert_eq!(found.version, Version(expected));
    }
}

fn version_removed_during_the_query() {
    let mut world = World::new(3, 4, 2);
    for shard in 0..4 {
        for replica in 0..2 {
            let target = world.targets.get(shard, replica);
            let range = target.status.holds[&Version(1)];
            target.status.holds = [(Version(2), range)].into();
        }
    }
    let call = world.search("vm-1", FULL_COVERAGE, "");
    world.run(1100 * MS);
    let found = world.found(call).clone();
    world.check(&found);
    assert_eq!(found.version, Version(2));
    assert!(found.missing.is_empty());
}

fn repartition_during_the_query() {
    let mut world = World::new(3, 4, 2);
    let slow = world.targets.get(0, 0);
    slow.service = 100 * MS;
    let call = world.search("vm-1", FULL_COVERAGE, "");
    // Shards two and three swap their ranges at the same version.
    for replica in 0..2 {
        let two = world.targets.get(2, replica).status.holds.clone();
        let three = std::mem::replace(&mut world.targets.get(3, replica).status.holds, two);
        world.targets.get(2, replica).status.holds = three;
    }
    world.run(1100 * MS);
    let found = world.found(call).clone();
    world.check(&found);
    assert!(found.missing.is_empty());
}

fn silent_connection_is_replaced() {
    let mut world = World::new(3, 4, 2);
    for replica in 0..2 {
        world.targets.get(1, replica).go_silent();
    }
    let found = world.find("vm-1", FULL_COVERAGE, "");
    world.check(&found);
    assert!(found.missing.is_empty());
}

fn home_killed_during_the_query() {
    let mut world = World::new(3, 4, 2);
    let home = world.home_of(1);
    let entry = world.other_than_home_of(1);
    let call = world.search(entry.as_str(), FULL_COVERAGE, "");
    world.run(Duration::from_micros(600));
    world.kill_vm(home.as_str());
    world.run(1100 * MS);
    let found = world.found(call).clone();
    world.check(&found);
    assert!(found.missing.is_empty());
}

fn home_paused_during_the_query() {
    let mut world = World::new(3, 4, 2);
    let home = world.home_of(1);
    let entry = world.other_than_home_of(1);
    let call = world.search(entry.as_str(), FULL_COVERAGE, "");
    world.pause_vm(home.as_str(), 10_000 * MS);
    world.run(1100 * MS);
    let found = world.found(call).clone();
    world.check(&found);
    assert!(found.missing.is_empty());
    world.run(11_000 * MS);
    let found = world.find(home.as_str(), FULL_COVERAGE, "");
    world.check(&found);
}

fn home_cut_off(to_home: bool, from_home: bool) {
    let mut world = World::new(3, 4, 2);
    let home = world.home_of(1);
    let entry = world.other_than_home_of(1);
    if to_home {
        world.network.cut(&entry, &home);
    }
    if from_home {
        world.network.cut(&home, &entry);
    }
    let found = world.find(entry.as_str(), FULL_COVERAGE, "");
    world.check(&found);
    assert!(found.missing.is_empty());
    world.network.heal();
    let found = world.find(entry.as_str(), FULL_COVERAGE, "");
    assert!(found.missing.is_empty());
}

fn home_reported_lost() {
    let mut world = World::new(3, 4, 2);
    let home = world.home_of(1);
    let entry = world.other_than_home_of(1);
    let call = world.search(entry.as_str(), FULL_COVERAGE, "");
    world.run(Duration::from_micros(600));
    world.kill_vm(home.as_str());
    world.report_lost_lane(&home);
    world.run(60 * MS);
    let found = world.found(call).clone();
    world.check(&found);
    world.unlist_vm(home.as_str());
    let found = world.find(entry.as_str(), FULL_COVERAGE, "");
    assert!(found.missing.is_empty());
    world.start_vm(home.as_str());
    world.run(500 * MS);
    let found = world.find(home.as_str(), FULL_COVERAGE, "");
    world.check(&found);
    assert!(found.missing.is_empty());
}

fn leaving_home_finishes_what_it_has() {
    let mut world = World::new(3, 4, 2);
    let home = world.home_of(1);
    let entry = world.other_than_home_of(1);
    for replica in 0..2 {
        world.targets.get(1, replica).service = 100 * MS;
    }
    let call = world.search(entry.as_str(), FULL_COVERAGE, "");
    world.run(20 * MS);
    world.leave_vm(home.as_str());
    world.run(200 * MS);
    let found = world.found(call).clone();
    assert!(found.missing.is_empty());
    let in_flight = world.reports.iter().rev().find_map(|report| match report {
        Report::InFlight { count } => Some(*count),
        _ => None,
    });
    assert_eq!(in_flight, Some(0));
    assert_ne!(world.home_of(1), home);
    let found = world.find(home.as_str(), FULL_COVERAGE, "");
    assert!(found.missing.is_empty());
}

fn restarted_target_takes_work_again() {
    let mut world = World::new(3, 2, 1);
    world.targets.get(1, 0).status.draining = true;
    world.run(1000 * MS);
    world.crash_target(1, 0);
    world.targets.get(1, 0).restart();
    world.run(2000 * MS);
    let found = world.find("vm-1", FULL_COVERAGE, "");
    assert!(found.missing.is_empty());
    let target = name("target-1-0");
    let serving = |incarnation| Report::Serving { target: target.clone(), incarnation };
    let reported = |report: &Report| world.reports.iter().filter(|own| *own == report).count();
    assert_eq!(reported(&serving(1)), 1);
    assert_eq!(reported(&serving(2)), 1, "other VMs must learn that the drain has ended");
}

fn drained_target_gets_no_work() {
    let mut world = World::new(3, 4, 2);
    world.targets.get(1, 0).status.draining = true;
    world.run(2000 * MS);
    let before = world.targets.get(1, 0).attempts;
    for _ in 0..3 {
        let found = world.find("vm-1", FULL_COVERAGE, "");
        assert!(found.missing.is_empty());
    }
    assert_eq!(world.targets.get(1, 0).attempts, before);
}

fn listed_as_leaving_gets_no_work() {
    let mut world = World::new(3, 4, 2);
    world.targets.get(1, 0).listed = Some(State::Leaving);
    world.publish();
    world.run(MS);
    let before = world.targets.get(1, 0).attempts;
    let found = world.find("vm-1", FULL_COVERAGE, "");
    assert!(found.missing.is_empty());
    assert_eq!(world.targets.get(1, 0).attempts, before);
}

fn poison_stops_after_two_targets() {
    let mut world = World::new(3, 2, 4);
    for replica in 0..4 {
        world.targets.get(1, replica).poison = Some("poison".into());
    }
    for vm in ["vm-1", "vm-2", "vm-3", "vm-1"] {
        let call = world.search(vm, ANY_COVERAGE, "poison");
        world.run(1100 * MS);
        assert_eq!(refusal(&world, call).0, Kind::Quarantined);
    }
    let crashed = (0..4).filter(|&replica| !world.targets.get(1, replica).alive).count();
    assert_eq!(crashed, 2);
    let found = world.find("vm-2", FULL_COVERAGE, "other");
    world.check(&found);
    assert!(found.missing.is_empty());
}

/// A search that crashes the targets of all shards, sent through every VM.
fn poison_everywhere() {
    let mut world = World::new(3, 6, 2);
    for target in world.targets.rows.values_mut() {
        target.poison = Some("poison".into());
    }
    for vm in ["vm-1", "vm-2", "vm-3", "vm-1"] {
        let call = world.search(vm, CANARY, "poison");
        world.run(1100 * MS);
        assert_eq!(refusal(&world, call).0, Kind::Quarantined);
        // The control threads would publish the quarantine.
        let quarantined = world.reports.iter().filter_map(|report| match report {
            Report::Quarantined { fingerprint, .. } => Some(*fingerprint),
            _ => None,
        });
        world.quarantine = quarantined.collect();
        world.publish();
    }
    let crashed = world.targets.rows.values().filter(|target| !target.alive).count();
    assert_eq!(crashed, 2);
    let found = world.find("vm-2", FULL_COVERAGE, "other");
    assert!(found.missing.is_empty(), "a shard lost both replicas");
}

/// A rack failure takes one target of each of several shards while a search
/// runs.
fn rack_failure() {
    let mut world = World::new(1, 6, 2);
    for target in world.targets.rows.values_mut() {
        target.service = 50 * MS;
    }
    let call = world.search("vm-1", FULL_COVERAGE, "");
    world.run(20 * MS);
    let busy = |target: &&mut Target| !target.running.is_empty();
    let running: Vec<u64> =
        world.targets.rows.values_mut().filter(busy).map(|target| target.shard).collect();
    assert_eq!(running.len(), 6);
    for shard in 0..3 {
        let replica = u64::from(world.targets.get(shard, 0).running.is_empty());
        world.crash_target(shard, replica);
    }
    world.run(1100 * MS);
    let found = world.found(call).clone();
    world.check(&found);
    assert!(found.missing.is_empty());
    assert!(!world.reports.iter().any(|report| matches!(report, Report::Quarantined { .. })));
}

fn answered_search_is_not_tried_again() {
    let mut world = World::new(3, 6, 2);
    let mut times = Vec::new();
    for _ in 0..2 {
        let call = world.search("vm-1", CANARY, "again");
        world.run(1100 * MS);
        assert_eq!(world.found(call).attempts, 6);
        times.push(world.answer(call).took);
    }
    assert!(times[1] < times[0], "{times:?}");
}

fn unknown_profile_is_refused() {
    let mut world = World::new(1, 1, 1);
    let call = world.search("vm-1", "none", "");
    world.run(MS);
    assert_eq!(refusal(&world, call), (Kind::UnknownProfile, Ran::No));
}

fn homes_share_the_connections() {
    let mut world = World::new(19, 4, 2);
    for vm in 1..=19 {
        world.search(&format!("vm-{vm}"), FULL_COVERAGE, "");
    }
    world.run(1100 * MS);
    for target in world.targets.rows.values() {
        assert!(target.peak_connections <= 2, "{} connections", target.peak_connections);
        assert!(target.peak_running <= 2, "{} attempts at a time", target.peak_running);
    }
    assert_eq!(world.answers.len(), 19);
}

cases! {
    a_search_through_each_vm_is_complete => complete_through_each_vm();
    a_cut_reply_is_dropped => bad_replies_are_dropped(Fault::Cut, Drop::Cut);
    a_doubled_row_is_dropped => bad_replies_are_dropped(Fault::Doubled, Drop::Doubled);
    a_crossed_reply_is_dropped => bad_replies_are_dropped(Fault::Crossed, Drop::Crossed);
    another_version_is_dropped => bad_replies_are_dropped(Fault::WrongVersion, Drop::WrongVersion);
    a_row_outside_is_dropped => bad_replies_are_dropped(Fault::Outside, Drop::OutsideRange);
    a_shard_of_cut_replies_is_missing => bad_shards_are_missing(Fault::Cut);
    a_shard_of_doubled_rows_is_missing => bad_shards_are_missing(Fault::Doubled);
    a_shard_of_crossed_replies_is_missing => bad_shards_are_missing(Fault::Crossed);
    a_shard_of_another_version_is_missing => bad_shards_are_missing(Fault::WrongVersion);
    a_lost_shard_is_named => lost_shard_is_named();
    a_shard_that_no_list_names_is_missing => unlisted_shard_is_missing();
    a_replica_lost_during_the_query_is_replaced => replica_lost_during_the_query();
    a_newer_version_is_read_once_it_is_everywhere => newer_version_is_read_once_it_is_everywhere();
    a_version_that_goes_restarts_the_query => version_removed_during_the_query();
    a_repartition_is_planned_again => repartition_during_the_query();
    a_silent_connection_is_replaced => silent_connection_is_replaced();
    a_killed_home_is_replaced => home_killed_during_the_query();
    a_paused_home_is_replaced => home_paused_during_the_query();
    a_home_that_receives_nothing_is_replaced => home_cut_off(true, false);
    a_home_whose_messages_are_lost_is_replaced => home_cut_off(false, true);
    a_home_that_is_cut_off_is_replaced => home_cut_off(true, true);
    a_home_that_is_reported_lost_is_replaced_at_once => home_reported_lost();
    a_leaving_home_finishes_what_it_has => leaving_home_finishes_what_it_has();
    a_target_that_drained_and_restarted_takes_work => restarted_target_takes_work_again();
    a_target_that_says_it_drains_gets_no_work => drained_target_gets_no_work();
    a_target_listed_as_leaving_gets_no_work => listed_as_leaving_gets_no_work();
    a_poison_request_stops_after_two_targets => poison_stops_after_two_targets();
    a_search_that_crashes_every_target_stops_after_two => poison_everywhere();
    a_rack_failure_quarantines_no_search => rack_failure();
    a_search_that_was_answered_is_not_tried_again => answered_search_is_not_tried_again();
    an_unknown_profile_is_refused => unknown_profile_is_refused();
    nineteen_vms_share_the_connections => homes_share_the_connections();
}
