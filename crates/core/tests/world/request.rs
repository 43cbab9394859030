//! Requests of callers and their answers.

use std::{sync::Arc, time::Duration};

use laburnum_core::{
    claim,
    traffic::{Answer, Body, Call, Event, Found, Operate, Search},
};

use uuid::Builder;

use super::{
    World,
    control::EPOCH,
    name,
    oracle::{self, Request, Task},
};

impl World {
    /// Sends a search to a VM.
    pub fn search(&mut self, vm: &str, profile: &str, text: &str) -> Call {
        let call = self.next_call();
        let search = Search { profile: name(profile), text: text.into(), deadline: None };
        let text: Arc<str> = text.into();
        let again = !self.texts.insert(text.clone()) || self.targets.is_poison(&text);
        let terms = self.document.profiles.get(&name(profile));
        let coverage = terms.map_or(0, |terms| terms.coverage);
        self.ask(vm, call, Task::Search { text, coverage, again });
        self.deliver(&name(vm), Duration::ZERO, Event::Search { call, search });
        call
    }

    /// Sends an operation to a VM.
    pub fn operate(&mut self, vm: &str, key: u128, subject: u64, detail: &str) -> Call {
        let call = self.next_call();
        let operate = Operate {
            profile: name(super::FULL_COVERAGE),
            operation: name("clearance"),
            subject,
            detail: detail.into(),
            key: self.key(key),
            deadline: None,
        };
        self.ask(vm, call, Task::Operation { detail: detail.into() });
        self.deliver(&name(vm), Duration::ZERO, Event::Operate { call, operate });
        call
    }

    /// The idempotency key with this number, issued when it is first used.
    fn key(&mut self, number: u128) -> claim::Key {
        let millis = EPOCH + self.now.0 / 1000;
        let bytes = number.to_le_bytes().first_chunk::<10>().copied().unwrap_or_default();
        let new = || claim::Key(Builder::from_unix_timestamp_millis(millis, &bytes).into_uuid());
        *self.keys.entry(number).or_insert_with(new)
    }

    fn next_call(&mut self) -> Call {
        self.calls += 1;
        Call(self.calls)
    }

    fn ask(&mut self, vm: &str, call: Call, task: Task) {
        let row = &self.vms[&name(vm)];
        let due = self.now.max(row.paused_until) + super::DEADLINE;
        let request = Request { vm: name(vm), start: row.start, task, due };
        self.oracle.open.insert(call, request);
    }

    /// The answer that a call got.
    pub fn answer(&self, call: Call) -> &Answer {
        self.answers.get(&call).unwrap_or_else(|| panic!("{call:?} was not answered"))
    }

    /// The rows that a call got.
    pub fn found(&self, call: Call) -> &Found {
        match &self.answer(call).body {
            Body::Found(found) => found,
            other => panic!("{call:?} got {other:?}"),
        }
    }

    /// Sends a search, waits for its answer and returns its rows.
    pub fn find(&mut self, vm: &str, profile: &str, text: &str) -> Found {
        let call = self.search(vm, profile, text);
        self.run(Duration::from_millis(1100));
        self.found(call).clone()
    }

    /// The rows that an answer must hold: all of its version in what it covers.
    /// That they belong to the text that was asked for was checked when the
    /// answer came.
    pub fn check(&self, found: &Found) {
        let body = found.rows.first().map_or("", |row| &row.body);
        let text = self.texts.iter().rev().find(|text| body.ends_with(&***text));
        oracle::check(found, text.map_or("", |text| text));
    }
}
