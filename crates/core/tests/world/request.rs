//! The callers' requests and their answers.

use std::{sync::Arc, time::Duration};

use laburnum_core::{
    claim,
    traffic::{Answer, Body, Call, Event, Found, Operate, Search},
};

use uuid::Builder;

use super::{
    World,
    control::START_MILLIS,
    name,
    oracle::{self, Request, Task},
};

impl World {
    /// Sends a search to a VM.
    pub fn search(&mut self, vm: &str, profile: &str, text: &str) -> Call {
        let call = self.next_call();
        let search = Search { profile: name(profile), text: text.into(), deadline: None };
        let text: Arc<str> = text.into();
        let is_resend = !self.texts.insert(text.clone()) || self.targets.is_poison(&text);
        let profile = self.document.profiles.get(&name(profile));
        let coverage = profile.map_or(0, |profile| profile.coverage);
        self.register(vm, call, Task::Search { text, coverage, is_resend });
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
        self.register(vm, call, Task::Operation { detail: detail.into() });
        self.deliver(&name(vm), Duration::ZERO, Event::Operate { call, operate });
        call
    }

    /// Returns the idempotency key with this number; its time of issue is that of its
    /// first use.
    fn key(&mut self, number: u128) -> claim::Key {
        let millis = START_MILLIS + self.now.0 / 1000;
        let bytes = number.to_le_bytes().first_chunk::<10>().copied().unwrap_or_default();
        let new = || claim::Key(Builder::from_unix_timestamp_millis(millis, &bytes).into_uuid());
        *self.keys.entry(number).or_insert_with(new)
    }

    fn next_call(&mut self) -> Call {
        self.calls += 1;
        Call(self.calls)
    }

    /// Registers a request with the oracle.
    fn register(&mut self, vm: &str, call: Call, task: Task) {
        let row = &self.vms[&name(vm)];
        let due = self.now.max(row.paused_until) + super::DEADLINE;
        let request = Request { vm: name(vm), start: row.start, task, due };
        self.oracle.open.insert(call, request);
    }

    /// Returns the answer to a call, which must have one.
    pub fn answer(&self, call: Call) -> &Answer {
        self.answers.get(&call).unwrap_or_else(|| panic!("{call:?} was not answered"))
    }

    /// Returns the rows of the answer to a search, which must have one.
    pub fn found(&self, call: Call) -> &Found {
        match &self.answer(call).body {
            Body::Found(found) => found,
            other => panic!("{call:?} got {other:?}"),
        }
    }

    /// Sends a search, runs past its deadline and returns the rows of its answer.
    pub fn find(&mut self, vm: &str, profile: &str, text: &str) -> Found {
        let call = self.search(vm, profile, text);
        self.run(Duration::from_millis(1100));
        self.found(call).clone()
    }

    /// Checks that an answer contains all rows of its version in the ranges that it
    /// covers. The text is inferred from the rows: the oracle has already checked
    /// that they match the text of the search.
    pub fn check(&self, found: &Found) {
        let body = found.rows.first().map_or("", |row| &row.body);
        let text = self.texts.iter().rev().find(|text| body.ends_with(&***text));
        oracle::check_rows(found, text.map_or("", |text| text));
    }
}
