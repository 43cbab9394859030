//! Tests of the decisions of the platform's stand-in, without sockets or a real
//! clock.

use std::{num::NonZeroU32, time::Duration};

use laburnum_core::{
    store::{Call, LeaseId, Position, Reply},
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

/// The tables of the stand-in with a clock that the case advances.
struct Simulation {
    tables: Tables,
    now: Instant,
    last_ticket: u64,
}

impl Simulation {
    fn new(faults: Faults) -> Simulation {
        let mut tables = Tables::new(List::default());
        tables.faults = faults;
        Simulation { tables, now: Instant(0), last_ticket: 0 }
    }

    /// Runs a tick with these inputs, numbered by consecutive tickets, and returns
    /// the outputs with their tickets.
    fn tick(&mut self, inputs: Vec<Input>) -> Vec<(u64, Output)> {
        let mut outbox = Vec::new();
        let mut numbered = Vec::new();
        for input in inputs {
            self.last_ticket += 1;
            numbered.push((Ticket(self.last_ticket), input));
        }
        system::run(&mut self.tables, self.now, numbered, &mut outbox);
        outbox.into_iter().map(|(ticket, output)| (ticket.0, output)).collect()
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
    }

    fn call(&mut self, call: Call) -> Option<Reply> {
        match self.tick(vec![Input::Call { vm: None, connection: None, call }]).pop() {
            Some((_, Output::Reply(reply))) => Some(reply),
            None => None,
            other => panic!("{other:?}"),
        }
    }

    fn listed_vm_count(&mut self) -> usize {
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
        let mut simulation = Simulation::new(Faults::default());
        let lease = LeaseId(1);
        assert_eq!(simulation.call(Call::Grant { ttl: ms(100) }), Some(Reply::Leased { lease }));
        simulation.advance(99);
        assert_eq!(simulation.call(Call::Keep { lease }), Some(Reply::Leased { lease }));
        simulation.advance(99);
        assert_eq!(simulation.call(Call::Keep { lease }), Some(Reply::Leased { lease }));
        simulation.advance(100);
        assert_eq!(simulation.call(Call::Keep { lease }), Some(Reply::Lapsed));
    };
    the_next_deadline_is_the_earliest => {
        let mut simulation = Simulation::new(Faults::default());
        assert_eq!(simulation.tables.next_deadline(), None);
        simulation.call(Call::Grant { ttl: ms(100) });
        simulation.call(watch("a", 0, 30));
        assert_eq!(simulation.tables.next_deadline(), Some(Instant(30_000)));
        simulation.advance(30);
        let outputs = simulation.tick(vec![]);
        assert!(matches!(outputs[..], [(2, Output::Reply(Reply::Changed { .. }))]), "{outputs:?}");
        assert_eq!(simulation.tables.next_deadline(), Some(Instant(100_000)));
    };
    changes_of_the_list_are_shown_in_order_after_the_lag => {
        let mut simulation = Simulation::new(Faults { list_lag: ms(500), ..Faults::default() });
        simulation.tick(vec![Input::ChangeList(Change::PutVm(vm("vm-1", State::Live)))]);
        simulation.advance(200);
        simulation.tick(vec![Input::ChangeList(Change::RemoveVm(name("vm-1")))]);
        assert_eq!(simulation.listed_vm_count(), 0);
        simulation.advance(299);
        assert_eq!(simulation.listed_vm_count(), 0);
        simulation.advance(1);
        assert_eq!(simulation.listed_vm_count(), 1);
        simulation.advance(199);
        assert_eq!(simulation.listed_vm_count(), 1);
        simulation.advance(1);
        assert_eq!(simulation.listed_vm_count(), 0);
    };
    a_delayed_call_takes_effect_when_it_is_due => {
        let mut simulation = Simulation::new(Faults { delay: ms(40), ..Faults::default() });
        assert_eq!(simulation.call(swap("a", None, b"1")), None);
        assert_eq!(simulation.tables.next_deadline(), Some(Instant(40_000)));
        simulation.advance(40);
        assert_eq!(simulation.tick(vec![]).len(), 1);
        assert_eq!(simulation.tables.keys.entry("a").unwrap().value, b"1");
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
        let mut simulation = Simulation::new(Faults {
            reads_per_second: Some(NonZeroU32::MIN),
            ..Faults::default()
        });
        simulation.call(get("a"));
        let reply = simulation.call(get("a"));
        assert!(matches!(reply, Some(Reply::Refused { .. })), "{reply:?}");
        assert_eq!(simulation.tables.calls[&Kind::Get], 2);
    };
    a_watch_before_a_forgotten_removal_is_outdated => {
        let mut simulation = Simulation::new(Faults::default());
        for round in 0..70_000_u64 {
            let key = format!("k/{round}");
            simulation.tables.keys.put(key.clone(), Vec::new(), None);
            simulation.tables.keys.remove(&key);
        }
        let forgotten = simulation.tables.keys.last_discarded();
        assert!(forgotten > 0);
        assert_eq!(simulation.call(watch("k/", 1, 0)), Some(Reply::Outdated));
        let reply = simulation.call(watch("k/", 139_998, 0));
        let expected = Reply::Changed {
            entries: vec![], removed: vec!["k/69999".to_owned()], position: Position::new(0, 140_000),
        };
        assert_eq!(reply, Some(expected));
    };
}
