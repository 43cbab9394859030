//! The real control engine of a VM, with the platform's service and operators.

use std::{sync::Arc, time::Duration};

use laburnum_core::{
    claims,
    control::{
        Answer, Codec, Engine, Event, Limits, Outbox, Record, Request, RequestId, Setup,
        request::Token,
    },
    name::Name,
    notice::{Notice, Report},
    profile::Revision,
    store::{Call, CallId, Reply},
    time::{Instant, Wall},
    traffic,
    view::{self, State, View},
};

use super::{
    Delivery, World, name,
    platform::{CALL_TIMEOUT, Mode, Platform},
};

/// The wall-clock time at which a world starts, in milliseconds.
pub const EPOCH: u64 = 1_700_000_000_000;

/// The time by which the platform's list is behind.
const LAG: Duration = Duration::from_millis(300);

/// The time after which a late write takes effect.
const LATE: Duration = Duration::from_millis(3100);

/// Encodes stored documents as JSON.
pub struct Json;

impl Codec for Json {
    fn encode(&self, record: &Record) -> Vec<u8> {
        serde_json::to_vec(record).unwrap()
    }

    fn decode(&self, value: &[u8]) -> Result<Record, String> {
        serde_json::from_slice(value).map_err(|e| e.to_string())
    }
}

/// The control thread of a VM.
pub struct Control {
    /// Its decisions.
    pub engine: Engine,
    /// The events that it has not seen yet.
    pub inbox: Vec<Event>,
    /// The last view that it published.
    pub view: Option<Arc<View>>,
    highest: Revision,
}

impl Control {
    /// The control thread of a VM that starts.
    pub fn new(vm: view::Vm, seed: u64) -> Control {
        let setup = Setup {
            vm,
            seeds: Vec::new(),
            limits: Limits::default(),
            claims: claims::Limits::default(),
            seed,
            codec: Box::new(Json),
        };
        Control {
            engine: Engine::new(setup),
            inbox: Vec::new(),
            view: None,
            highest: Revision::default(),
        }
    }

    /// When it has something to do next.
    pub fn wake(&self) -> Option<Instant> {
        if self.inbox.is_empty() { self.engine.wake() } else { Some(Instant::default()) }
    }
}

/// What the operators asked and were told.
#[derive(Default)]
pub struct Operators {
    /// Who asked for each publication, through which start of which VM.
    pub asked: std::collections::BTreeMap<RequestId, (String, Name, u64)>,
    /// What they were told.
    pub answers: std::collections::BTreeMap<RequestId, Answer>,
    /// The number of publications.
    pub marks: u32,
    last: u64,
}

impl World {
    /// The wall-clock time of a VM.
    fn wall(&self, vm: &Name) -> Wall {
        let skew = self.vms.get(vm).map_or(0, |row| row.skew);
        Wall((EPOCH + self.now.0 / 1000).saturating_add_signed(skew))
    }

    /// A new control thread, if this world has them.
    pub(super) fn new_control(&self, vm: &Name) -> Option<Control> {
        self.platform.as_ref()?;
        let row = view::Vm { incarnation: self.wall(vm).0, ..listed(vm, State::Live) };
        Some(Control::new(row, self.starts))
    }

    /// Lets the platform list what is so now, after a time.
    pub(super) fn relist(&mut self) {
        let vms = self.vms.values().filter_map(|vm| {
            let row = listed(&vm.name, vm.listed?);
            Some((vm.name.clone(), view::Vm { incarnation: 0, ..row }))
        });
        let list = Box::new((vms.collect(), self.targets.listed()));
        self.schedule(self.now + LAG, Delivery::List(list));
    }

    /// Whether every VM can learn in time what the platform lists.
    pub(super) fn is_list_read(&self) -> bool {
        let Some(platform) = &self.platform else { return true };
        let is_up = matches!(platform.mode, Mode::Up | Mode::ListOnly | Mode::Late);
        is_up && platform.delay <= LAG && self.is_calm()
    }

    /// Runs a step of the control thread of a VM.
    pub(super) fn step_control(&mut self, vm: &Name) {
        let wall = self.wall(vm);
        let now = self.now;
        let Some(row) = self.vms.get_mut(vm) else { return };
        let Some(control) = row.control.as_mut() else { return };
        if control.wake().is_none_or(|at| at > now) {
            return;
        }
        let events = std::mem::take(&mut control.inbox);
        let mut out = Outbox::default();
        control.engine.step(now, wall, events, &mut out);
        let revision = control.engine.tables().in_force.document.revision;
        assert!(revision >= control.highest, "{vm} went back to {revision:?}");
        control.highest = revision;
        let is_over = control.engine.leaving() && control.engine.idle(1);
        let start = row.start;
        self.carry_control(vm, start, out);
        if is_over {
            self.schedule(self.now, Delivery::Exit { vm: vm.clone() });
        }
    }

    fn carry_control(&mut self, vm: &Name, start: u64, out: Outbox) {
        for (_, notice) in out.notices {
            if let (Notice::View(view), Some(row)) = (&notice, self.vms.get_mut(vm)) {
                row.control.as_mut().unwrap().view = Some(view.clone());
            }
            self.deliver(vm, Duration::ZERO, traffic::Event::Notice(notice));
        }
        for post in out.messages {
            if let Some(after) = self.network.delay(vm, &post.vm) {
                self.inform(&post.vm, after, Event::Message(post.message));
            }
        }
        for (id, call) in out.calls {
            self.call(vm, start, id, call);
        }
        for (id, answer) in out.answers {
            let before = self.operators.answers.insert(id, answer);
            assert!(before.is_none(), "{id:?} was answered twice");
        }
        if self.operators.answers.len() > self.operators.last as usize {
            self.operators.last = self.operators.answers.len() as u64;
            self.check_operators();
        }
    }

    fn call(&mut self, vm: &Name, start: u64, id: CallId, call: Call) {
        let platform = self.platform.as_mut().unwrap();
        let caller = (vm.clone(), start);
        if platform.mode == Mode::Late && matches!(call, Call::Swap { .. }) {
            let lost = Reply::Lost { detail: "no answer".to_owned() };
            self.schedule(self.now + CALL_TIMEOUT, Delivery::Stored(caller, id, lost));
            self.schedule(self.now + LATE, Delivery::Late(call));
            return;
        }
        for (at, vm, id, reply) in platform.call(self.now, caller, id, call) {
            self.schedule(at, Delivery::Stored(vm, id, reply));
        }
    }

    /// Takes a write whose client has given it up.
    pub(super) fn write_late(&mut self, call: Call) {
        let answers = self.platform.as_mut().unwrap().apply_late(self.now, call);
        for (at, vm, id, reply) in answers {
            self.schedule(at, Delivery::Stored(vm, id, reply));
        }
    }

    /// Takes an answer of the platform's service.
    pub(super) fn stored(&mut self, caller: &(Name, u64), call: CallId, reply: Reply) {
        self.platform.as_mut().unwrap().end_watch(caller, call);
        if self.vms.get(&caller.0).is_some_and(|vm| vm.start == caller.1) {
            self.inform(&caller.0, Duration::ZERO, Event::Reply { call, reply });
        }
    }

    /// Delivers an event to a control thread after a time.
    pub fn inform(&mut self, vm: &Name, after: Duration, event: Event) {
        let Some(start) = self.vms.get(vm).map(|vm| vm.start) else { return };
        let delivery = Delivery::Control { vm: vm.clone(), start, event };
        self.schedule(self.now + after, delivery);
    }

    /// Hands the report of a traffic thread to its control thread.
    pub(super) fn report_to_control(&mut self, vm: &Name, report: Report) {
        if let Report::Claim { operation, request, .. } = &report {
            self.oracle.tokens.insert(*operation, request.token);
        }
        self.inform(vm, Duration::ZERO, Event::Report { thread: 0, report });
    }

    /// An operator publishes profiles through a VM.
    pub fn publish_profiles(&mut self, vm: &str, expect: Option<Revision>) -> RequestId {
        self.operators.marks += 1;
        let who = format!("operator-{}", self.operators.marks);
        let request = Request::Publish {
            profiles: super::profiles(1000 + self.operators.marks),
            expect,
            who: who.clone(),
            team: name("tests"),
            dry_run: false,
        };
        self.ask_operator(vm, who, request)
    }

    /// An operator asks through a VM what became of a publication.
    pub fn settle(&mut self, vm: &str, token: Token, who: String) -> RequestId {
        self.ask_operator(vm, who, Request::Settle { token })
    }

    fn ask_operator(&mut self, vm: &str, who: String, request: Request) -> RequestId {
        let id = RequestId(self.operators.asked.len() as u64 + 1);
        let vm = name(vm);
        self.operators.asked.insert(id, (who, vm.clone(), self.vms[&vm].start));
        self.inform(&vm, Duration::ZERO, Event::Request { id, request });
        id
    }

    /// The publications that are not settled, with who asked for them.
    pub fn unsettled(&self) -> Option<(Token, String)> {
        self.operators.answers.iter().rev().find_map(|(id, answer)| match answer {
            Answer::Unsettled { token } => Some((*token, self.operators.asked[id].0.clone())),
            _ => None,
        })
    }

    /// What was written as the document in force, in order.
    pub fn written(&self) -> Vec<Record> {
        let values = &self.platform.as_ref().unwrap().written;
        let mut records: Vec<Record> =
            values.iter().map(|value| Json.decode(value).unwrap()).collect();
        records.dedup();
        records
    }

    /// Checks that no operator was told a wrong thing and no revision went back.
    pub fn check_operators(&self) {
        let records = self.written();
        for pair in records.windows(2) {
            assert!(pair[0].document.revision < pair[1].document.revision, "{pair:?}");
        }
        for (id, answer) in &self.operators.answers {
            let who = &self.operators.asked[id].0;
            let mut found = records.iter().filter(|record| record.who == *who);
            let revision = found.next().map(|record| record.document.revision);
            assert!(found.next().is_none(), "{who} was written twice");
            match answer {
                Answer::Accepted { revision: told, .. } => assert_eq!(revision, Some(*told)),
                Answer::Unsettled { .. } => {}
                answer => assert_eq!(revision, None, "{who} was told {answer:?}"),
            }
        }
    }

    /// The platform's service.
    pub fn platform(&mut self) -> &mut Platform {
        self.platform.as_mut().expect("this world has control threads")
    }
}

/// A VM as the platform lists it.
fn listed(vm: &Name, state: State) -> view::Vm {
    let address = "127.0.0.1:1".parse().unwrap();
    view::Vm {
        name: vm.clone(),
        domain: name("domain-1"),
        incarnation: 0,
        state,
        control: address,
        traffic: vec![address],
    }
}
