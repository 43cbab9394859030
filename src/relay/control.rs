//! The control thread: the feed and the client of the store.

use std::{sync::Arc, time::Duration};

use laburnum_core::{
    border::{Clock, Platform},
    digest::Fingerprint,
    log::Event,
    relay::{
        View,
        feed::{Feed, Input, Limits, Outbox, table::OwnVm},
        view::Vm,
    },
};
use laburnum_platform::{format::Format, store::Client};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use super::{Shared, datagram::Datagram};

/// The longest sleep when the feed has nothing to do.
const IDLE: Duration = Duration::from_secs(60);

/// The time for a call of the store, which answers in milliseconds and in
/// hundreds of them while it is slow.
const CALL: Duration = Duration::from_secs(2);

/// Times of the feed: a change is in force within a second, a store that is
/// away is asked about once a second by each VM.
const LIMITS: Limits = Limits {
    watch_wait: Duration::from_secs(30),
    watch_gap: Duration::from_millis(500),
    first_pause: Duration::from_millis(150),
    longest_pause: Duration::from_millis(1200),
    registration_window: Duration::from_secs(2),
    lapse_grace: Duration::from_millis(2500),
};

/// The most replies that one step takes.
const MAX_BATCH: usize = 64;

/// What the control thread has for itself.
pub struct Seed {
    /// Where views go.
    pub view: watch::Sender<Arc<View>>,
    /// Where it notes whether the VM takes requests.
    pub ready: watch::Sender<bool>,
    /// Whether the VM is leaving.
    pub leaving: watch::Receiver<bool>,
    /// Whether no larger VM is in reach.
    pub alone: watch::Receiver<bool>,
    /// The requests that the traffic thread holds back.
    pub held: mpsc::UnboundedReceiver<Fingerprint>,
}

/// Runs the control thread until the VM stops.
pub async fn run(shared: Shared, mut seed: Seed) {
    let (replies, mut receiver) = mpsc::unbounded_channel();
    let (store, name) = (shared.settings.store, &shared.settings.vm.name);
    let mut client: Box<dyn Platform> = Box::new(Client::new(store, name, CALL, replies));
    let vms = shared.settings.retry.vms;
    let mut feed = Feed::new(LIMITS, Box::new(Format), own(&shared), vms, rand::random());
    let mut stop = shared.stop.clone();
    let mut batch = Vec::new();
    let mut progress = Vec::new();
    let mut held = Vec::new();
    let mut datagram = Datagram::open(&shared).await;
    loop {
        let mut out = Outbox::default();
        feed.set_alone(*seed.alone.borrow_and_update());
        let input = Input {
            replies: std::mem::take(&mut batch),
            progress: std::mem::take(&mut progress),
            held: std::mem::take(&mut held),
        };
        feed.step(shared.clock.now(), input, &mut out);
        for (id, call) in out.calls {
            client.call(id, call);
        }
        for (to, progress) in out.progress {
            datagram.send(to, progress).await;
        }
        if let Some(view) = out.view {
            seed.view.send_replace(view);
        }
        for line in &out.lines {
            shared.writer.write(line, shared.clock.now());
        }
        note(&shared, &seed, feed.is_ready());
        let wake = feed.wake();
        let pause = wake.map_or(IDLE, |at| at.remaining(shared.clock.now()).min(IDLE));
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => return,
            _ = seed.leaving.changed() => {}
            Ok(()) = seed.alone.changed() => {}
            heard = datagram.receive() => progress.extend(heard),
            _ = receiver.recv_many(&mut batch, MAX_BATCH) => {}
            Some(request) = seed.held.recv() => held.push(request),
            () = sleep(pause) => {}
        }
    }
}

/// The VM as others know it.
fn own(shared: &Shared) -> OwnVm {
    let settings = &shared.settings;
    let vm = Vm {
        domain: settings.vm.domain.clone(),
        address: settings.listen.peers,
        share: settings.vm.millicores,
    };
    OwnVm { name: settings.vm.name.clone(), vm }
}

/// Notes whether the VM takes requests.
fn note(shared: &Shared, seed: &Seed, is_fed: bool) {
    let is_ready = is_fed && !*seed.leaving.borrow();
    let is_changed =
        seed.ready.send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
    if is_changed && is_ready {
        shared.log(Event::Ready, Vec::new());
    }
}
