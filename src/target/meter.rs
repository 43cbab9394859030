//! Bounds what a connection may make the process read without delivering anything.
//!
//! HTTP/2 lets a peer send frames that belong to no reply, such as pings, without end, and
//! flow control does not apply to them. What they cost depends on their number more than on
//! their bytes, and a frame has at most [`FRAME_BYTES`]. The meter therefore counts frames
//! (see [`super::frame`]); docs/design/memory.md says what else is bounded.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Waker},
    time::{Duration, Instant},
};

use super::BODY_BYTES;

/// The longest payload of a frame, in bytes (RFC 9113, 6.5.2).
const FRAME_BYTES: usize = 16 << 10;

/// The frames that a connection may bring at rest, and at its beginning.
const IDLE_FRAMES: usize = 128;

/// The time after which a connection at rest may bring one frame more, up to
/// [`IDLE_FRAMES`]. It leaves room for the pings that keep a connection open.
const FRAME_INTERVAL: Duration = Duration::from_millis(250);

/// The frames that a request allows besides the data of its reply: heads, the updates of
/// windows for its body, and the end of the reply.
const REQUEST_FRAMES: usize = 32;

/// The frames that each piece of a reply's body allows: its own, and one beside it, such as
/// the acknowledgement of a ping.
const PIECE_FRAMES: usize = 2;

/// The frames that an exchange which is given up allows, since its reply may be under way:
/// those of the longest reply, if they are half as long as they may be.
const ABANDONED_FRAMES: usize = 2 * BODY_BYTES / FRAME_BYTES;

/// The most frames that a connection may bring in any case before it delivers something.
const MAX_FRAMES: usize = 4096;

/// The time within which something must be delivered once no frame is left, if requests wait
/// for replies. Nothing is read meanwhile, and the pieces that were read are delivered as
/// soon as their tasks run.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

/// The number of frames that a connection may still bring. Clones share the number.
#[derive(Clone, Debug)]
pub struct Meter(Arc<Mutex<Level>>);

/// The state of a [`Meter`].
#[derive(Debug)]
struct Level {
    /// The frames that may still be read.
    left: usize,
    /// The exchanges under way.
    exchanges: usize,
    /// The time up to which frames were added for the time that has passed.
    refilled: Instant,
    /// When something must have been delivered. It is set while the reader waits.
    limit: Option<Instant>,
    /// The task that reads, while it waits.
    reader: Option<Waker>,
}

/// What a reader may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// It may read this number of frames.
    Frames(usize),
    /// It must wait, and give up at this time.
    WaitUntil(Instant),
    /// It must give up.
    Exceeded,
}

/// An exchange on the connection of a [`Meter`].
///
/// Dropping it before [`Exchange::finish`] means that the exchange was given up.
#[derive(Debug)]
pub struct Exchange {
    meter: Meter,
    is_finished: bool,
}

impl Meter {
    /// Makes the meter of a connection that is opened `now`.
    pub fn new(now: Instant) -> Meter {
        let level =
            Level { left: IDLE_FRAMES, exchanges: 0, refilled: now, limit: None, reader: None };
        Meter(Arc::new(Mutex::new(level)))
    }

    /// Begins an exchange, whose request is sent next.
    pub fn begin(&self) -> Exchange {
        let mut level = self.level();
        level.exchanges += 1;
        level.add(REQUEST_FRAMES);
        drop(level);
        Exchange { meter: self.clone(), is_finished: false }
    }

    /// Counts frames that were read `now`.
    pub fn spend(&self, frames: usize, now: Instant) {
        let mut level = self.level();
        level.refill(now);
        level.left = level.left.saturating_sub(frames);
    }

    /// Returns how many frames may be read `now`. If the reader must wait, its task is woken
    /// when it may read again.
    pub fn allowance(&self, now: Instant, context: &Context<'_>) -> Allowance {
        self.level().allowance(now, context)
    }

    fn level(&self) -> MutexGuard<'_, Level> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Exchange {
    /// Counts the head of the reply, or a piece of its body, that has reached its reader.
    pub fn deliver(&self) {
        self.meter.level().resume(PIECE_FRAMES);
    }

    /// Ends an exchange whose reply was received completely.
    pub fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let mut level = self.meter.level();
        level.exchanges -= 1;
        if !self.is_finished {
            level.resume(ABANDONED_FRAMES);
        }
    }
}

impl Level {
    fn add(&mut self, frames: usize) {
        self.left = (self.left + frames).min(MAX_FRAMES);
    }

    /// Adds frames and lets the reader go on. A request alone does not do that, or a flood
    /// could go on for as long as requests come.
    fn resume(&mut self, frames: usize) {
        self.add(frames);
        self.limit = None;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Adds frames for the time that has passed, unless none is left: a connection that
    /// exceeds its bound is not read slowly, but closed.
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled);
        let intervals = passed.as_millis() / FRAME_INTERVAL.as_millis();
        let intervals = u32::try_from(intervals).unwrap_or(u32::MAX);
        self.refilled += FRAME_INTERVAL * intervals;
        if (1..IDLE_FRAMES).contains(&self.left) {
            self.left = self.left.saturating_add(intervals as usize).min(IDLE_FRAMES);
        }
    }

    fn allowance(&mut self, now: Instant, context: &Context<'_>) -> Allowance {
        if self.limit.is_none() && self.left > 0 {
            return Allowance::Frames(self.left);
        }
        let limit = *self.limit.get_or_insert(now + DELIVERY_TIME);
        // Without an exchange, nothing can be delivered.
        if self.exchanges == 0 || now >= limit {
            return Allowance::Exceeded;
        }
        self.reader = Some(context.waker().clone());
        Allowance::WaitUntil(limit)
    }
}
