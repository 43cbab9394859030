//! The rate limit of the log: one token bucket for each event.

use std::collections::BTreeMap;

use laburnum_core::{log::Event, time::Instant};

/// A token in millionths, so that a bucket fills without rounding.
const TOKEN: u64 = 1_000_000;

/// The seconds of lines that a bucket saves up.
const BURST: u64 = 2;

/// The buckets of all events.
#[derive(Clone, Debug)]
pub struct Limiter {
    per_second: u64,
    buckets: BTreeMap<Event, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: u64,
    filled: Instant,
    suppressed: u64,
}

impl Limiter {
    /// Allows `per_second` lines a second for each event.
    pub fn new(per_second: u32) -> Limiter {
        Limiter { per_second: u64::from(per_second), buckets: BTreeMap::new() }
    }

    /// Tells whether a line of `event` may be written, with the number of lines
    /// that were suppressed before it.
    pub fn admit(&mut self, event: Event, now: Instant) -> Option<u64> {
        let bucket = self.fill(event, now);
        if bucket.tokens < TOKEN {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= TOKEN;
        Some(std::mem::take(&mut bucket.suppressed))
    }

    /// The events that have suppressed lines and may be written again, with the
    /// number of lines; each counts as one written line.
    pub fn due(&mut self, now: Instant) -> Vec<(Event, u64)> {
        let waiting = self.buckets.iter().filter(|(_, bucket)| bucket.suppressed > 0);
        let events: Vec<Event> = waiting.map(|(&event, _)| event).collect();
        let admitted = events.into_iter().filter_map(|event| self.settle(event, now));
        admitted.collect()
    }

    fn settle(&mut self, event: Event, now: Instant) -> Option<(Event, u64)> {
        let bucket = self.fill(event, now);
        if bucket.tokens < TOKEN {
            return None;
        }
        bucket.tokens -= TOKEN;
        Some((event, std::mem::take(&mut bucket.suppressed)))
    }

    fn fill(&mut self, event: Event, now: Instant) -> &mut Bucket {
        let most = BURST * self.per_second * TOKEN;
        let bucket = self.buckets.entry(event).or_insert(Bucket {
            tokens: most,
            filled: now,
            suppressed: 0,
        });
        let micros = u64::try_from(now.since(bucket.filled).as_micros()).unwrap_or(u64::MAX);
        bucket.tokens =
            bucket.tokens.saturating_add(micros.saturating_mul(self.per_second)).min(most);
        bucket.filled = bucket.filled.max(now);
        bucket
    }
}
