//! A simulated store in virtual time, with the feeds of the VMs that read it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use laburnum_core::{
    digest::Fingerprint,
    log::{Event, Line},
    name::Name,
    relay::{
        Quarantine, Reach, Suspicion, View,
        feed::{
            Feed, Format, Input, Limits, Outbox, Subject,
            progress::{Progress, Reason},
            table::OwnVm,
        },
        route::Config,
        view::{Target, Vm},
    },
    store::{Call, CallId, Entry, Era, LeaseId, Outcome, Position, Reply, Version},
    time::Instant,
};

use crate::harness;

/// Returns a VM with `share` thousandths of a core.
pub fn vm(share: u32) -> Vm {
    Vm { domain: harness::name("near"), address: "10.9.9.9:7000".parse().unwrap(), share }
}

/// Returns the entry of a VM of a fleet, whose share tells it from the others.
fn read_vm(text: &str) -> Result<Vm, String> {
    let (share, address) = text.split_once('@').unwrap_or((text, "10.9.9.9:7000"));
    let share = share.parse().map_err(|_| text.to_owned())?;
    let address = address.parse().map_err(|_| text.to_owned())?;
    Ok(Vm { address, ..vm(share) })
}

/// A format with plain text entries: the share of a VM, the version of a
/// configuration, or the service of a target and which start it is of.
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
        read_vm(&text)
    }

    fn quarantine_key(&self, request: Fingerprint) -> String {
        format!("held/{request}")
    }

    fn write_vm(&self, vm: &Vm) -> Vec<u8> {
        format!("{}@{}", vm.share, vm.address).into_bytes()
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
        let (service, born) = text.split_once('@').unwrap_or((&text, "0"));
        let service = Name::try_from(service).map_err(|e| e.to_string())?;
        let born = born.parse().map_err(|_| text.clone())?;
        Ok(Target { born, ..(*harness::target("any", service.as_str()).1).clone() })
    }
}

/// The most changes in a reply to a watch.
const MAX_CHANGES_PER_REPLY: usize = 50;

/// The time after which the client gives up a call; for a watch, after its wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the requests are refused that a test quarantines.
pub const HOLD: Duration = Duration::from_secs(60);

/// The time between two ticks.
pub const STEP: Duration = Duration::from_millis(5);

pub const LIMITS: Limits = Limits::DEFAULT;

/// A copy of the data of the store.
#[derive(Clone)]
struct Copy {
    entries: BTreeMap<String, (u64, Vec<u8>)>,
    changes: Vec<(u64, String)>,
    revision: u64,
}

/// A simulated store.
#[derive(Default)]
pub struct Store {
    /// Whether calls are refused.
    pub is_down: bool,
    /// Whether calls are never answered, not even after the silence.
    pub is_silent: bool,
    /// The revision before which the store has discarded its history.
    oldest: u64,
    /// The number of times that the store came back from an older copy.
    era: u64,
    copy: Option<Copy>,
    entries: BTreeMap<String, (u64, Vec<u8>)>,
    changes: Vec<(u64, String)>,
    revision: u64,
}

impl Store {
    /// Creates a store that has had some changes and holds no entry.
    pub fn new() -> Store {
        Store { revision: 10, ..Store::default() }
    }

    pub fn put(&mut self, key: &str, value: &str) {
        self.put_bytes(key, value.as_bytes());
    }

    pub fn put_bytes(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        self.entries.insert(key.to_owned(), (self.revision, value.to_vec()));
        self.changes.push((self.revision, key.to_owned()));
    }

    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.entries.remove(key);
        self.changes.push((self.revision, key.to_owned()));
    }

    fn read(&mut self, call: &Call, since: Instant, now: Instant) -> Option<Reply> {
        let position = self.position();
        match call {
            Call::Get { key } => Some(Reply::Value { entry: self.entry(key), position }),
            Call::Grant { .. } => Some(Reply::Leased { lease: LeaseId(9) }),
            Call::Scan { prefix } | Call::Peek { prefix } => {
                let keys = self.entries.keys().filter(|key| key.starts_with(prefix));
                let entries = keys.filter_map(|key| self.entry(key)).collect();
                Some(Reply::Entries { entries, position })
            }
            Call::Watch { after, .. }
                if after.change < self.oldest || after.change > self.revision =>
            {
                Some(Reply::Outdated)
            }
            Call::Watch { after, wait, .. } => {
                let is_over = now.since(since) >= *wait;
                let later = self.changes.iter().filter(|(revision, _)| *revision > after.change);
                let later: Vec<&(u64, String)> = later.take(MAX_CHANGES_PER_REPLY).collect();
                let position = later.last().map_or(position, |(revision, _)| self.at(*revision));
                let keys: Vec<&String> = later.into_iter().map(|(_, key)| key).collect();
                if keys.is_empty() && !is_over {
                    return None;
                }
                let entries = keys.iter().filter_map(|key| self.entry(key)).collect();
                let removed =
                    keys.into_iter().filter(|key| !self.entries.contains_key(*key)).cloned();
                Some(Reply::Changed { entries, removed: removed.collect(), position })
            }
            Call::Swap { key, expect, value, .. } => {
                let current = self.entry(key);
                if current.as_ref().map(|entry| entry.version) != *expect {
                    return Some(Reply::Conflict { current });
                }
                self.put_bytes(key, value);
                Some(Reply::Swapped { version: Version(self.position()) })
            }
            other => panic!("{other:?}"),
        }
    }

    /// Returns whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns the value of a key as text.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.entries.get(key).and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns the number of VMs that are registered.
    pub fn registrations(&self) -> usize {
        self.entries.keys().filter(|key| key.starts_with("vm/")).count()
    }

    /// Takes a copy of the data.
    pub fn take_copy(&mut self) {
        let (entries, changes) = (self.entries.clone(), self.changes.clone());
        self.copy = Some(Copy { entries, changes, revision: self.revision });
    }

    /// Comes back from the copy, which begins a new era. What was written since the copy was
    /// taken is lost, and its revisions are given out again.
    pub fn restore(&mut self) {
        let Copy { entries, changes, revision } = self.copy.clone().expect("a copy was taken");
        (self.entries, self.changes, self.revision) = (entries, changes, revision);
        self.era += 1;
    }

    /// Starts the count of eras again.
    pub fn count_eras_anew(&mut self) {
        self.era = 0;
    }

    /// Returns the outcome of a call; no era belongs to one that was not answered.
    fn outcome(&self, id: CallId, reply: Reply) -> Outcome {
        let is_answer = !matches!(reply, Reply::Refused { .. } | Reply::Lost { .. });
        Outcome { id, era: is_answer.then_some(Era(self.era)), reply }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let (revision, value) = self.entries.get(key)?;
        let version = Version(self.at(*revision));
        Some(Entry { key: key.to_owned(), version, value: value.clone() })
    }

    /// Returns the position of the newest change.
    fn position(&self) -> Position {
        self.at(self.revision)
    }

    /// Returns the position of a change of the current era.
    fn at(&self, change: u64) -> Position {
        Position::new(self.era, change)
    }
}

/// A call that the client of a VM has sent.
struct OpenCall {
    id: CallId,
    call: Call,
    since: Instant,
    /// Whether its answer is lost.
    is_lost: bool,
    /// Whether its connection has ended.
    is_ended: bool,
}

/// Returns what another VM announces.
pub fn announcement(position: Position, reason: Reason) -> Progress {
    Progress { from: harness::name("other"), position, reason }
}

/// A VM with its feed and the calls that it made.
pub struct Reader {
    pub feed: Feed,
    pub view: Arc<View>,
    pub lines: Vec<Line>,
    pub calls: Vec<(Instant, Call)>,
    /// The calls that report quarantined requests.
    pub reports: Vec<Call>,
    /// The announcements to other VMs.
    pub announced: Vec<(SocketAddr, Progress)>,
    /// The suspicions for other VMs.
    pub told: Vec<(SocketAddr, Vec<Suspicion>)>,
    /// Whether the VM reaches larger VMs.
    pub reach: Reach,
    open: Vec<OpenCall>,
}

impl Reader {
    /// Creates the feed of the VM `name`, which has not called the store yet.
    pub fn new(name: &str, vm: Vm, seed: u64) -> Reader {
        let own = OwnVm { name: harness::name(name), vm };
        Reader {
            feed: Feed::new(LIMITS, Box::new(TextFormat), own, 4, seed),
            view: Arc::default(),
            lines: Vec::new(),
            calls: Vec::new(),
            reports: Vec::new(),
            announced: Vec::new(),
            told: Vec::new(),
            reach: Reach::Served,
            open: Vec::new(),
        }
    }

    pub fn version(&self) -> Option<u64> {
        self.view.config.as_ref().map(|config| config.version)
    }

    pub fn has_target(&self, id: &str) -> bool {
        self.view.targets.contains_key(&harness::name(id))
    }

    /// Returns the announcements for a reason, one for each VM that got one.
    pub fn announced_as(&self, reason: Reason) -> Vec<Progress> {
        let announced = self.announced.iter().map(|(_, progress)| progress.clone());
        announced.filter(|progress| progress.reason == reason).collect()
    }

    /// Returns how many log lines of `event` there are.
    pub fn logged(&self, event: Event) -> usize {
        self.lines.iter().filter(|line| line.event == event).count()
    }

    /// Runs one tick with the replies of the store.
    pub fn tick(
        &mut self,
        now: Instant,
        store: &mut Store,
        progress: Vec<Progress>,
        quarantined: Vec<Fingerprint>,
        suspicions: Vec<Suspicion>,
    ) {
        let replies = self.replies(now, store);
        let mut out = Outbox::default();
        let quarantined = quarantined.into_iter().map(|request| Quarantine { request, hold: HOLD });
        let quarantined = quarantined.collect();
        let outcomes = replies.into_iter().map(|(id, reply)| store.outcome(id, reply)).collect();
        let input = Input { outcomes, progress, quarantined, suspicions, reach: self.reach };
        self.feed.tick(now, input, &mut out);
        self.announced.extend(out.progress);
        self.told.extend(out.suspicions);
        self.lines.extend(out.lines);
        if let Some(view) = out.view {
            self.view = view;
        }
        for (id, call) in out.calls {
            match kind(&call) {
                Kind::Report => self.reports.push(call.clone()),
                Kind::Read | Kind::Probe => self.calls.push((now, call.clone())),
            }
            assert_eq!(self.count(Kind::Report, &call), 0, "two reports at a time");
            let is_given_up = self.open.iter().any(|open| open.is_lost);
            assert!(is_given_up || self.count(Kind::Read, &call) == 0, "two calls at a time");
            let is_lost = store.is_silent;
            self.open.push(OpenCall { id, call, since: now, is_lost, is_ended: false });
        }
    }

    /// Lets the answers of all open calls be lost, as when their connections go silent.
    pub fn lose_calls(&mut self) {
        self.open.iter_mut().for_each(|open| open.is_lost = true);
    }

    /// Ends all open calls with their connections.
    pub fn end_calls(&mut self) {
        self.open.iter_mut().for_each(|open| open.is_ended = true);
    }

    /// Returns the number of open calls of a kind, if `call` is of that kind too.
    fn count(&self, wanted: Kind, call: &Call) -> usize {
        let is_wanted = |call: &Call| kind(call) == wanted;
        let open = self.open.iter().filter(|open| is_wanted(&open.call));
        if is_wanted(call) { open.count() } else { 0 }
    }

    fn replies(&mut self, now: Instant, store: &mut Store) -> Vec<(CallId, Reply)> {
        let mut replies = Vec::new();
        self.open.retain_mut(|open| {
            open.is_lost |= store.is_silent;
            let reply = reply(open, now, store);
            let is_open = reply.is_none();
            replies.extend(reply.map(|reply| (open.id, reply)));
            is_open
        });
        replies
    }
}

/// Returns the reply to an open call, if there is one yet.
fn reply(open: &OpenCall, now: Instant, store: &mut Store) -> Option<Reply> {
    if open.is_lost {
        let wait = if let Call::Watch { wait, .. } = open.call { wait } else { Duration::ZERO };
        let is_over = now.since(open.since) >= wait + CALL_TIMEOUT;
        return is_over.then(|| Reply::Refused { detail: "no answer".to_owned() });
    }
    if store.is_down || open.is_ended {
        return Some(Reply::Refused { detail: "down".to_owned() });
    }
    store.read(&open.call, open.since, now)
}

/// What a call of a feed is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// To know the state of the store.
    Read,
    /// To check whether the store answers.
    Probe,
    /// To report a quarantined request.
    Report,
}

fn kind(call: &Call) -> Kind {
    match call {
        Call::Grant { .. } => Kind::Report,
        Call::Swap { key, .. } if key.starts_with("held/") => Kind::Report,
        Call::Scan { prefix } if !prefix.is_empty() => Kind::Probe,
        _ => Kind::Read,
    }
}

/// A simulated store with the feed of one VM.
pub struct World {
    pub now: Instant,
    pub store: Store,
    pub own: Reader,
    /// The announcements of other VMs that the feed gets in the next tick.
    pub incoming: Vec<Progress>,
    /// The requests that the VM quarantines in the next tick.
    pub quarantined: Vec<Fingerprint>,
    /// What the VM finds out about requests by the next tick.
    pub suspicions: Vec<Suspicion>,
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
        World {
            now: Instant(1_000_000),
            store: Store::new(),
            own: Reader::new("own", vm(share), 3),
            incoming: Vec::new(),
            quarantined: Vec::new(),
            suspicions: Vec::new(),
        }
    }

    pub fn put(&mut self, key: &str, value: &str) {
        self.store.put(key, value);
    }

    pub fn remove(&mut self, key: &str) {
        self.store.remove(key);
    }

    /// Discards the history of all changes so far.
    pub fn compact(&mut self) {
        self.store.oldest = self.store.revision;
    }

    /// Advances time by `span`, with a tick in each step.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let incoming = std::mem::take(&mut self.incoming);
            let quarantined = std::mem::take(&mut self.quarantined);
            let suspicions = std::mem::take(&mut self.suspicions);
            self.own.tick(self.now, &mut self.store, incoming, quarantined, suspicions);
            self.now = self.now + STEP;
        }
    }

    /// Returns the position of the newest change.
    pub fn position(&self) -> Position {
        self.store.position()
    }

    /// Lets another VM announce the newest change in the next tick.
    pub fn announce(&mut self, reason: Reason) {
        self.announce_at(self.position(), reason);
    }

    /// Lets another VM announce a position in the next tick.
    pub fn announce_at(&mut self, position: Position, reason: Reason) {
        self.incoming.push(announcement(position, reason));
    }
}
