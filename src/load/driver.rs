//! The open-loop sender: sends each query at its time, however long earlier answers
//! take.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use laburnum_core::name::Name;
use tokio::{sync::mpsc, time::sleep_until};

use super::{
    arrival::Arrival,
    sample::{Outcome, Sample},
};
use crate::local::Caller;

/// The VMs that get queries, as a load balancer lists them.
#[derive(Clone, Debug, Default)]
pub struct Entries(Arc<Mutex<Vec<SocketAddr>>>);

impl Entries {
    /// Makes a list from the caller-facing addresses of VMs.
    pub fn new(addresses: Vec<SocketAddr>) -> Entries {
        Entries(Arc::new(Mutex::new(addresses)))
    }

    fn pick(&self, number: usize) -> Option<SocketAddr> {
        let list = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        list.get(number % list.len().max(1)).copied()
    }

    pub fn remove(&self, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).retain(|entry| *entry != address);
    }

    pub fn add(&self, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(address);
    }
}

/// Sends all arrivals and returns their samples once the last one has ended.
///
/// Arrival times count from `start`; `profiles` holds the profile of each service.
pub async fn send_all(
    arrivals: Vec<Arrival>,
    profiles: &[Name],
    entries: &Entries,
    caller: &Caller,
    start: Instant,
) -> Vec<Sample> {
    let (sender, mut finished) = mpsc::unbounded_channel();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let intended = start + arrival.at;
        sleep_until(intended.into()).await;
        let (Some(entry), Some(profile)) = (entries.pick(number), profiles.get(arrival.service))
        else {
            continue;
        };
        let (sender, caller, profile) = (sender.clone(), caller.clone(), profile.clone());
        tokio::spawn(async move {
            let outcome = search(&caller, entry, &profile, &arrival.text).await;
            let sample = Sample {
                at: arrival.at,
                service: arrival.service,
                latency: intended.elapsed(),
                outcome,
            };
            // Cannot fail: the receiver outlives every sender.
            let _ = sender.send(sample);
        });
    }
    drop(sender);
    let mut samples = Vec::new();
    while let Some(sample) = finished.recv().await {
        samples.push(sample);
    }
    samples
}

async fn search(caller: &Caller, entry: SocketAddr, profile: &Name, text: &str) -> Outcome {
    let Ok(reply) = caller.search(entry, profile.as_str(), text).await else {
        return Outcome::Lost;
    };
    if reply.status.is_success() {
        let parts = reply.body["coverage"]["parts_per_million"].as_u64().unwrap_or_default();
        return Outcome::Answered { coverage: u32::try_from(parts).unwrap_or(u32::MAX) };
    }
    let kind = reply.body["kind"].as_str().unwrap_or("unknown").to_owned();
    Outcome::Refused { kind, is_not_run: reply.body["ran"] == "no" }
}

/// Waits until `offset` after the start of the run.
pub async fn wait_until(start: Instant, offset: Duration) {
    sleep_until((start + offset).into()).await;
}
