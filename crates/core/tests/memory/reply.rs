//! Replies of targets for which there is no room.

use laburnum_core::memory::{Full, Purpose};

use crate::harness::{LIMITS, Memory};

cases! {
    the_longest_reply_is_given_up_for_a_shorter_one => {
        let mut memory = Memory::new();
        let (_, longest) = (memory.reply(400), memory.reply(500));
        memory.reply(200);
        assert_eq!(memory.closing, [longest]);
    };
    // Guards against floods that reach their limits before anyone could tell them from others.
    a_reply_is_given_up_although_it_has_just_begun => {
        let mut memory = Memory::new();
        let flood = memory.reply(LIMITS.bytes);
        memory.reply(10);
        assert_eq!(memory.closing, [flood]);
    };
    no_shorter_reply_is_given_up_for_a_longer_one => {
        let mut memory = Memory::new();
        let flood = memory.reply(600);
        memory.reply(300);
        assert_eq!(memory.grow_reply(flood, 101), Err(Full));
        assert_eq!(memory.closing, []);
    };
    replies_keep_no_request_out => {
        let mut memory = Memory::new();
        let flood = memory.reply(LIMITS.bytes);
        let caller = memory.caller();
        memory.receive(caller, 1);
        memory.grow(caller, Purpose::Request, 100).unwrap();
        memory.work(caller).unwrap();
        assert_eq!(memory.closing, [flood]);
    };
    many_replies_close_no_slow_caller => {
        let mut memory = Memory::new();
        let reader = memory.caller();
        memory.answer(reader, 300).unwrap();
        memory.pass(200);
        let flood = memory.reply(600);
        assert_eq!(memory.grow_reply(flood, 300), Err(Full));
        let other = memory.caller();
        memory.receive(other, 1);
        memory.grow(other, Purpose::Request, 100).unwrap();
        assert_eq!(memory.closing, [flood]);
    };
    few_replies_go_after_slow_callers => {
        let mut memory = Memory::new();
        let reader = memory.caller();
        memory.answer(reader, 700).unwrap();
        memory.pass(200);
        memory.reply(200);
        memory.reply(250);
        assert_eq!(memory.closing, [reader]);
    };
    requests_stay_within_their_part_while_replies_are_given_up => {
        let mut memory = Memory::new();
        memory.reply(900);
        let caller = memory.caller();
        let left = LIMITS.request_bytes() - memory.tables.bases;
        assert_eq!(memory.grow(caller, Purpose::Request, left + 1), Err(Full));
        assert_eq!(memory.closing, []);
    };
    a_reply_that_was_given_up_leaves_nothing => {
        let mut memory = Memory::new();
        let flood = memory.reply(900);
        let other = memory.reply(200);
        assert_eq!((memory.tables.arriving, memory.tables.given_up), (1100, 900));
        memory.tables.remove_reply(flood);
        memory.tables.subtract(None, Purpose::Answer, 900);
        assert_eq!((memory.tables.arriving, memory.tables.given_up), (200, 0));
        memory.tables.remove_reply(other);
        assert_eq!((memory.tables.arriving, memory.tables.bytes()), (0, 200));
    };
}
