//! Injects every fault at every step of an operation's claim.
//!
//! VM 0 receives the operation and another VM is the home of its bucket. The
//! fault begins at the step. The caller then sends the operation again through
//! every VM while the fault lasts, after it has ended and after the window has
//! passed.

use std::time::Duration;

use laburnum_core::{
    claim::{Key, Verdict},
    claims::{Limits, Message, layout},
    id::Query,
    store::Call,
};

use crate::{
    store::{Handling, Mode, is_write},
    world::{Action, Plan, World},
};

const VMS: usize = 4;
const OPERATION_TIMEOUT: Duration = Duration::from_millis(400);
/// How long claims are kept; short, so that a test can outlast it.
const WINDOW: Duration = Duration::from_secs(20);

/// A step of an operation's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    BeforeClaim,
    ClaimQueued,
    WriteInFlight,
    WriteTookEffect,
    VerdictInFlight,
    BeforeSend,
    AfterSend,
    OutcomeInFlight,
}

/// A fault that begins at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    StoreSilent,
    StoreRefusing,
    StoreSlow,
    AnswerLost,
    EffectLate,
    RequesterReplaced,
    HomeReplaced,
    RequesterPaused,
    HomePaused,
    /// The home and the other VMs do not see each other, so that both sides have
    /// a home for the bucket.
    TwoHomes,
    MessagesLost,
    MessagesDoubled,
    CutFromHome,
    CutToHome,
    CutBoth,
    RequesterClockBehind,
    HomeClockAhead,
    /// The clock of the VM that advances the floor is ahead.
    MoverClockAhead,
    RequesterPausedPastWindow,
    HomePausedPastWindow,
}

fn limits() -> Limits {
    let sweep_interval = Duration::from_secs(1);
    Limits { window: WINDOW, sweep_interval, ..Limits::default() }
}

fn is_bucket_write(action: &Action) -> bool {
    matches!(
        action,
        Action::Arrive { call: Call::Swap { key, .. }, .. } if key != layout::FLOOR_KEY
    )
}

/// Whether an action that meets the condition waits in the queue.
fn is_queued(world: &World, condition: impl Fn(&Action) -> bool) -> bool {
    world.queue.values().any(condition)
}

fn is_stored(world: &World) -> bool {
    world.store.values.keys().any(|key| key != layout::FLOOR_KEY)
}

/// Submits the operation and runs until the step. Before the claim nothing is
/// submitted.
fn run_to_step(world: &mut World, step: Step, key: Key) -> Option<Query> {
    let plan = Plan::Run { delay: 3_000, duration: 20_000 };
    if step == Step::BeforeClaim {
        return None;
    }
    let first = world.submit(0, key, OPERATION_TIMEOUT, plan);
    let end = world.now + 1_000_000;
    let reached = world.run_until(end, |world| match step {
        Step::BeforeClaim => true,
        Step::ClaimQueued => is_queued(world, |action| {
            matches!(action, Action::Deliver { message: Message::Claims(_), .. })
        }),
        Step::WriteInFlight => is_queued(world, is_bucket_write),
        Step::WriteTookEffect => is_stored(world),
        Step::VerdictInFlight => is_queued(world, |action| {
            matches!(action, Action::Deliver { message: Message::Answers(_), .. })
        }),
        Step::BeforeSend => world.operations[&first].verdict.is_some(),
        Step::AfterSend => world.oracle.ran(key),
        Step::OutcomeInFlight => world.oracle.ran(key) && is_queued(world, is_bucket_write),
    });
    assert!(reached, "{step:?} was not reached");
    Some(first)
}

/// Starts the fault.
fn inject(world: &mut World, fault: Fault, home: usize) {
    match fault {
        Fault::StoreSilent => world.store.mode = Mode::Silent,
        Fault::StoreRefusing => world.store.mode = Mode::Refusing,
        Fault::StoreSlow => world.store.mode = Mode::Slow(300_000),
        Fault::AnswerLost => set_write_handling(world, Handling::AnswerLost),
        Fault::EffectLate => set_write_handling(world, Handling::EffectLater(700_000)),
        Fault::RequesterReplaced => world.replace(0),
        Fault::HomeReplaced => world.replace(home),
        Fault::RequesterPaused | Fault::RequesterPausedPastWindow => world.pause(0),
        Fault::HomePaused | Fault::HomePausedPastWindow => world.pause(home),
        Fault::TwoHomes => (0..VMS).filter(|vm| *vm != home).for_each(|vm| world.split(vm, home)),
        Fault::MessagesLost => world.network.loss_percent = 60,
        Fault::MessagesDoubled => {
            world.network.duplicate_percent = 100;
            world.network.jitter_micros = 300_000;
        }
        Fault::CutFromHome => world.blocked_links.push((home, 0)),
        Fault::CutToHome => world.blocked_links.push((0, home)),
        Fault::CutBoth => world.blocked_links.extend([(home, 0), (0, home)]),
        Fault::RequesterClockBehind => world.machines[0].skew_secs = -3600,
        Fault::HomeClockAhead => world.machines[home].skew_secs = 3600,
        Fault::MoverClockAhead => {
            let first = world.first_ranked(layout::floor_seed());
            world.machines[first].skew_secs = 3600;
        }
    }
}

/// Sets how the store handles the writes in flight and the next write.
fn set_write_handling(world: &mut World, handling: Handling) {
    for action in world.queue.values_mut() {
        if let Action::Arrive { call, handling: planned, .. } = action
            && is_write(call)
        {
            *planned = handling;
        }
    }
    world.store.next_writes.push_back(handling);
}

/// Sends the operation again through every VM and returns the verdicts.
fn resend(world: &mut World, key: Key) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for vm in 0..VMS {
        let plan = Plan::Run { delay: 100, duration: 5_000 };
        let operation = world.submit(vm, key, OPERATION_TIMEOUT, plan);
        world.run(Duration::from_millis(600));
        verdicts.extend(world.operations[&operation].verdict.clone());
    }
    verdicts
}

/// Injects the fault at the step, checks the verdicts of all resends and checks
/// that a new key is granted at the end.
fn check(fault: Fault, step: Step) {
    let mut world = World::new(VMS, limits(), 5);
    world.run(Duration::from_secs(4));
    let (key, home) = world.remote_key();
    let first = run_to_step(&mut world, step, key);
    inject(&mut world, fault, home);
    if first.is_none() {
        world.submit(0, key, OPERATION_TIMEOUT, Plan::Run { delay: 3_000, duration: 20_000 });
    }
    resend(&mut world, key);
    if exceeds_window(fault) {
        world.run(WINDOW + Duration::from_secs(5));
    }
    world.heal();
    world.run(Duration::from_secs(4));
    world.assert_answered();
    if !exceeds_window(fault) {
        check_within_window(&mut world, fault, key);
        world.run(WINDOW + Duration::from_secs(5));
    }
    check_beyond_window(&mut world, key);
}

/// Whether the fault lasts for longer than claims are kept.
fn exceeds_window(fault: Fault) -> bool {
    matches!(fault, Fault::RequesterPausedPastWindow | Fault::HomePausedPastWindow)
}

fn check_within_window(world: &mut World, fault: Fault, key: Key) {
    let verdicts = resend(world, key);
    assert_eq!(verdicts.len(), VMS, "not every resend was answered");
    let settled = |verdict: &Verdict| !matches!(verdict, Verdict::Unsettled { .. });
    assert!(verdicts.iter().all(settled), "{verdicts:?}");
    let outcome_known = fault != Fault::RequesterReplaced;
    if world.oracle.ran(key) && outcome_known {
        let last = verdicts.last().unwrap();
        assert!(matches!(last, Verdict::Recorded { .. }), "{verdicts:?}");
    }
}

fn check_beyond_window(world: &mut World, key: Key) {
    let verdicts = resend(world, key);
    assert_eq!(verdicts.len(), VMS, "not every resend was answered");
    // A home that still has the result cached may return it; nothing is granted.
    let refused = |v: &Verdict| matches!(v, Verdict::Expired | Verdict::Recorded { .. });
    assert!(verdicts.iter().all(refused), "{verdicts:?}");
    let fresh = world.key();
    let verdicts = resend(world, fresh);
    assert_eq!(verdicts[0], Verdict::Granted, "a new key is not granted after the fault");
}

macro_rules! faults {
    ($($module:ident $fault:ident;)*) => {
        $(mod $module {
            use super::{Fault, Step, check};

            cases! {
                before_claim => check(Fault::$fault, Step::BeforeClaim);
                claim_queued => check(Fault::$fault, Step::ClaimQueued);
                write_in_flight => check(Fault::$fault, Step::WriteInFlight);
                write_took_effect => check(Fault::$fault, Step::WriteTookEffect);
                verdict_in_flight => check(Fault::$fault, Step::VerdictInFlight);
                before_send => check(Fault::$fault, Step::BeforeSend);
                after_send => check(Fault::$fault, Step::AfterSend);
                outcome_in_flight => check(Fault::$fault, Step::OutcomeInFlight);
            }
        })*
    };
}

faults! {
    store_silent StoreSilent;
    store_refusing StoreRefusing;
    store_slow StoreSlow;
    answer_lost AnswerLost;
    effect_late EffectLate;
    requester_replaced RequesterReplaced;
    home_replaced HomeReplaced;
    requester_paused RequesterPaused;
    home_paused HomePaused;
    two_homes TwoHomes;
    messages_lost MessagesLost;
    messages_doubled MessagesDoubled;
    cut_from_home CutFromHome;
    cut_to_home CutToHome;
    cut_both CutBoth;
    requester_clock_behind RequesterClockBehind;
    home_clock_ahead HomeClockAhead;
    mover_clock_ahead MoverClockAhead;
    requester_paused_past_window RequesterPausedPastWindow;
    home_paused_past_window HomePausedPastWindow;
}
