//! Runs a soak: starts the deployment and the load, injects the faults and runs the
//! checks.

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
    caller::Caller,
    check,
    deployment::{self, DRAIN_PERIOD, Deployment, OPERATION_SERVICES, SHARD_SETS},
    fault::Fault,
    ledger::Subject,
    plan::{self, Step},
    proxy::Mode,
    relay::SETTLE_PERIOD,
    target::Behaviour,
};

/// The number of callers of each relay.
const CALLERS_PER_RELAY: usize = 3;

/// How long the load runs before the schedule of faults starts.
const WARMUP_PERIOD: Duration = Duration::from_secs(1);

/// The pause between two searches that crash targets. It is so long that the last ones
/// come well after the third crash, from which such a search must be quarantined.
const POISON_INTERVAL: Duration = Duration::from_millis(900);

/// How often all entries are written between a copy and the return to it, so that the
/// numbers of these changes lie well above those that are given out after the return.
const LOST_ROUNDS: u32 = 6;

/// The environment variable with the first and the last of the seeds that
/// [`run_fresh_seeds`] runs, as in `LABURNUM_SOAK=100-120`.
const SEED_RANGE_VARIABLE: &str = "LABURNUM_SOAK";

/// Runs the faults of a seed and panics if a check finds a violation.
pub fn run_seed(seed: u64) {
    run_steps(&seed.to_string(), &plan::draw(seed));
}

/// Runs given faults and panics if a check finds a violation.
pub fn run_steps(name: &str, steps: &[Step]) {
    let violations = run(name, steps);
    assert!(violations.is_empty(), "{name}: {violations:#?}");
}

/// Runs the seeds that [`SEED_RANGE_VARIABLE`] names one after the other, and panics at
/// the end if one had a violation. Without the variable it does nothing.
pub fn run_fresh_seeds() {
    let Ok(text) = env::var(SEED_RANGE_VARIABLE) else { return };
    let (first, last) = text.split_once('-').expect("two seeds with a dash between them");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    let mut failed = Vec::new();
    for seed in first..=last {
        let violations = run(&seed.to_string(), &plan::draw(seed));
        println!("seed {seed}: {} violations", violations.len());
        for violation in violations.iter().take(10) {
            println!("  {violation}");
        }
        if !violations.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}

/// Creates the folder for the settings and logs of a run, which is kept after it.
fn create_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}"));
    // The folder exists only if a run of this name came before, so that errors are expected.
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn run(name: &str, steps: &[Step]) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let violations = runtime.unwrap().block_on(run_soak(name, steps.to_vec()));
    if !violations.is_empty() {
        println!("{name}: {steps:#?}");
    }
    violations
}

async fn run_soak(name: &str, steps: Vec<Step>) -> Vec<String> {
    let folder = create_folder(name);
    let deployment = Deployment::start(&folder).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in
        deployment.callers.iter().cycle().take(CALLERS_PER_RELAY * deployment.callers.len())
    {
        let (relay, address, ledger) = (caller.relay, caller.address, caller.ledger.clone());
        let stop = Arc::clone(&stop);
        callers.spawn(async move { Caller { relay, address, ledger }.send_requests(&stop).await });
    }
    sleep(WARMUP_PERIOD).await;
    inject_faults(&deployment, steps).await;
    deployment.wait_ready().await;
    sleep(plan::CALM_PERIOD).await;
    let end = Instant::now();
    stop.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    for relay in &deployment.relays {
        relay.lock().await.check_running();
    }
    let rows = deployment.ledger.rows();
    let served = rows.requests.iter().filter(|request| request.is_served()).count();
    println!(
        "{name}: {} requests, {served} served, {} attempts",
        rows.requests.len(),
        rows.attempts.len()
    );
    check::violations(&rows, end)
}

/// Injects every fault at its time and waits until the last one is over.
async fn inject_faults(deployment: &Arc<Deployment>, steps: Vec<Step>) {
    let start = tokio::time::Instant::now();
    let mut faults = JoinSet::new();
    for step in steps {
        sleep_until(start + step.at).await;
        let deployment = Arc::clone(deployment);
        faults.spawn(async move { apply_fault(&deployment, step.fault).await });
    }
    while let Some(ended) = faults.join_next().await {
        ended.unwrap();
    }
}

async fn apply_fault(deployment: &Deployment, fault: Fault) {
    match fault {
        Fault::Kill { relay, down } => deployment.relays[relay].lock().await.kill(down).await,
        Fault::Freeze { relay, span } => deployment.relays[relay].lock().await.freeze(span).await,
        Fault::Restart { relay } => deployment.relays[relay].lock().await.restart().await,
        Fault::Reload { relay } => deployment.relays[relay].lock().await.reload().await,
        Fault::Down { target, span } => {
            deployment.endpoints[target].lock().await.target.set_down(true);
            sleep(span).await;
            deployment.endpoints[target].lock().await.target.set_down(false);
        }
        Fault::Pause { target, span } => {
            deployment.endpoints[target].lock().await.target.pause(span)
        }
        Fault::Behaviour { target, behaviour, share, span } => {
            deployment.endpoints[target].lock().await.target.set_behaviour(behaviour, share);
            sleep(span).await;
            deployment.endpoints[target].lock().await.target.set_behaviour(Behaviour::Normal, 0.0);
        }
        Fault::Replace { target } => replace_target(deployment, target).await,
        Fault::TargetLink { target, mode, span } => {
            let from = Instant::now();
            deployment.endpoints[target].lock().await.link.set_mode(mode);
            sleep(span).await;
            deployment.endpoints[target].lock().await.link.set_mode(Mode::Pass);
            deployment.ledger.record_disturbance(Subject::TargetLink(target), from, Instant::now());
        }
        Fault::Reset { target } => deployment.endpoints[target].lock().await.link.reset(),
        Fault::Blackhole { target } => deployment.endpoints[target].lock().await.link.blackhole(),
        Fault::Store { faults, span } => fail_store(deployment, faults, span).await,
        Fault::DiscardHistory => {
            let from = Instant::now();
            deployment.store.discard_history().await;
            deployment.ledger.record_disturbance(
                Subject::Store,
                from,
                Instant::now() + SETTLE_PERIOD,
            );
        }
        Fault::Return { open, age, away } => restore_store(deployment, open, age, away).await,
        Fault::StoreLink { relay, mode, span } => {
            disturb_store_link(deployment, relay, mode, span).await
        }
        Fault::Reconfigure => write_next_version(deployment).await,
        Fault::Poison => {
            for caller in deployment.callers.iter().cycle().take(8) {
                caller.send_poison().await;
                sleep(POISON_INTERVAL).await;
            }
        }
    }
}

async fn fail_store(deployment: &Deployment, faults: &str, span: Duration) {
    let from = Instant::now();
    let faults: Value = serde_json::from_str(faults).unwrap();
    deployment.store.set_faults(&faults).await;
    sleep(span).await;
    deployment.store.set_faults(&json!({})).await;
    deployment.ledger.record_disturbance(Subject::Store, from, Instant::now() + SETTLE_PERIOD);
}

/// Lets the store return from a copy. The next copy is taken after the return.
async fn restore_store(deployment: &Deployment, open: &str, age: Duration, away: Duration) {
    let _single = deployment.copy.lock().await;
    deployment.store.take_copy().await;
    for _ in 0..LOST_ROUNDS {
        deployment.store.write_again().await;
        sleep(age / LOST_ROUNDS).await;
    }
    let from = Instant::now();
    deployment.store.restore(open, away).await;
    deployment.store.write_again().await;
    write_next_version(deployment).await;
    deployment.ledger.record_disturbance(Subject::Store, from, Instant::now() + SETTLE_PERIOD);
}

async fn disturb_store_link(deployment: &Deployment, relay: usize, mode: Mode, span: Duration) {
    let from = Instant::now();
    deployment.store_links[relay].set_mode(mode);
    sleep(span).await;
    deployment.store_links[relay].set_mode(Mode::Pass);
    deployment.ledger.record_disturbance(Subject::Store, from, Instant::now() + SETTLE_PERIOD);
}

/// Writes the next version of the configuration. The service of operations switches with
/// each version, the set of shards with every second one.
async fn write_next_version(deployment: &Deployment) {
    let mut version = deployment.version.lock().await;
    *version += 1;
    let number = *version;
    let index = |count: u64, len: usize| usize::try_from(count).unwrap_or(0) % len;
    let shards = SHARD_SETS[index(number / 2, SHARD_SETS.len())];
    deployment
        .store
        .configure(number, shards, OPERATION_SERVICES[index(number, OPERATION_SERVICES.len())])
        .await;
}

/// Starts another target at an endpoint, then drains the old one and takes it down.
async fn replace_target(deployment: &Deployment, number: usize) {
    let mut endpoint = deployment.endpoints[number].lock().await;
    let id = format!("{}x", endpoint.target.id());
    let next = deployment::start_endpoint(
        &id,
        endpoint.target.service(),
        number,
        &deployment.store,
        &deployment.ledger,
    )
    .await;
    let old = std::mem::replace(&mut *endpoint, next);
    drop(endpoint);
    deployment.store.register(&old.target, old.link.address, true).await;
    sleep(DRAIN_PERIOD + Duration::from_millis(500)).await;
    old.target.set_down(true);
}
