//! The encoding of frames between VMs.

use std::{sync::Arc, time::Duration};

use laburnum_core::{
    digest::Fingerprint,
    id::{self, Origin},
    key,
    message::{Leg, Message, Outcome, Reply},
    name::Name,
    target::{Row, Version, Work},
};
use laburnumworks::wire::{
    Body, Key,
    codec::{Decoder, Error, encode},
    key as wire_key,
};
use proptest::{collection::vec, prelude::*};

const MAX_BODY_BYTES: usize = 1024 * 1024;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("the name is valid")
}

fn leg(sequence: u64, text: &str) -> Leg {
    let origin = Origin(3);
    let range = key::Range::ALL;
    Leg {
        leg: id::Leg { origin, sequence },
        query: id::Query { origin, sequence },
        index: name("licences"),
        shard: name("shard-1"),
        profile: name("clearance"),
        work: Work::Search { version: Version(sequence), range, text: Arc::from(text) },
        fingerprint: Fingerprint(sequence),
        remaining: Duration::from_millis(sequence % 1_000),
        trial: sequence.is_multiple_of(2),
    }
}

fn reply(sequence: u64, body: &str) -> Reply {
    let rows = vec![Row { key: sequence, body: Arc::from(body) }];
    let outcome =
        Outcome::Rows { version: Version(1), range: key::Range::ALL, rows, digest: sequence };
    Reply {
        leg: id::Leg { origin: Origin(3), sequence },
        outcome,
        attempts: 1,
        backlog: Duration::ZERO,
    }
}

fn cancels(legs: &[u64]) -> Body {
    let legs = legs.iter().map(|&sequence| id::Leg { origin: Origin(3), sequence }).collect();
    Body::Traffic(Message::Cancels(legs))
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        vec(any::<u64>(), 0..200).prop_map(|legs| cancels(&legs)),
        vec((any::<u64>(), ".{0,20}"), 0..5).prop_map(|legs| {
            let legs = legs.iter().map(|(sequence, text)| leg(*sequence, text)).collect();
            Body::Traffic(Message::Legs(legs))
        }),
        vec((any::<u64>(), ".{0,20}"), 0..5).prop_map(|replies| {
            let replies = replies.iter().map(|(sequence, text)| reply(*sequence, text)).collect();
            Body::Traffic(Message::Replies(replies))
        }),
        Just(Body::Traffic(Message::AskHoldings)),
    ]
}

/// Decodes bodies until the input ends or is refused.
fn decode_all(decoder: &mut Decoder) -> Result<Vec<Body>, Error> {
    std::iter::from_fn(|| decoder.next_body().transpose()).collect()
}

/// Asserts that a stream decodes to the same bodies when it arrives in chunks of
/// `chunk_bytes`.
fn assert_split_keeps_bodies(bodies: &[Body], chunk_bytes: usize) {
    let frames = bodies
        .iter()
        .map(|body| encode(body, MAX_BODY_BYTES).expect("the body is within the limit"));
    let stream: Vec<u8> = frames.flat_map(|frame| frame.to_vec()).collect();
    let mut decoder = Decoder::new(MAX_BODY_BYTES);
    let mut decoded = Vec::new();
    for chunk in stream.chunks(chunk_bytes) {
        decoder.push(chunk);
        decoded.extend(decode_all(&mut decoder).expect("the stream is valid"));
    }
    assert_eq!(decoded, bodies);
    assert!(decoder.is_empty());
}

/// The bytes of a frame: `bytes` after their length.
fn with_length(bytes: &[u8]) -> Vec<u8> {
    let length = u32::try_from(bytes.len()).expect("the length fits in 32 bits");
    [&length.to_be_bytes()[..], bytes].concat()
}

fn key_error(text: &str) -> Option<wire_key::Error> {
    Key::try_from(text).err()
}

proptest! {
    #[test]
    fn bodies_survive_any_split(bodies in vec(body(), 0..6), chunk_bytes in 1_usize..64) {
        assert_split_keeps_bodies(&bodies, chunk_bytes);
    }

    #[test]
    fn any_stream_decodes_or_is_refused(bytes in vec(any::<u8>(), 0..2000)) {
        let mut decoder = Decoder::new(MAX_BODY_BYTES);
        decoder.push(&bytes);
        let _ = decode_all(&mut decoder);
    }

    #[test]
    fn any_body_decodes_or_is_refused(bytes in vec(any::<u8>(), 0..2000)) {
        let mut decoder = Decoder::new(MAX_BODY_BYTES);
        decoder.push(&with_length(&bytes));
        let _ = decode_all(&mut decoder);
    }

    #[test]
    fn a_changed_byte_decodes_or_is_refused(
        body in body(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut frame =
            encode(&body, MAX_BODY_BYTES).expect("the body is within the limit").to_vec();
        let position = position.index(frame.len());
        frame[position] = byte;
        let mut decoder = Decoder::new(MAX_BODY_BYTES);
        decoder.push(&frame);
        let _ = decode_all(&mut decoder);
    }
}

cases! {
    a_body_over_the_limit_is_not_encoded => async {
        let error = encode(&cancels(&[0; 100]), 50).expect_err("the body is over the limit");
        assert!(matches!(error, Error::TooLong { limit: 50, .. }), "{error}");
    };
    a_length_over_the_limit_is_refused_before_the_body_comes => async {
        let mut decoder = Decoder::new(50);
        decoder.push(&51_u32.to_be_bytes());
        assert_eq!(decoder.next_body(), Err(Error::TooLong { length: 51, limit: 50 }));
    };
    bytes_left_over_in_a_frame_are_refused => async {
        let frame = encode(&cancels(&[1]), MAX_BODY_BYTES).expect("the body is within the limit");
        let mut decoder = Decoder::new(MAX_BODY_BYTES);
        decoder.push(&with_length(&[&frame[4..], &[0]].concat()));
        assert!(matches!(decoder.next_body(), Err(Error::Body { .. })));
    };
    a_length_that_claims_too_much_is_refused_without_allocation => async {
        let body_bytes = [1, 253, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
        let mut decoder = Decoder::new(MAX_BODY_BYTES);
        decoder.push(&with_length(&body_bytes));
        assert!(matches!(decoder.next_body(), Err(Error::Body { .. })));
    };
    a_short_key_is_refused => async {
        assert_eq!(key_error("too short"), Some(wire_key::Error::Length));
    };
    a_key_with_a_space_is_refused => async {
        assert_eq!(key_error("this key has spaces in it"), Some(wire_key::Error::Character));
    };
    a_digest_matches_its_key_only => async {
        let digest = Key::try_from("0123456789abcdef").expect("the key is valid").digest();
        assert!(digest.matches(b"0123456789abcdef"));
        assert!(!digest.matches(b"0123456789abcdeg"));
        assert!(!digest.matches(b""));
    };
    a_key_is_not_shown => async {
        let key = Key::try_from("0123456789abcdef").expect("the key is valid");
        assert_eq!(format!("{key:?}"), "Key(..)");
    };
}
