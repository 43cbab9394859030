//! Connections to targets, which take memory too.

use laburnum_core::memory::{Full, Limits, Purpose};

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
}
