//! The control thread, which runs the feed and the client of the store.

use std::{sync::Arc, time::Duration};

use laburnum_core::{
    border::{Clock, Platform},
    log::Event,
    relay::{
        Quarantine, Reach, Suspicion, View,
        feed::{Feed, Input, Limits, Outbox, table::OwnVm},
        view::Vm,
    },
};
use laburnum_platform::{format::Format, store::Client};
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use super::{
    Shared,
    datagram::{Datagram, Message},
};
use crate::metric::gauge::{Gauge, Part};

/// The longest sleep while no timer of the feed is set.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// The time limit for a call of the store, which answers within milliseconds, and
/// within hundreds of them while it is slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest number of replies that one tick takes.
const MAX_BATCH: usize = 64;

/// The channel ends that the control thread owns.
pub struct Resources {
    pub view: watch::Sender<Arc<View>>,
    /// Publishes whether the VM accepts requests.
    pub ready: watch::Sender<bool>,
    /// Whether the VM is leaving.
    pub leaving: watch::Receiver<bool>,
    /// Whether this VM reaches larger VMs.
    pub reach: watch::Receiver<Reach>,
    /// The requests that the traffic thread has quarantined.
    pub quarantined: mpsc::UnboundedReceiver<Quarantine>,
    /// What the traffic thread found out about requests that may crash targets.
    pub found: mpsc::UnboundedReceiver<Vec<Suspicion>>,
    /// Passes on what other VMs found out.
    pub heard: mpsc::UnboundedSender<Vec<Suspicion>>,
}

/// Runs the control thread until the VM stops.
pub async fn run(shared: Shared, mut resources: Resources) {
    let (outcomes, mut receiver) = mpsc::unbounded_channel();
    let (store, name) = (shared.settings.store, &shared.settings.vm.name);
    let mut client: Box<dyn Platform> = Box::new(Client::new(store, name, CALL_TIMEOUT, outcomes));
    let vms = shared.settings.retry.vms;
    let mut feed =
        Feed::new(Limits::DEFAULT, Box::new(Format), own_vm(&shared), vms, rand::random());
    let mut stop = shared.stop.clone();
    let mut batch = Vec::new();
    let mut progress = Vec::new();
    let mut quarantined = Vec::new();
    let mut suspicions = Vec::new();
    let mut datagram = Datagram::open(&shared).await;
    loop {
        let mut out = Outbox::default();
        let input = Input {
            outcomes: std::mem::take(&mut batch),
            progress: std::mem::take(&mut progress),
            quarantined: std::mem::take(&mut quarantined),
            suspicions: std::mem::take(&mut suspicions),
            reach: *resources.reach.borrow_and_update(),
        };
        feed.tick(shared.clock.now(), input, &mut out);
        if out.drop_idle {
            client.drop_idle();
        }
        for (id, call) in out.calls {
            client.call(id, call);
        }
        for (to, progress) in out.progress {
            datagram.send(to, &Message::Progress(progress)).await;
        }
        for (to, suspicions) in out.suspicions {
            datagram.send(to, &Message::Suspicions(suspicions)).await;
        }
        if let Some(view) = out.view {
            update_gauges(&shared, &view, &feed);
            resources.view.send_replace(view);
        }
        for line in &out.lines {
            shared.writer.write(line, shared.clock.now());
        }
        update_ready(&shared, &resources, feed.is_ready());
        let wake = feed.wake();
        let pause = wake.map_or(MAX_SLEEP, |at| at.remaining(shared.clock.now()).min(MAX_SLEEP));
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => return,
            _ = resources.leaving.changed() => {}
            Ok(()) = resources.reach.changed() => {}
            received = datagram.receive() => match received {
                Some(Message::Progress(received)) => progress.push(received),
                // The receiver is dropped only when the VM stops.
                Some(Message::Suspicions(received)) => drop(resources.heard.send(received)),
                None => {}
            },
            _ = receiver.recv_many(&mut batch, MAX_BATCH) => {}
            Some(request) = resources.quarantined.recv() => quarantined.push(request),
            Some(found) = resources.found.recv() => suspicions.extend(found),
            () = sleep(pause) => {}
        }
    }
}

/// Returns the entry of this VM, as other VMs read it.
fn own_vm(shared: &Shared) -> OwnVm {
    let settings = &shared.settings;
    let vm = Vm {
        domain: settings.vm.domain.clone(),
        address: settings.listen.peers,
        share: settings.vm.millicores,
    };
    OwnVm { name: settings.vm.name.clone(), vm }
}

/// Updates the gauges of the routes and of the store. A new era changes the view too.
fn update_gauges(shared: &Shared, view: &View, feed: &Feed) {
    let set = |gauge, value| {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        shared.metrics.set(gauge, Part::Control, value);
    };
    set(Gauge::Revision, view.version());
    set(Gauge::StoreEra, feed.era().unwrap_or_default().0);
}

/// Publishes whether the VM accepts requests, and logs when it begins to.
fn update_ready(shared: &Shared, resources: &Resources, is_feed_ready: bool) {
    let is_ready = is_feed_ready && !*resources.leaving.borrow();
    let is_changed =
        resources.ready.send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
    if is_changed && is_ready {
        shared.log(Event::Ready, Vec::new());
    }
}
