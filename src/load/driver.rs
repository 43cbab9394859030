//! Sends arrivals at their times, however long the answers take.

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

/// The VMs that take queries, as a balancer knows them.
#[derive(Clone, Debug, Default)]
pub struct Entries(Arc<Mutex<Vec<SocketAddr>>>);

impl Entries {
    /// Makes a list.
    pub fn new(addresses: Vec<SocketAddr>) -> Entries {
        Entries(Arc::new(Mutex::new(addresses)))
    }

    fn pick(&self, number: usize) -> Option<SocketAddr> {
        let list = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        list.get(number % list.len().max(1)).copied()
    }

    /// Takes a VM out.
    pub fn remove(&self, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).retain(|own| *own != address);
    }

    /// Adds a VM.
    pub fn add(&self, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(address);
    }
}

/// Sends the arrivals and returns what came of each, after the last has ended.
pub async fn send_all(
    arrivals: Vec<Arrival>,
    profiles: &[Name],
    entries: &Entries,
    caller: &Caller,
    start: Instant,
) -> Vec<Sample> {
    let (sender, mut ends) = mpsc::unbounded_channel();
    for (number, arrival) in arrivals.into_iter().enumerate() {
        let intended = start + arrival.at;
        sleep_until(intended.into()).await;
        let (Some(entry), Some(profile)) = (entries.pick(number), profiles.get(arrival.service))
        else {
            continue;
        };
        let (sender, caller, profile) = (sender.clone(), caller.clone(), profile.clone());
        tokio::spawn(async move {
            let outcome = ask(&caller, entry, &profile, &arrival.text).await;
            let sample = Sample {
                at: arrival.at,
                service: arrival.service,
                took: intended.elapsed(),
                outcome,
            };
            // The receiver waits for every sender.
            let _ = sender.send(sample);
        });
    }
    drop(sender);
    let mut samples = Vec::new();
    while let Some(sample) = ends.recv().await {
        samples.push(sample);
    }
    samples
}

async fn ask(caller: &Caller, entry: SocketAddr, profile: &Name, text: &str) -> Outcome {
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

/// Waits until a time of the run.
pub async fn until(start: Instant, at: Duration) {
    sleep_until((start + at).into()).await;
}
