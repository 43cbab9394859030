//! Targets of a relay that send bodies without end.

use std::time::Duration;

use crate::{
    alone::alone,
    endless::{is_closed, is_held},
    flood::Pace,
};

/// What a slow target sends of a body at once.
const LONG_BODY: usize = 1 << 20;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A body without an end after a sound head.
const BODIES: [(&str, &str); 5] = [
    ("HTTP/1.1 200 OK\r\nserver-seal: s\r\nconnection: close\r\n\r\n", "b"),
    (CHUNKED, "10\r\n0123456789abcdef\r\n"),
    (CHUNKED, "1\r\nb\r\n"),
    ("HTTP/1.1 200 OK\r\ncontent-length: 16000000\r\n\r\n", "b"),
    ("HTTP/1.1 200 OK\r\ncontent-length: 4000000\r\n\r\n", "b"),
];

/// What can be no part of a body that is within the limits.
const BROKEN_BODIES: [(&str, &str); 5] = [
    ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "b"),
    (CHUNKED, "0"),
    (CHUNKED, "x"),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "a"),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"),
];

cases! {
    bodies_without_end => alone(async || is_held(&BODIES, Pace::Fast).await);
    long_bodies_that_go_on_slowly => {
        alone(async || is_held(&BODIES, Pace::Slow { at_once: LONG_BODY }).await);
    };
    bodies_that_are_none => {
        alone(async || is_closed(&BROKEN_BODIES, Duration::ZERO, Pace::Fast).await);
    };
}
