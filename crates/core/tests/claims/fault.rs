//! Every fault at every step of an operation's claim.
//!
//! VM 0 takes the operation, another VM is the home of its bucket. At the step
//! the fault begins; the caller then sends again through other VMs while the
//! fault lasts, after it, and beyond the window.

use std::time::Duration;

use laburnum_core::{
    claim::{Key, Verdict},
    claims::{Limits, Message, layout},
    id::Query,
    store::Call,
};

use crate::{
    store::{Fate, Mode, is_write},
    world::{Item, Plan, World},
};

const VMS: usize = 4;
const REMAINING: Duration = Duration::from_millis(400);
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
    TwoHomes,
    MessagesLost,
    MessagesDoubled,
    CutFromHome,
    CutToHome,
    CutBoth,
    RequesterClockBehind,
    HomeClockAhead,
    MoverClockAhead,
    RequesterPausedPastWindow,
    HomePausedPastWindow,
}

fn limits() -> Limits {
    let sweep_interval = Duration::from_secs(1);
    Limits { window: WINDOW, sweep_interval, ..Limits::default() }
}

fn is_bucket_write(item: &Item) -> bool {
    matches!(item, Item::Arrive { call: Call::Swap { key, .. }, .. } if key != layout::FLOOR_KEY)
}

fn waits(world: &World, found: impl Fn(&Item) -> bool) -> bool {
    world.queue.values().any(found)
}

fn is_stored(world: &World) -> bool {
    world.store.values.keys().any(|key| key != layout::FLOOR_KEY)
}

/// Starts the operation and runs until the step.
fn reach(world: &mut World, step: Step, key: Key) -> Option<Query> {
    let plan = Plan::Run { before: 3_000, run: 20_000 };
    if step == Step::BeforeClaim {
        return None;
    }
    let first = world.operate(0, key, REMAINING, plan);
    let end = world.now + 1_000_000;
    let reached = world.run_until(end, |world| match step {
        Step::BeforeClaim => true,
        Step::ClaimQueued => {
            waits(world, |item| matches!(item, Item::Deliver { message: Message::Claims(_), .. }))
        }
        Step::WriteInFlight => waits(world, is_bucket_write),
        Step::WriteTookEffect => is_stored(world),
        Step::VerdictInFlight => {
            waits(world, |item| matches!(item, Item::Deliver { message: Message::Answers(_), .. }))
        }
        Step::BeforeSend => world.operations[&first].verdict.is_some(),
        Step::AfterSend => world.oracle.ran(key),
        Step::OutcomeInFlight => world.oracle.ran(key) && waits(world, is_bucket_write),
    });
    assert!(reached, "{step:?} was not reached");
    Some(first)
}

fn begin(world: &mut World, fault: Fault, home: usize) {
    match fault {
        Fault::StoreSilent => world.store.mode = Mode::Silent,
        Fault::StoreRefusing => world.store.mode = Mode::Refusing,
        Fault::StoreSlow => world.store.mode = Mode::Slow(300_000),
        Fault::AnswerLost => lose(world, Fate::AnswerLost),
        Fault::EffectLate => lose(world, Fate::EffectLater(700_000)),
        Fault::RequesterReplaced => world.replace(0),
        Fault::HomeReplaced => world.replace(home),
        Fault::RequesterPaused | Fault::RequesterPausedPastWindow => world.pause(0),
        Fault::HomePaused | Fault::HomePausedPastWindow => world.pause(home),
        Fault::TwoHomes => (0..VMS).filter(|vm| *vm != home).for_each(|vm| world.split(vm, home)),
        Fault::MessagesLost => world.network.loss = 60,
        Fault::MessagesDoubled => {
            world.network.double = 100;
            world.network.jitter = 300_000;
        }
        Fault::CutFromHome => world.cut.push((home, 0)),
        Fault::CutToHome => world.cut.push((0, home)),
        Fault::CutBoth => world.cut.extend([(home, 0), (0, home)]),
        Fault::RequesterClockBehind => world.machines[0].skew = -3600,
        Fault::HomeClockAhead => world.machines[home].skew = 3600,
        Fault::MoverClockAhead => {
            let mover = world.first(layout::floor_seed());
            world.machines[mover].skew = 3600;
        }
    }
}

/// Gives this fate to the write in flight, if there is one, and to the next.
fn lose(world: &mut World, fate: Fate) {
    for item in world.queue.values_mut() {
        if let Item::Arrive { call, fate: found, .. } = item
            && is_write(call)
        {
            *found = fate;
        }
    }
    world.store.next_writes.push_back(fate);
}

/// Sends the key again through every VM and returns the verdicts.
fn resend(world: &mut World, key: Key) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for vm in 0..VMS {
        let plan = Plan::Run { before: 100, run: 5_000 };
        let operation = world.operate(vm, key, REMAINING, plan);
        world.run(Duration::from_millis(600));
        verdicts.extend(world.operations[&operation].verdict.clone());
    }
    verdicts
}

fn run(fault: Fault, step: Step) {
    let mut world = World::new(VMS, limits(), 5);
    world.run(Duration::from_secs(4));
    let (key, home) = world.remote_key();
    let first = reach(&mut world, step, key);
    begin(&mut world, fault, home);
    if first.is_none() {
        world.operate(0, key, REMAINING, Plan::Run { before: 3_000, run: 20_000 });
    }
    resend(&mut world, key);
    if outlasts(fault) {
        world.run(WINDOW + Duration::from_secs(5));
    }
    world.heal();
    world.run(Duration::from_secs(4));
    world.assert_answered();
    if !outlasts(fault) {
        check_within_window(&mut world, fault, key);
        world.run(WINDOW + Duration::from_secs(5));
    }
    check_beyond_window(&mut world, key);
}

/// Whether the fault lasts for longer than claims are remembered.
fn outlasts(fault: Fault) -> bool {
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
    // A home that still remembers the result may tell it; nothing is granted.
    let refused = |v: &Verdict| matches!(v, Verdict::Expired | Verdict::Recorded { .. });
    assert!(verdicts.iter().all(refused), "{verdicts:?}");
    let fresh = world.key();
    let verdicts = resend(world, fresh);
    assert_eq!(verdicts[0], Verdict::Granted, "a new key is not granted after the fault");
}

macro_rules! faults {
    ($($module:ident $fault:ident;)*) => {
        $(mod $module {
            use super::{Fault, Step, run};

            cases! {
                before_claim => run(Fault::$fault, Step::BeforeClaim);
                claim_queued => run(Fault::$fault, Step::ClaimQueued);
                write_in_flight => run(Fault::$fault, Step::WriteInFlight);
                write_took_effect => run(Fault::$fault, Step::WriteTookEffect);
                verdict_in_flight => run(Fault::$fault, Step::VerdictInFlight);
                before_send => run(Fault::$fault, Step::BeforeSend);
                after_send => run(Fault::$fault, Step::AfterSend);
                outcome_in_flight => run(Fault::$fault, Step::OutcomeInFlight);
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
