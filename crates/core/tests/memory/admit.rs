//! Connections for which there is no place.

use laburnum_core::memory::{Full, Party, Purpose};

use crate::harness::{BASE, LIMITS, Memory};

cases! {
    a_new_connection_takes_the_place_of_the_one_that_is_idle_for_longest => {
        let mut memory = Memory::new();
        let first = memory.open(Party::Caller, 2).unwrap();
        memory.pass(1);
        memory.open(Party::Caller, 2).unwrap();
        memory.pass(200);
        memory.open(Party::Caller, 2).unwrap();
        assert_eq!(memory.closing, [first]);
    };
    a_connection_that_has_just_been_opened_is_not_closed => {
        let mut memory = Memory::new();
        memory.open(Party::Caller, 1).unwrap();
        memory.pass(99);
        assert_eq!(memory.open(Party::Caller, 1), Err(Full));
        memory.pass(1);
        assert!(memory.open(Party::Caller, 1).is_ok());
    };
    no_connection_is_admitted_while_what_is_being_ended_fills_everything => {
        let mut memory = Memory::new();
        let caller = memory.caller();
        memory.reply(LIMITS.bytes - BASE);
        memory.grow(caller, Purpose::Answer, LIMITS.closing_bytes()).unwrap();
        assert_eq!(memory.open(Party::Caller, 100), Err(Full));
    };
    a_connection_whose_request_is_worked_on_is_not_closed => {
        let mut memory = Memory::new();
        let worker = memory.open(Party::Caller, 1).unwrap();
        memory.receive(worker, 5);
        memory.work(worker).unwrap();
        memory.pass(10_000);
        assert_eq!(memory.open(Party::Caller, 1), Err(Full));
        assert_eq!(memory.closing, []);
    };
    // Guards against a caller that pipelines requests so that one is always worked on.
    a_slow_reader_is_closed_although_its_next_request_is_worked_on => {
        let mut memory = Memory::new();
        let reader = memory.open(Party::Caller, 1).unwrap();
        memory.answer(reader, 100).unwrap();
        memory.receive(reader, 5);
        memory.work(reader).unwrap();
        memory.pass(200);
        memory.open(Party::Caller, 1).unwrap();
        assert_eq!(memory.closing, [reader]);
    };
    a_slow_request_goes_before_a_faster_one_and_both_before_an_idle_connection => {
        let mut memory = Memory::new();
        let idle = memory.open(Party::Caller, 3).unwrap();
        let slow = memory.open(Party::Caller, 3).unwrap();
        let fast = memory.open(Party::Caller, 3).unwrap();
        memory.receive(slow, 1);
        memory.receive(fast, 1000);
        memory.pass(200);
        memory.open(Party::Caller, 3).unwrap();
        memory.open(Party::Caller, 3).unwrap();
        memory.open(Party::Caller, 3).unwrap();
        assert_eq!(memory.closing, [slow, fast, idle]);
    };
    // Guards against a slow reader that stays because it was answered, at the cost of a caller
    // that sends its first request.
    a_slow_reader_goes_before_a_faster_first_request => {
        let mut memory = Memory::new();
        let reader = memory.open(Party::Caller, 2).unwrap();
        let sender = memory.open(Party::Caller, 2).unwrap();
        memory.answer(reader, 100).unwrap();
        memory.send(reader, 1);
        memory.receive(sender, 1000);
        memory.pass(200);
        memory.open(Party::Caller, 2).unwrap();
        assert_eq!(memory.closing, [reader]);
    };
    a_connection_that_had_an_answer_goes_after_one_that_had_none => {
        let mut memory = Memory::new();
        let proven = memory.open(Party::Caller, 2).unwrap();
        memory.answer(proven, 0).unwrap();
        memory.finish(proven);
        memory.pass(10);
        let silent = memory.open(Party::Caller, 2).unwrap();
        memory.pass(200);
        memory.open(Party::Caller, 2).unwrap();
        assert_eq!(memory.closing, [silent]);
    };
    a_crowd_at_one_port_closes_none_at_another => {
        let mut memory = Memory::new();
        let probe = memory.open(Party::Probe, 1).unwrap();
        memory.pass(200);
        for _ in 0..4 {
            memory.open(Party::Caller, 2).unwrap();
            memory.pass(200);
        }
        assert!(!memory.closing.contains(&probe));
    };
    connections_of_other_vms_are_not_closed => {
        let mut memory = Memory::new();
        memory.open(Party::Vm, 1).unwrap();
        memory.pass(10_000);
        assert_eq!(memory.open(Party::Vm, 1), Err(Full));
    };
    all_ports_together_have_no_more_connections_than_the_process_may_have => {
        let mut memory = Memory::new();
        let first = memory.caller();
        for _ in 1..LIMITS.connections {
            memory.open(Party::Vm, 100).unwrap();
        }
        memory.pass(200);
        memory.open(Party::Vm, 100).unwrap();
        assert_eq!(memory.closing, [first]);
        assert_eq!(memory.open(Party::Vm, 100), Err(Full));
    };
    no_connection_is_closed_for_a_refusal => {
        let mut memory = Memory::new();
        for _ in 0..LIMITS.connections {
            memory.caller();
        }
        memory.pass(200);
        assert_eq!(memory.open(Party::Refused, 64), Err(Full));
        assert_eq!(memory.closing, []);
    };
    the_bytes_of_connections_are_limited => {
        let mut memory = Memory::new();
        memory.tables.insert(laburnum_core::memory::Port { party: Party::Vm, thread: 1 },
            LIMITS.connection_bytes() - BASE, memory.now);
        memory.open(Party::Vm, 100).unwrap();
        assert_eq!(memory.open(Party::Vm, 100), Err(Full));
    };
    a_connection_that_ended_leaves_its_place => {
        let mut memory = Memory::new();
        let first = memory.open(Party::Vm, 1).unwrap();
        memory.grow(first, Purpose::Request, 50).unwrap();
        memory.tables.remove(first);
        assert_eq!(memory.tables.bytes(), 50);
        memory.tables.subtract(Some(first), Purpose::Request, 50);
        assert_eq!(memory.tables.bytes(), 0);
        memory.open(Party::Vm, 1).unwrap();
    };
}
