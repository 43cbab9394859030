//! The loop of a traffic thread.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use laburnum_core::{
    border::Clock,
    notice::Notice,
    target,
    traffic::{Answer, Call, Engine, Event, Outbox},
    view::{Lane, View},
};
use tokio::{
    sync::{
        mpsc::{Receiver, UnboundedReceiver},
        watch,
    },
    time::sleep,
};

use super::{Borders, Ready, handle::Input};
use crate::{
    inbox::{Pending, take_ready},
    wire::{self, Body},
};

/// The longest sleep between two ticks when no event comes.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The most events of each channel that one tick takes.
const MAX_BATCH: usize = 4096;

/// The receiving ends of the channels of a traffic thread.
pub struct Inbox {
    /// Calls from the front.
    pub inputs: UnboundedReceiver<Input>,
    /// Messages from other traffic threads, whose sending waits while the
    /// channel is full.
    pub frames: Receiver<wire::Frame>,
    /// Losses of messages to other traffic threads.
    pub losses: UnboundedReceiver<wire::Lost>,
    /// Events from the client of the targets.
    pub targets: UnboundedReceiver<target::Event>,
    /// Notices from the control thread.
    pub notices: UnboundedReceiver<Notice>,
    /// Becomes true when the thread must end.
    pub stop: watch::Receiver<bool>,
}

/// The parts that a traffic thread is made from.
pub struct Parts {
    /// The engine, which holds the tables and systems.
    pub engine: Engine,
    /// The channels into the thread.
    pub inbox: Inbox,
    pub clock: Box<dyn Clock>,
    /// The borders through which the thread acts.
    pub borders: Borders,
    /// The number of the thread among the traffic threads of the VM.
    pub number: u16,
    /// Records whether the thread can answer callers.
    pub ready: Ready,
}

/// Runs a traffic thread until it is stopped or the control thread has ended.
///
/// The thread waits for an event or for the earliest time at which the engine
/// has something to do, takes the events that are ready, runs one tick of the
/// engine and carries out the outbox of the tick.
pub async fn run_loop(parts: Parts) {
    let mut thread = Thread {
        engine: parts.engine,
        clock: parts.clock,
        borders: parts.borders,
        number: parts.number,
        ready: parts.ready,
        is_ready: false,
        pending: Pending::default(),
    };
    let mut inbox = parts.inbox;
    let mut batch = Batch::default();
    loop {
        let wake = thread.engine.wake();
        let pause = wake.map_or(MAX_SLEEP, |at| at.remaining(thread.clock.now()).min(MAX_SLEEP));
        let is_open = batch.fill(&mut inbox, pause).await;
        if !is_open {
            return;
        }
        thread.tick(&mut batch);
    }
}

/// The events of one tick, by the channel that they came through.
#[derive(Default)]
struct Batch {
    inputs: Vec<Input>,
    frames: Vec<wire::Frame>,
    losses: Vec<wire::Lost>,
    targets: Vec<target::Event>,
    notices: Vec<Notice>,
}

impl Batch {
    /// Waits until a channel has events or `pause` is over, then takes the
    /// events that are ready. Returns false when the thread must end.
    async fn fill(&mut self, inbox: &mut Inbox, pause: Duration) -> bool {
        // A channel whose senders are all gone is always ready, so waiting for
        // it would spin.
        let has_front = !(inbox.inputs.is_closed() && inbox.inputs.is_empty());
        let has_peers = !(inbox.frames.is_closed() && inbox.frames.is_empty());
        tokio::select! {
            biased;
            _ = inbox.stop.wait_for(|stop| *stop) => return false,
            count = inbox.notices.recv_many(&mut self.notices, MAX_BATCH) => {
                if count == 0 {
                    return false;
                }
            }
            _ = inbox.targets.recv_many(&mut self.targets, MAX_BATCH) => {}
            _ = inbox.frames.recv_many(&mut self.frames, MAX_BATCH), if has_peers => {}
            _ = inbox.losses.recv_many(&mut self.losses, MAX_BATCH) => {}
            _ = inbox.inputs.recv_many(&mut self.inputs, MAX_BATCH), if has_front => {}
            () = sleep(pause) => {}
        }
        take_ready(&mut inbox.targets, &mut self.targets, MAX_BATCH);
        take_ready(&mut inbox.losses, &mut self.losses, MAX_BATCH);
        while self.frames.len() < MAX_BATCH {
            let Ok(frame) = inbox.frames.try_recv() else { break };
            self.frames.push(frame);
        }
        take_ready(&mut inbox.inputs, &mut self.inputs, MAX_BATCH);
        true
    }
}

struct Thread {
    engine: Engine,
    clock: Box<dyn Clock>,
    borders: Borders,
    number: u16,
    ready: Ready,
    is_ready: bool,
    pending: Pending<Call, Answer>,
}

impl Thread {
    fn tick(&mut self, batch: &mut Batch) {
        let mut events = Vec::new();
        for notice in batch.notices.drain(..) {
            if let Notice::View(view) = &notice {
                self.borders.peers.update(traffic_addresses(view));
            }
            events.push(Event::Notice(notice));
        }
        events.extend(batch.targets.drain(..).map(Event::Target));
        events.extend(batch.frames.drain(..).filter_map(message_event));
        events.extend(batch.losses.drain(..).map(|lost| Event::Lost { lane: lost.to }));
        for input in batch.inputs.drain(..) {
            events.push(self.pending.register(input, |call| Event::Abandoned { call }));
        }
        let mut out = Outbox::default();
        self.engine.tick(self.clock.now(), events, &mut out);
        self.carry_out(out);
        let is_ready = self.engine.is_ready();
        if std::mem::replace(&mut self.is_ready, is_ready) != is_ready {
            self.ready.set(self.number, is_ready);
        }
    }

    fn carry_out(&mut self, out: Outbox) {
        for command in out.commands {
            self.borders.targets.command(command);
        }
        for (lane, messages) in out.messages {
            for message in messages {
                self.borders.peers.send(&lane, message);
            }
        }
        for report in out.reports {
            self.borders.control.report(report);
        }
        for (call, answer) in out.answers {
            self.borders.meter.answered(&answer);
            self.pending.answer(call, answer);
        }
        for line in &out.lines {
            self.borders.journal.write(line);
        }
        self.borders.meter.count(&out.counts);
        self.borders.meter.observe(&self.engine);
    }
}

/// Returns the event for a frame from a traffic thread, and none for other
/// frames.
fn message_event(frame: wire::Frame) -> Option<Event> {
    match frame.body {
        Body::Traffic(message) => Some(Event::Message { from: frame.from, message }),
        Body::Control(_) | Body::Relay(_) => None,
    }
}

/// Returns the addresses of the traffic threads of the VMs in a view.
fn traffic_addresses(view: &View) -> BTreeMap<Lane, SocketAddr> {
    let mut addresses = BTreeMap::new();
    for vm in view.vms.values() {
        for (thread, &address) in vm.traffic.iter().enumerate() {
            let thread = u16::try_from(thread).unwrap_or(u16::MAX);
            addresses.insert(Lane { vm: vm.name.clone(), thread }, address);
        }
    }
    addresses
}
