//! Targets of an entry VM that send frames without end.
//!
//! One index has as many shards and targets as the largest deployments, each of which
//! floods. Searches in another index, whose target is sound, come meanwhile. The check with a
//! time has a bound that a process only reaches if it reads on until a caller's time is over.

use std::{sync::Arc, time::Duration};

use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    alone::alone,
    caller,
    flood::Tally,
    frames::{Kind, Moment, Target},
    part, process,
    product::{Deployment, launch_target, search, search_with},
};

/// The number of shards of an index in the largest deployments.
const SHARDS: u64 = 90;

/// The number of targets of a shard there.
const REPLICAS: u64 = 3;

/// The number of callers whose searches go to the targets that flood.
const CALLERS: usize = 12;

/// The time for which sound requests come beside a flood.
const FLOOD_TIME: Duration = Duration::from_secs(3);

/// The time within which a connection that floods must be closed. Callers wait for 30 s.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// The index whose targets flood.
const INDEX: &str = "flood";

/// What a target sends without end, and when.
const FLOODS: [(Moment, Kind); 18] = [
    (Moment::Handshake, Kind::Text),
    (Moment::Handshake, Kind::LongFrame),
    (Moment::Handshake, Kind::Settings),
    (Moment::Status, Kind::Interim),
    (Moment::Status, Kind::Continuations),
    (Moment::Status, Kind::Data),
    (Moment::Status, Kind::EmptyData),
    (Moment::Request, Kind::Interim),
    (Moment::Request, Kind::Continuations),
    (Moment::Request, Kind::Data),
    (Moment::Request, Kind::EmptyData),
    (Moment::Request, Kind::Padding),
    (Moment::Request, Kind::Trailers),
    (Moment::Request, Kind::Promises),
    (Moment::Idle, Kind::StrayData),
    (Moment::Idle, Kind::Pings),
    (Moment::Idle, Kind::UnknownFrames),
    (Moment::Idle, Kind::WindowUpdates),
];

/// What a target sends without end after a sound answer, on a connection that is then idle.
const IDLE_FLOODS: [(Moment, Kind); 4] = [
    (Moment::Idle, Kind::StrayData),
    (Moment::Idle, Kind::Pings),
    (Moment::Idle, Kind::UnknownFrames),
    (Moment::Idle, Kind::WindowUpdates),
];

/// A deployment with targets that flood.
struct Case {
    deployment: Deployment,
    tally: Tally,
}

/// Starts a deployment whose targets send all of `floods`, each target one of them.
async fn start(floods: &[(Moment, Kind)]) -> Case {
    caller::raise_descriptor_limit();
    let folder = tempfile::TempDir::new().unwrap();
    let sound = launch_target(folder.path());
    let status = read_status(&sound.listed).await;
    let tally = Tally::default();
    let mut listed = vec![sound.listed.clone()];
    let mut floods = floods.iter().cycle();
    for shard in 0..SHARDS {
        for replica in 0..REPLICAS {
            let (moment, kind) = *floods.next().unwrap();
            let status = status_of_shard(&status, shard);
            let target = Target { kind, moment, status, tally: tally.clone() };
            let place = json!({"index": INDEX, "shard": format!("flood-{shard}"),
                "domain": format!("domain-{}", replica + 1)});
            let name = format!("flood-{shard}-{replica}");
            listed.push(part::target_fields(&name, target.start().await, &place));
        }
    }
    let deployment = Deployment::start_with("", folder, sound, &listed).await;
    deployment.publish(&[("all", laburnumworks::local::DEMO_INDEX), (INDEX, INDEX)]).await;
    Case { deployment, tally }
}

/// Reads the status of a target in the platform's list.
async fn read_status(listed: &Value) -> Value {
    let client = reqwest::Client::builder().http2_prior_knowledge().no_proxy().build().unwrap();
    let url = format!("http://{}/v1/status", listed["address"].as_str().unwrap());
    loop {
        match client.get(&url).send().await {
            Ok(response) => return response.json().await.unwrap(),
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Returns the status of a target that holds one shard of [`SHARDS`].
fn status_of_shard(status: &Value, shard: u64) -> Arc<[u8]> {
    let width = u64::MAX / SHARDS;
    let last = if shard == SHARDS - 1 { u64::MAX } else { (shard + 1) * width - 1 };
    let mut status = status.clone();
    for range in status["holds"].as_object_mut().unwrap().values_mut() {
        *range = json!([shard * width, last]);
    }
    status.to_string().into_bytes().into()
}

impl Case {
    /// Sends searches to the targets that flood, one after the other from each caller, until
    /// the result is dropped.
    fn send_searches(&self) -> JoinSet<()> {
        let address = self.deployment.endpoints.callers;
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            callers.spawn(async move {
                loop {
                    let request = search_with(INDEX, "uhf");
                    // The answer, if there is one, is not what the case is about.
                    let _ = caller::send(address, request.as_bytes()).await.readable().await;
                    sleep(Duration::from_millis(50)).await;
                }
            });
        }
        callers
    }

    /// Sends sound searches beside a flood and returns their statuses.
    async fn send_sound(&self) -> Vec<u16> {
        let address = self.deployment.endpoints.callers;
        let end = Instant::now() + FLOOD_TIME;
        let mut statuses = Vec::new();
        while Instant::now() < end {
            statuses.push(caller::status(address, search("uhf").as_bytes()).await);
            sleep(Duration::from_millis(20)).await;
        }
        statuses
    }

    /// Asserts that the targets flood and that the VM lives and is sound.
    fn assert_sound(&self) {
        process::assert_sound(self.deployment.vm.id());
        assert!(self.tally.begun() > 0, "the targets flood");
    }

    fn print(&self, statuses: &[u16]) {
        println!(
            "floods begun {}, open {}, longest {} ms, most bytes {}; {} of {} sound searches \
             served",
            self.tally.begun(),
            self.tally.open(),
            self.tally.longest().as_millis(),
            self.tally.most_bytes(),
            statuses.iter().filter(|status| **status == 200).count(),
            statuses.len(),
        );
    }

    /// Asserts that each connection that floods is closed soon.
    async fn assert_closed(&self) {
        let end = Instant::now() + CLOSE_TIME;
        while self.tally.open() > 0 && Instant::now() < end {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(self.tally.open(), 0, "connections that flood are open");
    }
}

/// Runs a case about the memory of the VM.
async fn memory() {
    let case = start(&FLOODS).await;
    let _callers = case.send_searches();
    let statuses = case.send_sound().await;
    case.print(&statuses);
    case.assert_sound();
}

/// Runs a case about the searches that come beside a flood on idle connections.
async fn sound_searches() {
    let case = start(&IDLE_FLOODS).await;
    case.deployment.wait_served().await;
    let _callers = case.send_searches();
    let statuses = case.send_sound().await;
    case.print(&statuses);
    case.assert_sound();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    case.assert_closed().await;
}

cases! {
    frames_without_end => alone(memory);
    sound_searches_beside_endless_frames => alone(sound_searches);
}
