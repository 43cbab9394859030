//! A request that crashed targets is held back on every VM.

use std::time::Duration;

use laburnum_core::{
    digest::Fingerprint,
    id::{Origin, Query},
    notice::Report,
};

use crate::fixture::{name, vm};
use crate::world::{Node, World};

const SHARED: Duration = Duration::from_secs(2);
const POISON: Fingerprint = Fingerprint(7);

fn settled(seed: u64) -> World {
    let mut world = World::new(19, seed);
    assert!(world.until(Duration::from_secs(3), World::settled).is_some());
    world.run(Duration::from_secs(3));
    world
}

fn lost(target: &str) -> Report {
    let query = Query { origin: Origin(1), sequence: 1 };
    Report::Suspect { fingerprint: POISON, query, target: name(target) }
}

fn held(world: &World) -> bool {
    world.all(|view| view.quarantine.contains_key(&POISON))
}

fn free(world: &World) -> bool {
    world.all(|view| view.quarantine.is_empty())
}

cases! {
    two_targets_lost_through_two_vms_hold_a_request_back_everywhere => {
        let mut world = settled(1);
        world.report(&vm(3), lost("r1"));
        world.run(SHARED);
        world.report(&vm(9), lost("r2"));
        assert!(world.until(SHARED, held).is_some());
    };
    two_targets_lost_at_the_same_time_hold_a_request_back_everywhere => {
        let mut world = settled(2);
        world.report(&vm(3), lost("r1"));
        world.report(&vm(9), lost("r2"));
        assert!(world.until(SHARED, held).is_some());
    };
    one_target_lost_twice_holds_nothing_back => {
        let mut world = settled(3);
        world.report(&vm(3), lost("r1"));
        world.run(SHARED);
        world.report(&vm(9), lost("r1"));
        world.run(SHARED);
        assert!(free(&world));
    };
    a_condemned_request_is_held_back_everywhere => {
        let mut world = settled(4);
        world.report(&vm(3), Report::Quarantined { fingerprint: POISON, origin: Origin(1) });
        assert!(world.until(SHARED, held).is_some());
    };
    a_request_is_let_go_when_its_time_is_up => {
        let mut world = settled(5);
        let limit = world.limits.condemned_fingerprint;
        world.report(&vm(3), Report::Quarantined { fingerprint: POISON, origin: Origin(1) });
        world.run(limit - Duration::from_secs(1));
        assert!(held(&world));
        assert!(world.until(Duration::from_secs(5), free).is_some());
        world.run(Duration::from_secs(30));
        assert!(free(&world));
    };
    a_first_loss_is_forgotten_when_its_time_is_up => {
        let mut world = settled(6);
        world.report(&vm(3), lost("r1"));
        world.run(world.limits.suspect_fingerprint + Duration::from_secs(5));
        world.report(&vm(9), lost("r2"));
        world.run(SHARED);
        assert!(free(&world));
    };
    the_table_keeps_within_its_limit => {
        let mut world = World::empty(7);
        world.limits.fingerprints = 4;
        (0..3).for_each(|number| world.start(&vm(number)));
        world.run(Duration::from_secs(3));
        for fingerprint in 0..20 {
            let report = Report::Quarantined { fingerprint: Fingerprint(fingerprint), origin: Origin(1) };
            world.report(&vm(0), report);
        }
        world.run(SHARED);
        assert!(world.all(|view| view.quarantine.len() == 4));
        for fingerprint in 100..120 {
            let query = Query { origin: Origin(1), sequence: 1 };
            let (fingerprint, target) = (Fingerprint(fingerprint), name("r1"));
            world.report(&vm(0), Report::Suspect { fingerprint, query, target });
        }
        world.run(SHARED);
        let suspects = |node: &Node| node.engine.tables().quarantine.suspects.len();
        assert!(world.nodes.values().all(|node| suspects(node) == 4));
    };
}
