//! The decisions of the platform's stand-in, without sockets and clocks.

use std::{num::NonZeroU32, time::Duration};

use laburnum_core::{
    store::{Call, LeaseId, Reply},
    time::Instant,
    view::State,
};
use laburnumworks::standin::platform::{
    List,
    fault::Faults,
    list::Change,
    system::{self, Input, Output},
    table::{Bucket, Kind, Tables, Ticket},
};

use crate::service::{get, name, swap, vm, watch};

/// The tables with a clock that a case sets.
struct Machine {
    tables: Tables,
    now: Instant,
    last: u64,
}

impl Machine {
    fn new(faults: Faults) -> Machine {
        let mut tables = Tables::new(List::default());
        tables.faults = faults;
        Machine { tables, now: Instant(0), last: 0 }
    }

    /// Runs a tick with these inputs; the tickets count on from the last.
    fn tick(&mut self, inputs: Vec<Input>) -> Vec<(u64, Output)> {
        let mut outbox = Vec::new();
        let mut numbered = Vec::new();
        for input in inputs {
            self.last += 1;
            numbered.push((Ticket(self.last), input));
        }
        system::run(&mut self.tables, self.now, numbered, &mut outbox);
        outbox.into_iter().map(|(ticket, output)| (ticket.0, output)).collect()
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
    }

    fn call(&mut self, call: Call) -> Option<Reply> {
        match self.tick(vec![Input::Call { vm: None, call }]).pop() {
            Some((_, Output::Reply(reply))) => Some(reply),
            None => None,
            other => panic!("{other:?}"),
        }
    }

    fn listed(&mut self) -> usize {
        match self.call(Call::List) {
            Some(Reply::Listed { vms, .. }) => vms.len(),
            other => panic!("{other:?}"),
        }
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

cases! {
    a_lease_lapses_at_its_end_and_not_before => {
        let mut machine = Machine::new(Faults::default());
        let lease = LeaseId(1);
        assert_eq!(machine.call(Call::Grant { ttl: ms(100) }), Some(Reply::Leased { lease }));
        machine.pass(99);
        assert_eq!(machine.call(Call::Keep { lease }), Some(Reply::Leased { lease }));
        machine.pass(99);
        assert_eq!(machine.call(Call::Keep { lease }), Some(Reply::Leased { lease }));
        machine.pass(100);
        assert_eq!(machine.call(Call::Keep { lease }), Some(Reply::Lapsed));
    };
    the_next_deadline_is_the_earliest => {
        let mut machine = Machine::new(Faults::default());
        assert_eq!(machine.tables.next_deadline(), None);
        machine.call(Call::Grant { ttl: ms(100) });
        machine.call(watch("a", 0, 30));
        assert_eq!(machine.tables.next_deadline(), Some(Instant(30_000)));
        machine.pass(30);
        let outputs = machine.tick(vec![]);
        assert!(matches!(outputs[..], [(2, Output::Reply(Reply::Changed { .. }))]), "{outputs:?}");
        assert_eq!(machine.tables.next_deadline(), Some(Instant(100_000)));
    };
    changes_of_the_list_are_shown_in_order_after_the_lag => {
        let mut machine = Machine::new(Faults { list_lag: ms(500), ..Faults::default() });
        machine.tick(vec![Input::ChangeList(Change::PutVm(vm("vm-1", State::Live)))]);
        machine.pass(200);
        machine.tick(vec![Input::ChangeList(Change::RemoveVm(name("vm-1")))]);
        assert_eq!(machine.listed(), 0);
        machine.pass(299);
        assert_eq!(machine.listed(), 0);
        machine.pass(1);
        assert_eq!(machine.listed(), 1);
        machine.pass(199);
        assert_eq!(machine.listed(), 1);
        machine.pass(1);
        assert_eq!(machine.listed(), 0);
    };
    a_delayed_call_takes_effect_when_it_is_due => {
        let mut machine = Machine::new(Faults { delay: ms(40), ..Faults::default() });
        assert_eq!(machine.call(swap("a", None, b"1")), None);
        assert_eq!(machine.tables.next_deadline(), Some(Instant(40_000)));
        machine.pass(40);
        assert_eq!(machine.tick(vec![]).len(), 1);
        assert_eq!(machine.tables.keys.entry("a").unwrap().value, b"1");
    };
    a_rate_allows_a_second_at_once_and_no_more => {
        let (mut bucket, rate) = (Bucket::default(), NonZeroU32::new(4).unwrap());
        let taken = (0..10).filter(|_| bucket.take(Instant(0), rate)).count();
        assert_eq!(taken, 4);
        assert!(!bucket.take(Instant(249_999), rate));
        assert!(bucket.take(Instant(250_000), rate));
        assert!(!bucket.take(Instant(250_000), rate));
    };
    a_refused_call_is_counted => {
        let mut machine =
            Machine::new(Faults { reads_per_second: Some(NonZeroU32::MIN), ..Faults::default() });
        machine.call(get("a"));
        let reply = machine.call(get("a"));
        assert!(matches!(reply, Some(Reply::Refused { .. })), "{reply:?}");
        assert_eq!(machine.tables.calls[&Kind::Get], 2);
    };
    a_watch_before_a_forgotten_removal_is_outdated => {
        let mut machine = Machine::new(Faults::default());
        for round in 0..70_000_u64 {
            let key = format!("k/{round}");
            machine.tables.keys.put(key.clone(), Vec::new(), None);
            machine.tables.keys.remove(&key);
        }
        let forgotten = machine.tables.keys.last_discarded();
        assert!(forgotten > 0);
        assert_eq!(machine.call(watch("k/", 1, 0)), Some(Reply::Outdated));
        let reply = machine.call(watch("k/", 139_998, 0));
        let expected = Reply::Changed {
            entries: vec![], removed: vec!["k/69999".to_owned()], change: 140_000,
        };
        assert_eq!(reply, Some(expected));
    };
}
