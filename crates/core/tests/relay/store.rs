//! A simulated store in virtual time, with the feed of one VM that reads it.

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

use crate::harness;

/// Returns a VM with `share` thousandths of a core.
pub fn vm(share: u32) -> Vm {
    Vm { domain: harness::name("near"), address: "10.9.9.9:7000".parse().unwrap(), share }
}

/// A format with plain text entries: the share of a VM, the version of a
/// configuration, or the service of a target.
struct TextFormat;

impl Format for TextFormat {
    fn subject(&self, key: &str) -> Subject {
        match key.split_once('/') {
            Some(("target", id)) => Subject::Target(harness::name(id)),
            Some(("vm", name)) => Subject::Vm(harness::name(name)),
            Some(("held", request)) => Subject::Quarantined(request.parse().unwrap()),
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

    fn quarantine_key(&self, request: Fingerprint) -> String {
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
        Ok(harness::config(version, vec![harness::single("desk")], 10))
    }

    fn target(&self, entry: &Entry) -> Result<Target, String> {
        let text = String::from_utf8(entry.value.clone()).map_err(|e| e.to_string())?;
        let service = Name::try_from(text.as_str()).map_err(|e| e.to_string())?;
        Ok((*harness::target("any", service.as_str()).1).clone())
    }
}

/// The most changes in a reply to a watch.
const MAX_CHANGES_PER_REPLY: usize = 50;

pub const LIMITS: Limits = Limits {
    watch_wait: Duration::from_secs(30),
    watch_gap: Duration::from_millis(500),
    first_pause: Duration::from_millis(150),
    longest_pause: Duration::from_millis(1200),
    registration_window: Duration::from_secs(2),
    lapse_grace: Duration::from_millis(2500),
};

/// A simulated store with the feed of one VM.
pub struct World {
    pub now: Instant,
    pub feed: Feed,
    pub view: Arc<View>,
    pub lines: Vec<Line>,
    pub calls: Vec<(Instant, Call)>,
    /// Whether calls are refused.
    pub is_down: bool,
    /// Whether calls are never answered.
    pub is_silent: bool,
    /// The announcements of other VMs that the feed gets in the next tick.
    pub incoming: Vec<Progress>,
    /// The announcements that the feed has sent to other VMs.
    pub announced: Vec<(SocketAddr, Progress)>,
    /// The requests that the VM quarantines in the next tick.
    pub quarantined: Vec<Fingerprint>,
    /// The calls that report quarantined requests.
    pub reports: Vec<Call>,
    open_report: Option<(CallId, Call)>,
    /// The revision before which the store has discarded its history.
    pub oldest: u64,
    entries: BTreeMap<String, (u64, Vec<u8>)>,
    changes: Vec<(u64, String)>,
    revision: u64,
    open_call: Option<(CallId, Call, Instant)>,
}

impl World {
    /// Creates a store with a configuration and two targets, before the first call.
    pub fn new() -> World {
        let mut world = World::empty();
        world.put("config", "3");
        world.put("target/desk-1", "desk");
        world.put("target/desk-2", "desk");
        world
    }

    /// Creates a store without entries.
    pub fn empty() -> World {
        World::with_share(170)
    }

    /// Creates a store without entries, for a VM with `share` thousandths of a core.
    pub fn with_share(share: u32) -> World {
        let own = OwnVm { name: harness::name("own"), vm: vm(share) };
        World {
            now: Instant(1_000_000),
            feed: Feed::new(LIMITS, Box::new(TextFormat), own, 4, 3),
            view: Arc::default(),
            lines: Vec::new(),
            calls: Vec::new(),
            is_down: false,
            is_silent: false,
            incoming: Vec::new(),
            announced: Vec::new(),
            quarantined: Vec::new(),
            reports: Vec::new(),
            open_report: None,
            oldest: 0,
            entries: BTreeMap::new(),
            changes: Vec::new(),
            revision: 10,
            open_call: None,
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

    /// Discards the history of all changes so far.
    pub fn compact(&mut self) {
        self.oldest = self.revision;
    }

    /// Advances time by `span`, with a tick every 5 ms.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
            self.now = self.now + Duration::from_millis(5);
        }
    }

    /// Returns the revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn version(&self) -> Option<u64> {
        self.view.config.as_ref().map(|config| config.version)
    }

    pub fn has_target(&self, id: &str) -> bool {
        self.view.targets.contains_key(&harness::name(id))
    }

    /// Returns how many log lines of `event` there are.
    pub fn logged(&self, event: Event) -> usize {
        self.lines.iter().filter(|line| line.event == event).count()
    }

    fn tick(&mut self) {
        let mut replies: Vec<(CallId, Reply)> = self.answer_call().into_iter().collect();
        replies.extend(self.answer_report());
        let quarantined = std::mem::take(&mut self.quarantined);
        let mut out = Outbox::default();
        let progress = std::mem::take(&mut self.incoming);
        self.feed.tick(self.now, Input { replies, progress, quarantined }, &mut out);
        self.announced.extend(out.progress);
        self.lines.extend(out.lines);
        if let Some(view) = out.view {
            self.view = view;
        }
        for (id, call) in out.calls {
            if is_report(&call) {
                assert!(self.open_report.is_none(), "two reports at a time");
                self.reports.push(call.clone());
                self.open_report = Some((id, call));
                continue;
            }
            self.calls.push((self.now, call.clone()));
            let is_given_up = self.logged(Event::StoreSilent) > 0;
            assert!(self.open_call.is_none() || is_given_up, "two calls at a time");
            self.open_call = Some((id, call, self.now));
        }
    }

    /// Answers the open call of a report, without delay.
    fn answer_report(&mut self) -> Option<(CallId, Reply)> {
        let (id, call) = self.open_report.take()?;
        let down = Reply::Refused { detail: "down".to_owned() };
        let reply = match call {
            _ if self.is_down => down,
            Call::Grant { .. } => Reply::Leased { lease: LeaseId(9) },
            call => self.read(&call, self.now)?,
        };
        Some((id, reply))
    }

    fn answer_call(&mut self) -> Option<(CallId, Reply)> {
        let (id, call, since) = self.open_call.clone()?;
        if self.is_silent {
            // The client gives up a call after 2 s, and a watch 2 s after its wait.
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
        self.open_call = None;
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
                let later: Vec<&(u64, String)> = later.take(MAX_CHANGES_PER_REPLY).collect();
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

/// Returns whether a call belongs to the report of a quarantined request.
fn is_report(call: &Call) -> bool {
    match call {
        Call::Grant { .. } => true,
        Call::Swap { key, .. } => key.starts_with("held/"),
        _ => false,
    }
}
