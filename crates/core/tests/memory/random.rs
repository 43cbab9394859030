//! Random series of what callers do keep the table within its limits.

use laburnum_core::memory::{Holder, Party, Purpose, Row};
use proptest::prelude::*;

use crate::harness::{LIMITS, Memory};

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    Open(Party),
    Receive(usize, usize),
    Work(usize),
    Answer(usize, usize),
    Send(usize, usize),
    Finish(usize),
    /// A reply grows, which begins if there are not as many.
    Reply(usize, usize),
    /// A reply arrives, and is dropped at once.
    Arrive(usize),
    /// A connection to a target is opened.
    Link(usize),
    /// One becomes idle.
    Rest(usize),
    /// One ends.
    Unlink(usize),
    /// A connection ends, and what is held for it is dropped.
    End(usize),
    /// Every connection that was told to close ends.
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    let party = prop_oneof![Just(Party::Caller), Just(Party::Probe), Just(Party::Vm)];
    prop_oneof![
        (0..300u64).prop_map(Step::Pass),
        party.prop_map(Step::Open),
        (0..50usize, 0..400usize).prop_map(|(row, bytes)| Step::Receive(row, bytes)),
        (0..50usize).prop_map(Step::Work),
        (0..50usize, 0..400usize).prop_map(|(row, bytes)| Step::Answer(row, bytes)),
        (0..50usize, 0..400usize).prop_map(|(row, bytes)| Step::Send(row, bytes)),
        (0..50usize).prop_map(Step::Finish),
        (0..20usize, 0..400usize).prop_map(|(reply, bytes)| Step::Reply(reply, bytes)),
        (0..20usize).prop_map(Step::Arrive),
        (0..300usize).prop_map(Step::Link),
        (0..20usize).prop_map(Step::Rest),
        (0..20usize).prop_map(Step::Unlink),
        (0..50usize).prop_map(Step::End),
        Just(Step::Close),
    ]
}

/// A table with what is held for each connection, as the owners of the bytes know it.
struct Model {
    memory: Memory,
    held: Vec<(Holder, Purpose, usize)>,
    replies: Vec<(Holder, usize)>,
}

impl Model {
    fn pick(&self, row: usize) -> Option<Holder> {
        let ids: Vec<Holder> = self.memory.tables.rows.keys().copied().collect();
        ids.get(row).copied()
    }

    fn pick_link(&self, link: usize) -> Option<Holder> {
        self.memory.tables.links.keys().copied().nth(link)
    }

    fn grow(&mut self, id: Holder, purpose: Purpose, bytes: usize) {
        if self.memory.grow(id, purpose, bytes).is_ok() {
            self.held.push((id, purpose, bytes));
        }
    }

    fn end(&mut self, id: Holder) {
        let (dropped, kept): (Vec<_>, Vec<_>) =
            self.held.drain(..).partition(|(holder, ..)| *holder == id);
        self.held = kept;
        for (holder, purpose, bytes) in dropped {
            self.memory.tables.subtract(Some(holder), purpose, bytes);
        }
        self.memory.tables.remove(id);
    }

    fn grow_reply(&mut self, reply: usize, bytes: usize) {
        if reply >= self.replies.len() {
            self.replies.push((self.memory.tables.insert_reply(), 0));
        }
        let index = reply.min(self.replies.len() - 1);
        let (id, length) = self.replies[index];
        if self.memory.grow_reply(id, bytes).is_ok() {
            self.replies[index].1 = length + bytes;
        }
    }

    fn end_reply(&mut self, id: Holder) {
        let Some(index) = self.replies.iter().position(|reply| reply.0 == id) else { return };
        let (_, length) = self.replies.remove(index);
        self.memory.tables.remove_reply(id);
        self.memory.tables.subtract(None, Purpose::Answer, length);
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Reply(reply, bytes) => self.grow_reply(reply, bytes),
            Step::Arrive(reply) => {
                let Some((id, _)) = self.replies.get(reply).copied() else { return };
                self.end_reply(id);
            }
            // A connection for which there is no room is not opened.
            Step::Link(bytes) => drop(self.memory.open_link(bytes)),
            Step::Rest(link) => {
                let Some(id) = self.pick_link(link) else { return };
                self.memory.rest_link(id);
            }
            Step::Unlink(link) => {
                let Some(id) = self.pick_link(link) else { return };
                self.memory.tables.remove_link(id);
            }
            Step::Pass(millis) => self.memory.pass(millis),
            Step::Open(party) => drop(self.memory.open(party, 10)),
            Step::Receive(row, bytes) => {
                let Some(id) = self.pick(row) else { return };
                self.memory.receive(id, bytes);
                self.grow(id, Purpose::Request, bytes);
            }
            Step::Work(row) => {
                let Some(id) = self.pick(row) else { return };
                // A caller that is refused is only not worked for.
                let _ = self.memory.work(id);
            }
            Step::Answer(row, bytes) => {
                let Some(id) = self.pick(row) else { return };
                self.grow(id, Purpose::Answer, bytes);
                let _ = self.memory.answer(id, 0);
            }
            Step::Send(row, bytes) => {
                let Some(id) = self.pick(row) else { return };
                self.memory.send(id, bytes);
            }
            Step::Finish(row) => {
                let Some(id) = self.pick(row) else { return };
                self.memory.finish(id);
            }
            Step::End(row) => {
                let Some(id) = self.pick(row) else { return };
                self.end(id);
            }
            Step::Close => {
                for id in std::mem::take(&mut self.memory.closing) {
                    self.end_reply(id);
                    self.memory.tables.remove_link(id);
                    self.end(id);
                }
            }
        }
    }

    fn check(&self) {
        let tables = &self.memory.tables;
        let held: usize = self.held.iter().map(|(.., bytes)| bytes).sum();
        let arriving: usize = self.replies.iter().map(|(_, length)| length).sum();
        assert_eq!(tables.arriving, arriving);
        let given_up = tables.replies.values().filter(|reply| reply.is_closing);
        assert_eq!(tables.given_up, given_up.map(|reply| reply.bytes).sum::<usize>());
        assert_eq!(
            tables.bytes(),
            held + arriving + tables.bases,
            "the sums are those of the parts"
        );
        let open = tables.rows.values().filter(|row| !row.is_closing);
        assert_eq!(tables.bases, open.clone().map(|row| row.base).sum::<usize>());
        assert_eq!(tables.connections(), open.count());
        let closing = tables.rows.values().filter(|row| row.is_closing);
        assert_eq!(tables.closing, closing.map(Row::total).sum::<usize>());
        let links = tables.links.values();
        assert_eq!(tables.linked, links.clone().map(|link| link.base).sum::<usize>());
        let unlinked = links.filter(|link| link.is_closing).map(|link| link.base);
        assert_eq!(tables.unlinked, unlinked.sum::<usize>());
        let total = tables.total_bytes() - tables.unlinked;
        assert!(total <= LIMITS.max_total_bytes(), "{total}");
        assert!(tables.connections() <= LIMITS.connections);
        assert!(tables.bases <= LIMITS.connection_bytes());
        assert!(tables.bytes() <= LIMITS.bytes + LIMITS.closing_bytes(), "{}", tables.bytes());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]
    #[test]
    fn any_series_of_steps_keeps_the_limits(steps in prop::collection::vec(step(), 1..200)) {
        let mut model = Model { memory: Memory::new(), held: Vec::new(), replies: Vec::new() };
        for step in steps {
            model.take(step);
            model.check();
        }
    }
}
