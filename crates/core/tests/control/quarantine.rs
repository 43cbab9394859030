//! A request that crashed targets is quarantined on every VM.

use std::time::Duration;

use laburnum_core::{
    digest::Fingerprint,
    id::{Origin, Query},
    notice::Report,
};

use crate::fixture::{name, vm};
use crate::world::{Node, World};

/// The time within which all VMs learn of a lost target or a quarantine.
const SHARE_LIMIT: Duration = Duration::from_secs(2);
const CRASHING: Fingerprint = Fingerprint(7);

fn settled(seed: u64) -> World {
    let mut world = World::new(19, seed);
    assert!(world.run_until(Duration::from_secs(3), World::settled).is_some());
    world.run_for(Duration::from_secs(3));
    world
}

fn target_lost(target: &str) -> Report {
    let query = Query { origin: Origin(1), sequence: 1 };
    Report::Suspect { fingerprint: CRASHING, query, target: name(target) }
}

fn is_quarantined(world: &World) -> bool {
    world.all(|view| view.quarantine.contains_key(&CRASHING))
}

fn is_empty(world: &World) -> bool {
    world.all(|view| view.quarantine.is_empty())
}

cases! {
    two_targets_lost_through_two_vms_quarantine_a_request_everywhere => {
        let mut world = settled(1);
        world.report(&vm(3), target_lost("r1"));
        world.run_for(SHARE_LIMIT);
        world.report(&vm(9), target_lost("r2"));
        assert!(world.run_until(SHARE_LIMIT, is_quarantined).is_some());
    };
    two_targets_lost_at_the_same_time_quarantine_a_request_everywhere => {
        let mut world = settled(2);
        world.report(&vm(3), target_lost("r1"));
        world.report(&vm(9), target_lost("r2"));
        assert!(world.run_until(SHARE_LIMIT, is_quarantined).is_some());
    };
    one_target_lost_twice_quarantines_nothing => {
        let mut world = settled(3);
        world.report(&vm(3), target_lost("r1"));
        world.run_for(SHARE_LIMIT);
        world.report(&vm(9), target_lost("r1"));
        world.run_for(SHARE_LIMIT);
        assert!(is_empty(&world));
    };
    a_reported_quarantine_is_in_force_everywhere => {
        let mut world = settled(4);
        world.report(&vm(3), Report::Quarantined { fingerprint: CRASHING, origin: Origin(1) });
        assert!(world.run_until(SHARE_LIMIT, is_quarantined).is_some());
    };
    a_quarantine_ends_when_its_duration_is_over => {
        let mut world = settled(5);
        let limit = world.limits.quarantine_duration;
        world.report(&vm(3), Report::Quarantined { fingerprint: CRASHING, origin: Origin(1) });
        world.run_for(limit - Duration::from_secs(1));
        assert!(is_quarantined(&world));
        assert!(world.run_until(Duration::from_secs(5), is_empty).is_some());
        world.run_for(Duration::from_secs(30));
        assert!(is_empty(&world));
    };
    a_first_loss_is_dropped_when_its_duration_is_over => {
        let mut world = settled(6);
        world.report(&vm(3), target_lost("r1"));
        world.run_for(world.limits.suspect_duration + Duration::from_secs(5));
        world.report(&vm(9), target_lost("r2"));
        world.run_for(SHARE_LIMIT);
        assert!(is_empty(&world));
    };
    the_table_keeps_within_its_limit => {
        let mut world = World::empty(7);
        world.limits.max_fingerprints = 4;
        (0..3).for_each(|number| world.start(&vm(number)));
        world.run_for(Duration::from_secs(3));
        for fingerprint in 0..20 {
            let report = Report::Quarantined { fingerprint: Fingerprint(fingerprint), origin: Origin(1) };
            world.report(&vm(0), report);
        }
        world.run_for(SHARE_LIMIT);
        assert!(world.all(|view| view.quarantine.len() == 4));
        for fingerprint in 100..120 {
            let query = Query { origin: Origin(1), sequence: 1 };
            let (fingerprint, target) = (Fingerprint(fingerprint), name("r1"));
            world.report(&vm(0), Report::Suspect { fingerprint, query, target });
        }
        world.run_for(SHARE_LIMIT);
        let suspects = |node: &Node| node.engine.tables().quarantine.suspects.len();
        assert!(world.nodes.values().all(|node| suspects(node) == 4));
    };
}
