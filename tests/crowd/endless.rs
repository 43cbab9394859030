//! Targets of a relay that send bytes without end.
//!
//! The crowd is that of the largest deployments: each shard of a search has replicas that
//! send what is no answer, on as many connections as they accept. Requests to sound targets
//! come meanwhile. The checks with a time have a bound that a process only reaches if it
//! reads on until the caller's time is over.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    alone::alone,
    caller::{self, head, plain_head},
    deployment::{self, PATIENCE, set_behaviour},
    entry::config,
    flood::{self, Flood, Pace, Tally},
    harness::{Harness, Relay},
    process,
    standin::{
        entries::{CONFIG, target, target_key},
        target::Behaviour,
    },
};

/// The number of shards of a search in the largest deployments.
const SHARDS: usize = 90;

/// The number of targets of a shard there.
const REPLICAS: usize = 3;

/// The number of requests that a target runs at a time, each on a connection of its own.
const SLOTS: usize = 4;

/// The number of connections that a target accepts there.
const TARGET_CONNECTIONS: usize = 96;

/// The number of callers whose searches go to the targets that flood: as many as use all of
/// their connections.
const CALLERS: usize = REPLICAS * SLOTS;

/// The size of the body of a sound request, in bytes; deployments in force allow 256 KiB.
const SOUND_BODY: usize = 100_000;

/// The size of the answer to a sound request, in bytes.
const SOUND_ANSWER: usize = 64 << 10;

/// The time for which sound requests come beside a flood.
const FLOOD_TIME: Duration = Duration::from_secs(2);

/// The time within which a connection that floods must be closed. Callers wait for
/// [`PATIENCE`], which is much longer.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// The most bytes that a target may get rid of before its connection is closed, if they are
/// no body: half a megabyte, and what the buffers of the sockets hold.
const MAX_SENT_BYTES: usize = (512 << 10) + (8 << 20);

/// What a slow target sends at once that no connection may take for a head.
const LONG_HEAD: usize = 256 << 10;

/// What a slow target sends at once that a connection may take for a head.
const SHORT_HEAD: usize = 24 << 10;

/// What begins no answer, or a head without an end: what comes first, and what follows.
const HEADS: [(&str, &str); 6] = [
    ("", "\u{1}"),
    ("", "\r\n"),
    ("HTTP/1.1 200 ", "a"),
    ("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
    ("HTTP/1.1 200 OK\r\na: ", "b"),
    ("", "HTTP/1.1 100 Continue\r\n\r\n"),
];

/// Heads that no limit on the number of headers ends.
const LASTING_HEADS: [(&str, &str); 3] =
    [("", "\r\n"), ("HTTP/1.1 200 ", "a"), ("HTTP/1.1 200 OK\r\na: ", "b")];

/// A sound answer, after which the target sends on.
const ANSWERS: [(&str, &str); 3] = [
    (ANSWER, "\u{1}"),
    (ANSWER, "HTTP/1.1 100 Continue\r\n\r\n"),
    (ANSWER, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb"),
];

const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nserver-seal: s\r\ncontent-length: 16\r\n\r\n0123456789abcdef";

/// A relay whose searches under `/flood/` go to targets that flood, and which has sound
/// targets for its other routes.
struct Case {
    harness: Harness,
    relay: Relay,
    tally: Tally,
    /// The length of a further header of the searches to targets that flood, in bytes.
    header: usize,
}

/// Starts a relay whose targets send all of `kinds`, each target one of them.
async fn start(kinds: &[(&'static str, &'static str)], pause: Duration, pace: Pace) -> Case {
    caller::raise_descriptor_limit();
    let harness = deployment::start(SOUND_BODY).await;
    let tally = Tally::default();
    let mut kinds = kinds.iter().cycle();
    for shard in 0..SHARDS {
        for replica in 0..REPLICAS {
            let (start, piece) = *kinds.next().unwrap();
            let address = flood::start(Flood { start, pause, piece, pace }, &tally).await;
            let entry = target(&service(shard), address, SLOTS as u64, false);
            let key = target_key(&format!("{}-{replica}", service(shard)));
            harness.store.put(&key, &entry).await;
        }
    }
    harness.store.put(CONFIG, &config_with_flood()).await;
    let answer = Behaviour { body_bytes: SOUND_ANSWER, ..Behaviour::default() };
    set_behaviour(&harness, "desk", answer);
    let relay = deployment::relay(&harness, "vm-1", 1.0).await;
    Case { harness, relay, tally, header: 0 }
}

fn service(shard: usize) -> String {
    format!("flood-{shard}")
}

/// Returns the configuration of the deployment with a search over the targets that flood.
fn config_with_flood() -> Value {
    let mut config = config(10);
    let services: Vec<String> = (0..SHARDS).map(service).collect();
    let mut route = config["routes"][0].clone();
    route["name"] = "flood".into();
    route["prefix"] = "/flood/".into();
    route["gather"] = json!(services);
    config["routes"].as_array_mut().unwrap().push(route);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = Value::from(PATIENCE.as_millis() as u64);
    }
    let rows = services.iter().map(
        |name| json!({"name": name, "health_path": "/health", "max_conns": TARGET_CONNECTIONS}),
    );
    config["backends"].as_array_mut().unwrap().extend(rows);
    config
}

impl Case {
    /// Sends searches to the targets that flood, one after the other from each caller, and
    /// sound requests meanwhile. Asserts that those are answered and that the relay is sound.
    async fn run(&self) {
        let mut callers = JoinSet::new();
        let address = self.relay.callers;
        let header = format!("\r\nx-long: {}\r\n", "x".repeat(self.header));
        let request = head("GET", "/flood/1", PATIENCE, 0);
        let request = if self.header > 0 { request.replacen("\r\n", &header, 1) } else { request };
        for _ in 0..CALLERS {
            let request = request.clone();
            callers.spawn(async move {
                loop {
                    // The answer, if there is one, is not what the case is about.
                    let _ = caller::send(address, request.as_bytes()).await.readable().await;
                    sleep(Duration::from_millis(50)).await;
                }
            });
        }
        while self.tally.begun() == 0 {
            sleep(Duration::from_millis(20)).await;
        }
        let end = Instant::now() + FLOOD_TIME;
        let (mut sent, mut refused) = (0, Vec::new());
        while Instant::now() < end {
            for (name, status) in self.send_sound().await {
                sent += 1;
                if status != 200 {
                    refused.push((name, status));
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.print(sent, refused.len());
        process::assert_sound(self.relay.process());
        process::assert_counted(self.relay.process(), self.read_held_peak().await);
        assert!(refused.is_empty(), "{} of {sent} sound requests: {refused:?}", refused.len());
    }

    /// Returns the most that the relay says it has held for others, in bytes.
    async fn read_held_peak(&self) -> u64 {
        let request = plain_head("GET", "/metrics", 0);
        let metrics = caller::read(self.relay.metrics, request.as_bytes()).await;
        let metrics = String::from_utf8(metrics).unwrap();
        let gauge = metrics.lines().find(|line| line.starts_with("laburnum_held_bytes_peak{"));
        let value = gauge.and_then(|line| line.rsplit(' ').next());
        value.and_then(|value| value.trim().parse().ok()).expect("the gauge is there")
    }

    /// Sends a search and an operation with a long body to sound targets.
    async fn send_sound(&self) -> [(&'static str, u16); 2] {
        let search = head("GET", "/search/1", PATIENCE, 0);
        let mut operation = head("POST", "/desk/1", PATIENCE, SOUND_BODY).into_bytes();
        operation.resize(operation.len() + SOUND_BODY, b'x');
        let search = caller::status(self.relay.callers, search.as_bytes()).await;
        let operation = caller::status(self.relay.callers, &operation).await;
        [("search", search), ("operation", operation)]
    }

    fn print(&self, sent: usize, refused: usize) {
        println!(
            "floods begun {}, open {}, longest {} ms, most bytes {}; {refused} of {sent} sound \
             requests not served",
            self.tally.begun(),
            self.tally.open(),
            self.tally.longest().as_millis(),
            self.tally.most_bytes(),
        );
    }

    /// Asserts that each connection that floods was or is closed soon.
    async fn assert_closed(&self) {
        let open = self.tally.open();
        assert!(self.tally.longest() < CLOSE_TIME, "{:?}", self.tally.longest());
        assert!(self.tally.most_bytes() < MAX_SENT_BYTES, "{} bytes", self.tally.most_bytes());
        let end = Instant::now() + CLOSE_TIME;
        while self.tally.open() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
        }
        let left = self.tally.open();
        assert_eq!(left, 0, "of {open} connections that flooded, {left} are still open");
        assert!(self.harness.is_ready(&self.relay).await.is_some(), "the relay answers probes");
    }
}

/// Runs a case whose targets send what a connection must close at once.
pub async fn is_closed(kinds: &[(&'static str, &'static str)], pause: Duration, pace: Pace) {
    let case = start(kinds, pause, pace).await;
    case.run().await;
    case.assert_closed().await;
}

/// Runs a case whose targets send what may yet become an answer.
pub async fn is_held(kinds: &[(&'static str, &'static str)], pace: Pace) {
    start(kinds, Duration::ZERO, pace).await.run().await;
}

/// What a connection writes is kept too: callers in the deployments in force may send heads of
/// 16 KiB, and one search has as many copies as shards.
async fn is_held_with_long_requests() {
    let pace = Pace::Slow { at_once: SHORT_HEAD };
    let case = Case { header: 14 << 10, ..start(&LASTING_HEADS, Duration::ZERO, pace).await };
    case.run().await;
}

async fn idle() {
    is_closed(&ANSWERS, Duration::from_millis(200), Pace::Fast).await;
}

cases! {
    heads_without_end => alone(async || is_closed(&HEADS, Duration::ZERO, Pace::Fast).await);
    long_heads_that_go_on_slowly => {
        alone(async || is_closed(&LASTING_HEADS, Duration::ZERO, Pace::Slow { at_once: LONG_HEAD }).await);
    };
    short_heads_that_go_on_slowly => {
        alone(async || is_held(&LASTING_HEADS, Pace::Slow { at_once: SHORT_HEAD }).await);
    };
    short_heads_that_go_on_slowly_for_long_requests => alone(is_held_with_long_requests);
    answers_with_more_after_them => alone(idle);
}
