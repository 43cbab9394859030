//! Connections to targets, which take memory too.

use laburnum_core::memory::{Full, Limits, Party, Purpose};

use crate::harness::{LIMITS, Memory};

cases! {
    idle_connections_to_targets_are_closed_for_another_one => {
        let mut memory = Memory::new();
        let older = memory.idle_link(LIMITS.total_bytes() - 100);
        memory.pass(1);
        memory.idle_link(100);
        memory.open_link(100).unwrap();
        assert_eq!(memory.closing, [older]);
    };
    a_connection_that_carries_a_request_is_not_closed => {
        let mut memory = Memory::new();
        let idle = memory.idle_link(LIMITS.total_bytes() - 100);
        memory.work_link(idle);
        memory.open_link(100).unwrap();
        assert_eq!((memory.open_link(1), memory.closing.len()), (Err(Full), 0));
    };
    a_reply_is_given_up_for_a_connection => {
        let mut memory = Memory::new();
        let flood = memory.reply(LIMITS.bytes);
        memory.open_link(LIMITS.total_bytes() - LIMITS.bytes).unwrap();
        memory.open_link(10).unwrap();
        assert_eq!(memory.closing, [flood]);
    };
    a_request_closes_an_idle_connection_to_a_target_before_a_slow_caller => {
        let mut memory = Memory::new();
        let reader = memory.caller();
        memory.answer(reader, 300).unwrap();
        memory.pass(200);
        let idle = memory.idle_link(LIMITS.total_bytes() - memory.tables.bytes());
        let other = memory.caller();
        memory.grow(other, Purpose::Request, 100).unwrap();
        assert_eq!(memory.closing, [idle]);
    };
    connections_to_targets_leave_room_for_what_is_held => {
        let mut memory = Memory::new();
        memory.open_link(LIMITS.total_bytes() - LIMITS.bytes).unwrap();
        memory.reply(LIMITS.bytes);
        assert_eq!(memory.closing, []);
    };
    // Short replies would find no room while a flood takes what is freed at once.
    a_long_reply_leaves_room_for_short_ones_beside_connections => {
        let mut memory = Memory::with_limits(Limits { bytes: 1 << 20, ..LIMITS });
        let limits = memory.limits();
        memory.open_link(limits.total_bytes() - limits.bytes).unwrap();
        let flood = memory.reply(limits.bytes - limits.bytes / 8);
        assert_eq!(memory.grow_reply(flood, 1), Err(Full));
        memory.reply(1);
        assert_eq!(memory.closing, []);
    };
    a_connection_that_is_closed_leaves_nothing => {
        let mut memory = Memory::new();
        let idle = memory.idle_link(LIMITS.total_bytes());
        let next = memory.open_link(10).unwrap();
        assert_eq!(memory.tables.unlinked, LIMITS.total_bytes());
        memory.tables.remove_link(idle);
        memory.tables.remove_link(next);
        assert_eq!((memory.tables.linked, memory.tables.unlinked), (0, 0));
    };
    // Idle connections up to the total: a request or reply of more than an eighth of the bytes finds
    // no room, and none is made for the next one either.
    idle_connections_to_targets_are_closed_for_a_long_reply => {
        let mut memory = Memory::new();
        for _ in 0..15 {
            memory.idle_link(100);
        }
        let reply = memory.tables.insert_reply();
        assert_eq!(memory.grow_reply(reply, LIMITS.bytes / 8 + 1), Ok(()));
    };
    idle_connections_to_targets_are_closed_for_a_long_request => {
        let mut memory = Memory::new();
        for _ in 0..14 {
            memory.idle_link(100);
        }
        let caller = memory.caller();
        assert_eq!(memory.grow(caller, Purpose::Request, LIMITS.bytes / 4), Ok(()));
    };
    // At the sizes of 112 MB: 1,200 idle connections (300 targets, 4 each), one reply of 16 MiB that is kept for its caller,
    // and a second one. Before, both were served.
    two_long_replies_in_calm_beside_idle_connections => {
        let mut memory = Memory::with_limits(Limits { bytes: 112_000_000 / 3, ..LIMITS });
        for _ in 0..1200 {
            memory.idle_link(24 << 10);
        }
        memory.reply((16 << 20) + (8 << 10));
        let second = memory.tables.insert_reply();
        assert_eq!(memory.grow_reply(second, (16 << 20) + (8 << 10)), Ok(()));
    };
    idle_connections_to_targets_are_closed_for_a_reply_among_many => {
        let mut memory = Memory::with_limits(Limits { bytes: 8 << 20, ..LIMITS });
        for _ in 0..76 {
            memory.idle_link(100 << 10);
        }
        let other = memory.reply(4 << 20);
        let reply = memory.reply(200 << 10);
        let grown = memory.grow_reply(reply, 600 << 10);
        assert!(!memory.closing.contains(&other));
        assert_eq!(grown, Ok(()));
    };
    // docs/design/memory.md: a reply "that is longer than what needs room".
    no_shorter_reply_is_given_up_for_a_connection => {
        let mut memory = Memory::new();
        memory.open_link(LIMITS.total_bytes() - 50).unwrap();
        for _ in 0..5 {
            memory.reply(10);
        }
        let _ = memory.open_link(24);
        assert_eq!(memory.closing, []);
    };
    // docs/design/memory.md: "idle ones are closed first, and then as above".
    a_slow_caller_is_closed_for_a_connection => {
        let mut memory = Memory::new();
        let reader = memory.caller();
        memory.answer(reader, 900).unwrap();
        memory.pass(200);
        memory.open_link(LIMITS.total_bytes() - memory.tables.bytes()).unwrap();
        assert!(memory.open_link(24).is_ok());
        assert_eq!(memory.closing, [reader]);
    };
    a_caller_is_admitted_while_idle_connections_take_the_room => {
        let mut memory = Memory::new();
        for _ in 0..15 {
            memory.idle_link(100);
        }
        // Callers that have sent nothing yet.
        for _ in 0..20 {
            assert!(memory.open(Party::Caller, 100).is_ok());
        }
    };
}
