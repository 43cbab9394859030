//! Relays of one size whose operations are sampled all the time, to see by which version
//! of the configuration each of them handles requests.

use std::{
    fmt::Write,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http::HeaderMap;
use laburnum_platform::header as names;
use tokio::time::{sleep, sleep_until};

use crate::{
    entry::{self, SERVICES, config},
    harness::{Harness, Relay},
    standin::entries::CONFIG,
};

/// The time after the acknowledgement of a version within which it is in force.
pub const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// The time after [`APPLY_LIMIT`] in which every sample has to be of the version.
const CHECK_PERIOD: Duration = Duration::from_millis(600);

/// The pause between two samples of a relay.
const SAMPLE_PAUSE: Duration = Duration::from_millis(50);

/// How long a sample waits for its answer, which is longer than its deadline.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The processor cores that each relay announces.
const CORES: f64 = 0.17;

/// The most lines of a log that a report shows.
const REPORTED_LINES: usize = 12;

/// The event of a relay that others say to be behind them.
const BEHIND_OTHERS: u16 = 703;

/// The events about roles, versions of the routes and the store, which a report shows.
const REPORTED_EVENTS: [u16; 5] = [407, 504, 701, 702, 703];

/// The versions that a test writes, in their order. Each moves the operation to another
/// service.
pub const VERSIONS: [u64; 4] = [11, 12, 13, 14];

/// How a sample ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The target of this version's service ran the operation.
    Served { version: u64 },
    /// The relay answered with this status.
    Refused { status: u16 },
    /// No answer came.
    Unanswered,
}

/// An operation that was sent to see which service runs it.
#[derive(Clone, Copy, Debug)]
struct Sample {
    relay: usize,
    sent: Instant,
    outcome: Outcome,
}

type Samples = Arc<Mutex<Vec<Sample>>>;

/// The relays of a test with the samples of each.
pub struct Fleet {
    pub harness: Harness,
    pub relays: Vec<Relay>,
    samples: Samples,
}

impl Fleet {
    /// Starts a number of relays at the same time.
    pub async fn start(count: usize) -> Fleet {
        let harness = Harness::start().await;
        let names: Vec<String> = (0..count).map(name).collect();
        let relays = harness.relays(&names, CORES).await;
        let samples = Samples::default();
        for (number, relay) in relays.iter().enumerate() {
            tokio::spawn(sample(number, relay.callers, Arc::clone(&samples)));
        }
        Fleet { harness, relays, samples }
    }

    /// Starts one more relay.
    pub async fn add(&mut self) {
        let number = self.relays.len();
        let relay = self.harness.relay(&name(number), CORES).await;
        tokio::spawn(sample(number, relay.callers, Arc::clone(&self.samples)));
        self.relays.push(relay);
    }

    /// Writes a version that moves the operation to its service, and returns when the
    /// store acknowledged it.
    pub async fn configure(&self, version: u64) -> Instant {
        let mut config = config(version);
        config["routes"][1]["backend"] = service(version).into();
        self.harness.store.put(CONFIG, &config).await;
        Instant::now()
    }

    /// Waits until the last sample of each relay is of a version.
    pub async fn wait_served(&self, version: u64) {
        while !(0..self.relays.len()).all(|relay| self.serves(relay, version)) {
            sleep(SAMPLE_PAUSE).await;
        }
    }

    fn serves(&self, relay: usize, version: u64) -> bool {
        let samples = self.samples.lock().unwrap();
        let last = samples.iter().rfind(|sample| sample.relay == relay);
        last.is_some_and(|last| last.outcome == Outcome::Served { version })
    }

    /// Asserts that every relay handles all requests by a version from [`APPLY_LIMIT`]
    /// after its acknowledgement on and no longer doubts what it has read, and that none
    /// has gone back to an older version.
    pub async fn assert_in_force(&self, version: u64, acknowledged: Instant) {
        let from = acknowledged + APPLY_LIMIT;
        sleep_until(from.into()).await;
        let doubts: Vec<usize> = self.relays.iter().map(doubts).collect();
        sleep_until((from + CHECK_PERIOD).into()).await;
        let samples = self.samples.lock().unwrap().clone();
        let mut report = String::new();
        let mut wrong = 0;
        for (number, relay) in self.relays.iter().enumerate() {
            let own: Vec<Sample> =
                samples.iter().filter(|sample| sample.relay == number).copied().collect();
            let faults =
                [late(&own, version, from), returned(&own), doubting(relay, doubts[number])];
            let faults: Vec<String> = faults.into_iter().flatten().collect();
            if !faults.is_empty() {
                wrong += 1;
                writeln!(report, "{}: {}", relay.name(), faults.join("; ")).unwrap();
                report.push_str(&last_lines(&relay.log()));
            }
        }
        assert!(wrong == 0, "{wrong} of {} relays are wrong\n{report}", self.relays.len());
    }
}

/// Returns the name of a relay.
fn name(number: usize) -> String {
    format!("vm-{number:02}")
}

/// Returns the service that runs the operation by a version.
fn service(version: u64) -> &'static str {
    let count = SERVICES.len() as u64;
    SERVICES[usize::try_from(version % count).unwrap()]
}

/// Returns what is wrong with the samples that were sent from `from` on, if anything is.
fn late(samples: &[Sample], version: u64, from: Instant) -> Option<String> {
    let checked: Vec<&Sample> = samples.iter().filter(|sample| sample.sent >= from).collect();
    let expected = Outcome::Served { version };
    let wrong: Vec<Outcome> =
        checked.iter().map(|sample| sample.outcome).filter(|found| *found != expected).collect();
    match (checked.is_empty(), wrong.first()) {
        (true, _) => Some("no sample ended in the checked time".to_owned()),
        (false, Some(first)) => Some(format!(
            "{} of {} samples later than {APPLY_LIMIT:?} after version {version}, first {first:?}",
            wrong.len(),
            checked.len(),
        )),
        (false, None) => None,
    }
}

/// Returns which sample was of an older version than one before it, if one was.
fn returned(samples: &[Sample]) -> Option<String> {
    let mut newest = 0;
    for sample in samples {
        if let Outcome::Served { version } = sample.outcome {
            if version < newest {
                return Some(format!("version {version} after {newest}"));
            }
            newest = version;
        }
    }
    None
}

/// Returns how often a relay has logged that others have read more than it.
fn doubts(relay: &Relay) -> usize {
    let pattern = event_pattern(BEHIND_OTHERS);
    relay.log().lines().filter(|line| line.contains(&pattern)).count()
}

/// Returns that a relay has doubted what it has read since `before` was counted, if it has.
fn doubting(relay: &Relay, before: usize) -> Option<String> {
    let lines = doubts(relay) - before;
    (lines > 0).then(|| format!("event {BEHIND_OTHERS} {lines} times after {APPLY_LIMIT:?}"))
}

/// Returns the text by which a line of the log states its event.
fn event_pattern(event: u16) -> String {
    format!("\"event\":{event},")
}

/// Returns the last lines of a log that are about the store and the routes.
fn last_lines(log: &str) -> String {
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| REPORTED_EVENTS.iter().any(|event| line.contains(&event_pattern(*event))))
        .collect();
    let first = lines.len().saturating_sub(REPORTED_LINES);
    lines[first..].iter().map(|line| format!("    {line}\n")).collect()
}

/// Sends one sample after the other to a relay.
async fn sample(relay: usize, address: SocketAddr, samples: Samples) {
    let client = reqwest::Client::builder().no_proxy().timeout(SAMPLE_TIMEOUT).build().unwrap();
    let url = format!("http://{address}/desk/1");
    loop {
        let sent = Instant::now();
        let outcome = match client.post(&url).headers(entry::caller()).send().await {
            Ok(response) if response.status().is_success() => served(response.headers()),
            Ok(response) => Outcome::Refused { status: response.status().as_u16() },
            Err(_) => Outcome::Unanswered,
        };
        samples.lock().unwrap().push(Sample { relay, sent, outcome });
        sleep(SAMPLE_PAUSE).await;
    }
}

/// Returns the version by whose service an operation was run, from the target's digest.
fn served(headers: &HeaderMap) -> Outcome {
    let digest = headers[names::DIGEST].to_str().unwrap();
    let version = VERSIONS
        .into_iter()
        .find(|&version| digest.starts_with(&format!("seal-{}-", service(version))));
    Outcome::Served { version: version.expect("a service of the operation") }
}
