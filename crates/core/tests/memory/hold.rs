//! Bytes for which there is no room.

use std::time::Duration;

use laburnum_core::{
    memory::{Full, Purpose, Transfer},
    time::Instant,
};

use crate::harness::{LIMITS, Memory};

/// The time for which a reader may take nothing.
const PATIENCE: Duration = Duration::from_secs(10);

cases! {
    requests_leave_room_for_answers => {
        let mut memory = Memory::new();
        let caller = memory.caller();
        memory.receive(caller, 1);
        let left = LIMITS.request_bytes() - memory.tables.bytes();
        memory.grow(caller, Purpose::Request, left).unwrap();
        assert_eq!(memory.grow(caller, Purpose::Request, 1), Err(Full));
        memory.grow(caller, Purpose::Answer, LIMITS.bytes - LIMITS.request_bytes()).unwrap();
        assert_eq!(memory.grow(caller, Purpose::Answer, 1), Err(Full));
    };
    slow_readers_are_closed_for_a_new_answer => {
        let mut memory = Memory::new();
        let (slow, slower) = (memory.caller(), memory.caller());
        let fast = memory.caller();
        for reader in [slow, slower, fast] {
            memory.answer(reader, 300).unwrap();
        }
        memory.send(fast, 200);
        memory.send(slow, 10);
        memory.pass(200);
        let other = memory.caller();
        memory.answer(other, 300).unwrap();
        assert_eq!(memory.closing, [slower]);
    };
    // Guards against slow readers that look fast, as buffers of the network took much at once.
    a_reader_is_measured_from_when_the_network_takes_no_more => {
        let mut memory = Memory::new();
        let (slow, steady) = (memory.caller(), memory.caller());
        for reader in [slow, steady] {
            memory.answer(reader, 400).unwrap();
            memory.send(reader, 300);
        }
        memory.wait_for_reader(slow);
        memory.pass(200);
        let other = memory.caller();
        memory.answer(other, 300).unwrap();
        assert_eq!(memory.closing, [slow]);
    };
    a_request_that_does_not_arrive_is_closed_for_another => {
        let mut memory = Memory::new();
        let stuck = memory.caller();
        memory.receive(stuck, 600);
        memory.grow(stuck, Purpose::Request, 600).unwrap();
        memory.pass(200);
        let other = memory.caller();
        memory.receive(other, 300);
        memory.grow(other, Purpose::Request, 300).unwrap();
        assert_eq!(memory.closing, [stuck]);
    };
    nothing_is_closed_for_what_does_not_fit_all_the_same => {
        let mut memory = Memory::new();
        let (reader, worker) = (memory.caller(), memory.caller());
        memory.answer(reader, 100).unwrap();
        memory.receive(worker, 1);
        memory.grow(worker, Purpose::Request, 600).unwrap();
        memory.work(worker).unwrap();
        memory.pass(200);
        let other = memory.caller();
        assert_eq!(memory.grow(other, Purpose::Request, 400), Err(Full));
        assert_eq!(memory.closing, []);
    };
    no_caller_is_closed_for_its_own_answer => {
        let mut memory = Memory::new();
        let reader = memory.caller();
        memory.answer(reader, 900).unwrap();
        memory.pass(200);
        assert_eq!(memory.grow(reader, Purpose::Answer, 200), Err(Full));
        assert_eq!(memory.closing, []);
    };
    no_request_is_worked_on_while_answers_leave_no_room => {
        let mut memory = Memory::new();
        let reader = memory.caller();
        memory.answer(reader, 990).unwrap();
        let other = memory.caller();
        memory.receive(other, 1);
        assert_eq!(memory.work(other), Err(Full));
        memory.pass(200);
        memory.work(other).unwrap();
        assert_eq!(memory.closing, [reader]);
    };
    requests_that_wait_keep_no_short_request_out => {
        let mut memory = Memory::new();
        let waiting = memory.caller();
        memory.receive(waiting, 1);
        let left = LIMITS.request_bytes() - memory.tables.bytes();
        memory.grow(waiting, Purpose::Request, left).unwrap();
        memory.work(waiting).unwrap();
        let other = memory.caller();
        memory.receive(other, 1);
        memory.work(other).unwrap();
        assert_eq!(memory.closing, []);
    };
    a_connection_is_told_to_close_once => {
        let mut memory = Memory::new();
        let reader = memory.caller();
        memory.answer(reader, 400).unwrap();
        memory.pass(200);
        let other = memory.caller();
        memory.answer(other, 700).unwrap();
        memory.pass(50);
        assert_eq!(memory.closing, [reader]);
        assert_eq!(memory.grow(other, Purpose::Answer, 400), Err(Full));
        assert_eq!(memory.closing, [reader]);
    };
    // Guards against slow readers of replies, which count from their arrival on.
    a_slow_reader_of_a_reply_that_counts_already_is_closed => {
        let mut memory = Memory::new();
        memory.tables.add(None, Purpose::Answer, 900);
        let reader = memory.caller();
        memory.answer_attributed(reader, 900);
        memory.pass(200);
        let other = memory.caller();
        memory.answer(other, 300).unwrap();
        assert_eq!(memory.closing, [reader]);
        memory.tables.remove(reader);
        memory.tables.subtract(None, Purpose::Answer, 900);
        assert_eq!((memory.tables.closing, memory.tables.bytes()), (0, 310));
    };
    a_reply_that_was_read_is_not_counted_for_its_reader => {
        let mut memory = Memory::new();
        let reader = memory.caller();
        memory.answer_attributed(reader, 900);
        memory.finish(reader);
        assert_eq!(memory.tables.rows[&reader].total(), 0);
    };
    // Guards against a reader that takes a byte now and then.
    a_byte_now_and_then_gives_a_reader_no_more_time => {
        let start = Instant(1_000);
        let mut reader = Transfer::new(start);
        for second in 1..=100 {
            reader.advance(1, start + Duration::from_secs(second));
        }
        let allowed = reader.deadline(PATIENCE, 4096).since(start);
        assert!(allowed < PATIENCE + Duration::from_millis(25), "{allowed:?}");
    };
    a_reader_that_keeps_the_rate_has_the_time_for_a_long_answer => {
        let start = Instant(1_000);
        let mut reader = Transfer::new(start);
        for second in 1..=2048 {
            reader.advance(4096, start + Duration::from_secs(second));
        }
        let deadline = reader.deadline(PATIENCE, 4096).since(start);
        assert_eq!(deadline, PATIENCE + Duration::from_secs(2048));
    };
    a_reader_that_took_much_has_no_more_patience_for_the_rest => {
        let start = Instant(1_000);
        let mut reader = Transfer::new(start);
        reader.advance(8 << 20, start + Duration::from_secs(1));
        let deadline = reader.deadline(PATIENCE, 4096).since(start);
        assert_eq!(deadline, PATIENCE + Duration::from_secs(1));
    };
}
