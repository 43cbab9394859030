//! A store in virtual time, with a feed that reads it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use laburnum_core::{
    digest::Fingerprint,
    log::{Event, Line},
    name::Name,
    relay::{
        View,
        feed::{Feed, Format, Input, Limits, Outbox, Subject, progress::Progress, table::OwnVm},
        route::Config,
        view::{Target, Vm},
    },
    store::{Call, CallId, Entry, LeaseId, Reply, Version},
    time::Instant,
};

use crate::bed;

/// A VM with a share of a core in thousandths.
pub fn vm(share: u32) -> Vm {
    Vm { domain: bed::name("near"), address: "10.9.9.9:7000".parse().unwrap(), share }
}

/// Entries hold the share of a VM, the version of a configuration or the service of a target.
struct Text;

impl Format for Text {
    fn subject(&self, key: &str) -> Subject {
        match key.split_once('/') {
            Some(("target", id)) => Subject::Target(bed::name(id)),
            Some(("vm", name)) => Subject::Vm(bed::name(name)),
            Some(("held", request)) => Subject::Held(request.parse().unwrap()),
            None if key == "config" => Subject::Config,
            _ => Subject::Other,
        }
    }

    fn vm_prefix(&self) -> &str {
        "vm/"
    }

    fn vm_key(&self, name: &Name) -> String {
        format!("vm/{name}")
    }

    fn vm(&self, entry: &Entry) -> Result<Vm, String> {
        let text = String::from_utf8(entry.value.clone()).map_err(|e| e.to_string())?;
        text.parse().map(vm).map_err(|_| text)
    }

    fn held_key(&self, request: Fingerprint) -> String {
        format!("held/{request}")
    }

    fn write_vm(&self, vm: &Vm) -> Vec<u8> {
        vm.share.to_string().into_bytes()
    }

    fn watch_prefix(&self) -> &str {
        ""
    }

    fn config(&self, entry: &Entry) -> Result<Config, String> {
        let text = String::from_utf8(entry.value.clone()).map_err(|e| e.to_string())?;
        let version = text.parse::<u64>().map_err(|e| e.to_string())?;
        Ok(bed::config(version, vec![bed::single("desk")], 10))
    }

    fn target(&self, entry: &Entry) -> Result<Target, String> {
        let text = String::from_utf8(entry.value.clone()).map_err(|e| e.to_string())?;
        let service = Name::try_from(text.as_str()).map_err(|e| e.to_string())?;
        Ok((*bed::target("any", service.as_str()).1).clone())
    }
}

/// The changes that a reply to a watch holds at most.
const PAGE: usize = 50;

pub const LIMITS: Limits = Limits {
    watch_wait: Duration::from_secs(30),
    watch_gap: Duration::from_millis(500),
    first_pause: Duration::from_millis(150),
    longest_pause: Duration::from_millis(1200),
    registration_window: Duration::from_secs(2),
    lapse_grace: Duration::from_millis(2500),
};

/// A store with the feed of one VM.
pub struct World {
    pub now: Instant,
    pub feed: Feed,
    pub view: Arc<View>,
    pub lines: Vec<Line>,
    pub calls: Vec<(Instant, Call)>,
    /// Whether calls fail.
    pub is_down: bool,
    /// Whether calls are never answered.
    pub is_silent: bool,
    /// What other VMs say in the next step.
    pub heard: Vec<Progress>,
    /// What other VMs are told.
    pub told: Vec<(SocketAddr, Progress)>,
    /// The requests that the VM holds back from the next step on.
    pub held: Vec<Fingerprint>,
    /// The calls that report such requests, and the one that is open.
    pub reports: Vec<Call>,
    report: Option<(CallId, Call)>,
    /// The oldest change that is still known.
    pub oldest: u64,
    entries: BTreeMap<String, (u64, Vec<u8>)>,
    changes: Vec<(u64, String)>,
    revision: u64,
    open: Option<(CallId, Call, Instant)>,
}

impl World {
    /// A store with a configuration and two targets, before the first call.
    pub fn new() -> World {
        let mut world = World::empty();
        world.put("config", "3");
        world.put("target/desk-1", "desk");
        world.put("target/desk-2", "desk");
        world
    }

    /// A store without entries.
    pub fn empty() -> World {
        World::of(170)
    }

    /// A store without entries, for a VM with a share of a core in thousandths.
    pub fn of(share: u32) -> World {
        let own = OwnVm { name: bed::name("own"), vm: vm(share) };
        World {
            now: Instant(1_000_000),
            feed: Feed::new(LIMITS, Box::new(Text), own, 4, 3),
            view: Arc::default(),
            lines: Vec::new(),
            calls: Vec::new(),
            is_down: false,
            is_silent: false,
            heard: Vec::new(),
            told: Vec::new(),
            held: Vec::new(),
            reports: Vec::new(),
            report: None,
            oldest: 0,
            entries: BTreeMap::new(),
            changes: Vec::new(),
            revision: 10,
            open: None,
        }
    }

    pub fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        self.entries.insert(key.to_owned(), (self.revision, value.as_bytes().to_vec()));
        self.changes.push((self.revision, key.to_owned()));
    }

    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.entries.remove(key);
        self.changes.push((self.revision, key.to_owned()));
    }

    /// Forgets all changes so far, as a store does that discards its history.
    pub fn compact(&mut self) {
        self.oldest = self.revision;
    }

    /// Lets time pass in steps of a few milliseconds.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            self.now = self.now + Duration::from_millis(5);
        }
    }

    /// The newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn version(&self) -> Option<u64> {
        self.view.config.as_ref().map(|config| config.version)
    }

    pub fn has(&self, id: &str) -> bool {
        self.view.targets.contains_key(&bed::name(id))
    }

    pub fn logged(&self, event: Event) -> usize {
        self.lines.iter().filter(|line| line.event == event).count()
    }

    fn step(&mut self) {
        let mut replies: Vec<(CallId, Reply)> = self.answer().into_iter().collect();
        replies.extend(self.answer_report());
        let held = std::mem::take(&mut self.held);
        let mut out = Outbox::default();
        let progress = std::mem::take(&mut self.heard);
        self.feed.step(self.now, Input { replies, progress, held }, &mut out);
        self.told.extend(out.progress);
        self.lines.extend(out.lines);
        if let Some(view) = out.view {
            self.view = view;
        }
        for (id, call) in out.calls {
            if is_report(&call) {
                assert!(self.report.is_none(), "two reports at a time");
                self.reports.push(call.clone());
                self.report = Some((id, call));
                continue;
            }
            self.calls.push((self.now, call.clone()));
            let is_given_up = self.logged(Event::StoreSilent) > 0;
            assert!(self.open.is_none() || is_given_up, "two calls at a time");
            self.open = Some((id, call, self.now));
        }
    }

    /// Reports are answered at once.
    fn answer_report(&mut self) -> Option<(CallId, Reply)> {
        let (id, call) = self.report.take()?;
        let down = Reply::Refused { detail: "down".to_owned() };
        let reply = match call {
            _ if self.is_down => down,
            Call::Grant { .. } => Reply::Leased { lease: LeaseId(9) },
            call => self.read(&call, self.now)?,
        };
        Some((id, reply))
    }

    fn answer(&mut self) -> Option<(CallId, Reply)> {
        let (id, call, since) = self.open.clone()?;
        if self.is_silent {
            // The client gives a call up after two seconds, a watch after its wait.
            let wait = if let Call::Watch { wait, .. } = call { wait } else { Duration::ZERO };
            if self.now.since(since) < wait + Duration::from_secs(2) {
                return None;
            }
        }
        let reply = if self.is_down || self.is_silent {
            Reply::Refused { detail: "down".to_owned() }
        } else {
            self.read(&call, since)?
        };
        self.open = None;
        Some((id, reply))
    }

    fn read(&mut self, call: &Call, since: Instant) -> Option<Reply> {
        let change = self.revision;
        match call {
            Call::Get { key } => Some(Reply::Value { entry: self.entry(key), change }),
            Call::Scan { prefix } | Call::Peek { prefix } => {
                let keys = self.entries.keys().filter(|key| key.starts_with(prefix));
                let entries = keys.filter_map(|key| self.entry(key)).collect();
                Some(Reply::Entries { entries, change })
            }
            Call::Watch { after, .. } if *after < self.oldest => Some(Reply::Outdated),
            Call::Watch { after, wait, .. } => {
                let is_over = self.now.since(since) >= *wait;
                let later = self.changes.iter().filter(|(revision, _)| revision > after);
                let later: Vec<&(u64, String)> = later.take(PAGE).collect();
                let change = later.last().map_or(change, |(revision, _)| *revision);
                let keys: Vec<&String> = later.into_iter().map(|(_, key)| key).collect();
                if keys.is_empty() && !is_over {
                    return None;
                }
                let entries = keys.iter().filter_map(|key| self.entry(key)).collect();
                let removed =
                    keys.into_iter().filter(|key| !self.entries.contains_key(*key)).cloned();
                Some(Reply::Changed { entries, removed: removed.collect(), change })
            }
            Call::Swap { key, expect, value, .. } => {
                let current = self.entry(key);
                if current.as_ref().map(|entry| entry.version) != *expect {
                    return Some(Reply::Conflict { current });
                }
                let text = String::from_utf8(value.clone()).unwrap();
                self.put(key, &text);
                Some(Reply::Swapped { version: Version(self.revision) })
            }
            other => panic!("{other:?}"),
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let (revision, value) = self.entries.get(key)?;
        Some(Entry { key: key.to_owned(), version: Version(*revision), value: value.clone() })
    }
}

/// Whether a call tells others of a request that is held back.
fn is_report(call: &Call) -> bool {
    match call {
        Call::Grant { .. } => true,
        Call::Swap { key, .. } => key.starts_with("held/"),
        _ => false,
    }
}
