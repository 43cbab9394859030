//! Plays a soak: the load, the faults of a seed, and the checks.

use std::{
    env, fs,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{sleep, sleep_until},
};

use crate::{
    bed::{self, Bed, DESKS, DRAIN, SHARDS},
    caller::Caller,
    check,
    fault::Fault,
    ledger::Subject,
    plan::{self, Step},
    proxy::Mode,
    relay::SETTLE,
    target::Manner,
};

/// The callers of each relay.
const CALLERS: usize = 3;

/// The time in which the load runs before the first fault.
const WARM: Duration = Duration::from_secs(1);

/// The pause between two searches that crash targets: they go on until long
/// after the third crash.
const POISON_PAUSE: Duration = Duration::from_millis(900);

/// The setting that names fresh seeds, as in `LABURNUM_SOAK=100-120`.
const SEEDS: &str = "LABURNUM_SOAK";

/// Plays one seed and fails with what broke a promise.
pub fn seed(seed: u64) {
    steps(&seed.to_string(), &plan::draw(seed));
}

/// Plays faults of which a promise broke once.
pub fn steps(name: &str, steps: &[Step]) {
    let breaches = play(name, steps);
    assert!(breaches.is_empty(), "{name}: {breaches:#?}");
}

/// Plays the seeds that the environment names, one after the other.
pub fn fresh() {
    let Ok(text) = env::var(SEEDS) else { return };
    let (first, last) = text.split_once('-').expect("two seeds with a dash");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let mut failed = Vec::new();
    for seed in first..=last {
        let breaches = play(&seed.to_string(), &plan::draw(seed));
        println!("seed {seed}: {} broken", breaches.len());
        for breach in breaches.iter().take(10) {
            println!("  {breach}");
        }
        if !breaches.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// The folder for the settings and logs of a run, which stays.
fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}"));
    // It is there only if it was played before.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn play(name: &str, steps: &[Step]) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let breaches = runtime.unwrap().block_on(soak(name, steps.to_vec()));
    if !breaches.is_empty() {
        println!("{name}: {steps:#?}");
    }
    breaches
}

async fn soak(name: &str, steps: Vec<Step>) -> Vec<String> {
    let folder = folder(name);
    let bed = Bed::start(&folder).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in bed.callers.iter().cycle().take(CALLERS * bed.callers.len()) {
        let (relay, address, ledger) = (caller.relay, caller.address, caller.ledger.clone());
        let stop = Arc::clone(&stop);
        callers.spawn(async move { Caller { relay, address, ledger }.run(&stop).await });
    }
    sleep(WARM).await;
    disturb(&bed, steps).await;
    bed.ready().await;
    sleep(plan::CALM).await;
    let end = Instant::now();
    stop.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    for relay in &bed.relays {
        relay.lock().await.look();
    }
    let rows = bed.ledger.rows();
    let served = rows.asks.iter().filter(|ask| ask.is_served()).count();
    println!("{name}: {} requests, {served} served, {} runs", rows.asks.len(), rows.runs.len());
    check::run(&rows, end)
}

/// Lets every fault begin at its time and waits until the last one is over.
async fn disturb(bed: &Arc<Bed>, steps: Vec<Step>) {
    let start = tokio::time::Instant::now();
    let mut faults = JoinSet::new();
    for step in steps {
        sleep_until(start + step.at).await;
        let bed = Arc::clone(bed);
        faults.spawn(async move { apply(&bed, step.fault).await });
    }
    while let Some(ended) = faults.join_next().await {
        ended.unwrap();
    }
}

async fn apply(bed: &Bed, fault: Fault) {
    match fault {
        Fault::Kill { relay, down } => bed.relays[relay].lock().await.kill(down).await,
        Fault::Freeze { relay, span } => bed.relays[relay].lock().await.freeze(span).await,
        Fault::Restart { relay } => bed.relays[relay].lock().await.restart().await,
        Fault::Reload { relay } => bed.relays[relay].lock().await.reload(),
        Fault::Down { target, span } => {
            bed.places[target].lock().await.target.set_down(true);
            sleep(span).await;
            bed.places[target].lock().await.target.set_down(false);
        }
        Fault::Pause { target, span } => bed.places[target].lock().await.target.pause(span),
        Fault::Manner { target, manner, share, span } => {
            bed.places[target].lock().await.target.behave(manner, share);
            sleep(span).await;
            bed.places[target].lock().await.target.behave(Manner::Well, 0.0);
        }
        Fault::Replace { target } => replace(bed, target).await,
        Fault::Link { target, mode, span } => {
            let from = Instant::now();
            bed.places[target].lock().await.link.set(mode);
            sleep(span).await;
            bed.places[target].lock().await.link.set(Mode::Pass);
            bed.ledger.spell(Subject::Link(target), from, Instant::now());
        }
        Fault::Reset { target } => bed.places[target].lock().await.link.reset(),
        Fault::Forget { target } => bed.places[target].lock().await.link.forget(),
        Fault::Store { faults, span } => store(bed, faults, span).await,
        Fault::History => {
            let from = Instant::now();
            bed.store.forget().await;
            bed.ledger.spell(Subject::Store, from, Instant::now() + SETTLE);
        }
        Fault::Uplink { relay, mode, span } => uplink(bed, relay, mode, span).await,
        Fault::Change => change(bed).await,
        Fault::Poison => {
            for caller in bed.callers.iter().cycle().take(8) {
                caller.poison().await;
                sleep(POISON_PAUSE).await;
            }
        }
    }
}

async fn store(bed: &Bed, faults: &str, span: Duration) {
    let from = Instant::now();
    let faults: Value = serde_json::from_str(faults).unwrap();
    bed.store.faults(&faults).await;
    sleep(span).await;
    bed.store.faults(&json!({})).await;
    bed.ledger.spell(Subject::Store, from, Instant::now() + SETTLE);
}

async fn uplink(bed: &Bed, relay: usize, mode: Mode, span: Duration) {
    let from = Instant::now();
    bed.uplinks[relay].set(mode);
    sleep(span).await;
    bed.uplinks[relay].set(Mode::Pass);
    bed.ledger.spell(Subject::Store, from, Instant::now() + SETTLE);
}

/// Writes the next version, which moves the shards, the operations or both.
async fn change(bed: &Bed) {
    let mut version = bed.version.lock().await;
    *version += 1;
    let number = *version;
    let place = |count: u64, among: usize| usize::try_from(count).unwrap_or(0) % among;
    let shards = SHARDS[place(number / 2, SHARDS.len())];
    bed.store.configure(number, shards, DESKS[place(number, DESKS.len())]).await;
}

/// Starts another target in the place of one that leaves.
async fn replace(bed: &Bed, number: usize) {
    let mut place = bed.places[number].lock().await;
    let id = format!("{}x", place.target.id());
    let next = bed::place(&id, place.target.service(), number, &bed.store, &bed.ledger).await;
    let old = std::mem::replace(&mut *place, next);
    drop(place);
    bed.store.register(&old.target, old.link.address, true).await;
    sleep(DRAIN + Duration::from_millis(500)).await;
    old.target.set_down(true);
}
