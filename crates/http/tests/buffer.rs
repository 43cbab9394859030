//! Bodies that arrive piece by piece, and the room that they take.

#[macro_use]
#[path = "../../../tests/common/case.rs"]
mod case;

use laburnum_http::buffer::{Buffer, Room};

/// The lengths of the pieces in which a body arrives, which fill no part evenly.
const PIECES: [usize; 4] = [1, 8191, 8192, 100_000];

/// The lengths of bodies, around those of one and two parts.
const LENGTHS: [usize; 9] = [0, 1, 8192, 65_535, 65_536, 65_537, 131_072, 131_073, 1_000_000];

/// Room of a size, which records how much of it was taken.
struct Limited {
    size: usize,
    taken: usize,
}

impl Room for Limited {
    fn grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.size {
            self.taken = self.taken.max(bytes);
        }
        bytes <= self.size
    }
}

fn body(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8).collect()
}

fn check(expected: impl Fn(usize) -> Option<usize>) {
    for length in LENGTHS {
        for piece in PIECES {
            let (body, mut buffer) = (body(length), Buffer::new(expected(length)));
            let mut room = Limited { size: usize::MAX, taken: 0 };
            assert!(body.chunks(piece).all(|data| buffer.push(data, &mut room)));
            assert_eq!(buffer.len(), length);
            assert!(length <= room.taken && room.taken <= 2 * length.max(piece), "{}", room.taken);
            assert!(buffer.into_bytes() == body, "{length} bytes in pieces of {piece}");
        }
    }
}

cases! {
    a_body_of_unknown_length_arrives_unchanged => check(|_| None);
    a_body_of_a_known_length_arrives_unchanged => check(Some);
    a_body_that_is_longer_than_announced_arrives_unchanged => check(|length| Some(length / 2));
    a_body_ends_where_its_room_ends => {
        let (mut buffer, mut room) = (Buffer::new(None), Limited { size: 100_000, taken: 0 });
        let is_whole = body(200_000).chunks(1000).all(|data| buffer.push(data, &mut room));
        assert!(!is_whole && buffer.len() <= 100_000, "{}", buffer.len());
    };
    an_announcement_takes_its_room_at_once => {
        let mut room = Limited { size: 100_000, taken: 0 };
        assert!(Buffer::new(Some(100_000)).reserve(&mut room));
        assert_eq!(room.taken, 100_000);
        assert!(!Buffer::new(Some(100_001)).reserve(&mut room));
    };
}
