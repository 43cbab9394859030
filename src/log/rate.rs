//! The rate limit of the log, with one token bucket for each event.

use std::collections::BTreeMap;

use laburnum_core::{log::Event, time::Instant};

/// One token in millionths, so that a bucket filled by the microsecond needs no
/// rounding.
const TOKEN_MILLIONTHS: u64 = 1_000_000;

/// The capacity of a bucket, in seconds of lines at the configured rate.
const BURST_SECONDS: u64 = 2;

/// Limits the rate of lines for each event separately.
#[derive(Clone, Debug)]
pub struct Limiter {
    per_second: u64,
    buckets: BTreeMap<Event, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// The tokens in the bucket, in millionths.
    tokens: u64,
    last_filled: Instant,
    suppressed: u64,
}

impl Limiter {
    /// Allows `per_second` lines a second for each event.
    pub fn new(per_second: u32) -> Limiter {
        Limiter { per_second: u64::from(per_second), buckets: BTreeMap::new() }
    }

    /// Takes a token for a line of `event`. Returns the number of lines that
    /// were suppressed before it, or none if this line is to be suppressed as
    /// well.
    pub fn admit(&mut self, event: Event, now: Instant) -> Option<u64> {
        let bucket = self.fill(event, now);
        if bucket.tokens < TOKEN_MILLIONTHS {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= TOKEN_MILLIONTHS;
        Some(std::mem::take(&mut bucket.suppressed))
    }

    /// Takes a token for each event that has suppressed lines and may be
    /// written again. Returns these events with the number of suppressed lines.
    pub fn due(&mut self, now: Instant) -> Vec<(Event, u64)> {
        let waiting = self.buckets.iter().filter(|(_, bucket)| bucket.suppressed > 0);
        let events: Vec<Event> = waiting.map(|(&event, _)| event).collect();
        let admitted = events.into_iter().filter_map(|event| self.take_suppressed(event, now));
        admitted.collect()
    }

    fn take_suppressed(&mut self, event: Event, now: Instant) -> Option<(Event, u64)> {
        let bucket = self.fill(event, now);
        if bucket.tokens < TOKEN_MILLIONTHS {
            return None;
        }
        bucket.tokens -= TOKEN_MILLIONTHS;
        Some((event, std::mem::take(&mut bucket.suppressed)))
    }

    fn fill(&mut self, event: Event, now: Instant) -> &mut Bucket {
        let capacity = BURST_SECONDS * self.per_second * TOKEN_MILLIONTHS;
        let bucket = self.buckets.entry(event).or_insert(Bucket {
            tokens: capacity,
            last_filled: now,
            suppressed: 0,
        });
        let micros = u64::try_from(now.since(bucket.last_filled).as_micros()).unwrap_or(u64::MAX);
        bucket.tokens =
            bucket.tokens.saturating_add(micros.saturating_mul(self.per_second)).min(capacity);
        bucket.last_filled = bucket.last_filled.max(now);
        bucket
    }
}
