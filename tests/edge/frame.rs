//! The count of frames, however the bytes are read.

use laburnumworks::target::frame::Position;

use crate::frames::{DATA, HEADERS, PING, frame};

fn frames() -> Vec<u8> {
    let frames = [
        frame(PING, 0, 0, &[0; 8]),
        frame(DATA, 0, 1, &[]),
        frame(DATA, 0, 1, &[7; 16 << 10]),
        frame(HEADERS, 0, 1, &[7; 2 << 10]),
        frame(PING, 0, 0, &[0; 8]),
    ];
    frames.concat()
}

/// Reads of each length give the same count.
async fn lengths() {
    let bytes = frames();
    for length in 1..bytes.len() {
        let mut position = Position::default();
        let count: usize = bytes.chunks(length).map(|part| position.advance(part)).sum();
        // The head is long and counts as three.
        assert_eq!(count, 7, "reads of {length} bytes");
    }
}

/// A read of at most the bytes for a number of frames brings no more of them.
async fn limits() {
    for frames in 1..5 {
        let pings = frame(PING, 0, 0, &[]).repeat(100);
        let mut position = Position::default();
        let mut rest = pings.as_slice();
        while !rest.is_empty() {
            let (part, later) = rest.split_at(position.bytes(frames).min(rest.len()));
            assert!(position.advance(part) <= frames);
            rest = later;
        }
    }
}

cases! {
    the_count_does_not_depend_on_the_reads => lengths();
    a_limit_on_bytes_is_a_limit_on_frames => limits();
}
