//! Claims through the control engine: the verdict is returned to the thread
//! that asked, and a resend through another VM does not get the right to run
//! again.

use std::time::Duration;

use laburnum_core::{
    claim::{Key, Request, Verdict},
    claims::layout::Layout,
    digest::Fingerprint,
    id::{Origin, Query},
    name::Name,
    notice::Report,
    store::Era,
};
use uuid::Uuid;

use crate::{
    fixture::vm,
    platform::Mode,
    world::{EPOCH_MS, World},
};

/// The era of a service that has come back several times, before it counts anew.
const HIGH_ERA: Era = Era(9);
/// The era with which the service counts anew.
const LOW_ERA: Era = Era(1);

/// How long a VM must have been home to know all claims that a copy can lack.
const TENURE: Duration = Duration::from_secs(140);

fn settled(seed: u64) -> World {
    let mut world = World::new(5, seed);
    assert!(world.run_until(Duration::from_secs(3), World::settled).is_some());
    world.run_for(Duration::from_secs(3));
    world
}

/// VMs that know a high era, whose loss the service has recorded.
fn settled_in_high_era(seed: u64) -> World {
    let mut world = settled(seed);
    let copy = world.platform.copy();
    world.platform.restore_in(copy, HIGH_ERA);
    world.run_for(TENURE);
    world
}

fn query(origin: u64) -> Query {
    Query { origin: Origin(origin), sequence: 1 }
}

/// The idempotency key of the requests, issued now.
fn key(world: &World) -> Key {
    let millis = EPOCH_MS + world.now.0 / 1000;
    Key(uuid::Builder::from_unix_timestamp_millis(millis, &[7; 10]).into_uuid())
}

fn claim(world: &mut World, at: &Name, origin: u64, key: Key) -> Option<Verdict> {
    let request =
        Request { key, fingerprint: Fingerprint(9), token: Uuid::from_u128(u128::from(origin)) };
    let deadline = world.now + Duration::from_secs(2);
    world.report(at, Report::Claim { operation: query(origin), request, deadline });
    let done = |world: &World| world.verdicts.contains_key(&query(origin));
    world.run_until(Duration::from_secs(5), done);
    world.verdicts.get(&query(origin)).cloned()
}

cases! {
    a_claim_is_granted_through_any_vm => {
        for at in 0..5 {
            let mut world = settled(1);
            let key = key(&world);
            assert_eq!(claim(&mut world, &vm(at), 1, key), Some(Verdict::Granted));
        }
    };
    a_resend_through_another_vm_gets_no_second_grant => {
        let mut world = settled(2);
        let key = key(&world);
        assert_eq!(claim(&mut world, &vm(0), 1, key), Some(Verdict::Granted));
        assert_eq!(claim(&mut world, &vm(3), 2, key), Some(Verdict::Unknown));
    };
    a_claim_that_the_service_lost_is_written_again_without_a_claim => {
        let mut world = settled(4);
        let key = key(&world);
        let copy = world.platform.copy();
        assert_eq!(claim(&mut world, &vm(0), 1, key), Some(Verdict::Granted));
        let bucket = Layout::V1.bucket(&key).unwrap().key();
        assert!(world.platform.values.contains_key(&bucket));
        world.platform.restore(copy);
        world.run_for(Duration::from_secs(6));
        assert!(world.platform.values.contains_key(&bucket));
    };
    a_resend_of_a_claim_that_the_service_lost_gets_no_second_grant => {
        let mut world = settled(5);
        let key = key(&world);
        let copy = world.platform.copy();
        assert_eq!(claim(&mut world, &vm(0), 1, key), Some(Verdict::Granted));
        world.platform.restore(copy);
        assert_eq!(claim(&mut world, &vm(3), 2, key), Some(Verdict::Unknown));
    };
    a_claim_is_granted_by_a_service_that_counts_its_eras_anew => {
        let mut world = settled_in_high_era(6);
        let copy = world.platform.copy();
        world.platform.restore_in(copy, LOW_ERA);
        for at in 0..5 {
            let key = key(&world);
            assert_eq!(claim(&mut world, &vm(at), 1 + at as u64, key), Some(Verdict::Granted));
        }
    };
    a_resend_of_a_claim_that_was_lost_as_eras_are_counted_anew_gets_no_second_grant => {
        let mut world = settled_in_high_era(7);
        let key = key(&world);
        let copy = world.platform.copy();
        assert_eq!(claim(&mut world, &vm(0), 1, key), Some(Verdict::Granted));
        world.platform.restore_in(copy, LOW_ERA);
        assert_eq!(claim(&mut world, &vm(3), 2, key), Some(Verdict::Unknown));
    };
    a_late_reply_of_the_ended_era_gets_no_second_grant => {
        for era in [Era(HIGH_ERA.0 + 1), LOW_ERA] {
            let mut world = settled_in_high_era(8);
            let key = key(&world);
            let copy = world.platform.copy();
            assert_eq!(claim(&mut world, &vm(0), 1, key), Some(Verdict::Granted));
            // The replies to the calls of this resend come after the loss.
            world.platform.delay = Duration::from_millis(300);
            let request = Request { key, fingerprint: Fingerprint(9), token: Uuid::from_u128(2) };
            let deadline = world.now + Duration::from_secs(2);
            let operation = query(2);
            world.report(&vm(2), Report::Claim { operation, request, deadline });
            world.run_for(Duration::from_millis(100));
            world.platform.delay = Duration::from_millis(2);
            world.platform.restore_in(copy, era);
            assert_eq!(claim(&mut world, &vm(3), 3, key), Some(Verdict::Unknown));
            world.run_for(Duration::from_secs(3));
            let verdict = world.verdicts.get(&operation);
            assert_ne!(verdict, Some(&Verdict::Granted), "{era:?}");
        }
    };
    a_claim_while_the_platform_is_down_gets_no_grant => {
        let mut world = settled(3);
        let key = key(&world);
        world.platform.mode = Mode::Down;
        let verdict = claim(&mut world, &vm(0), 1, key);
        assert!(matches!(verdict, Some(Verdict::Unsettled { .. })), "{verdict:?}");
    };
}
