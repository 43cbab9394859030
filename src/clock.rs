//! The clocks of this machine.

use std::time::{SystemTime, UNIX_EPOCH};

use laburnum_core::{
    border::Clock,
    time::{Instant, Wall},
};

/// The clocks of the operating system. Threads of one VM share one start, so
/// that their times compare.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: std::time::Instant,
}

impl System {
    /// Starts the monotonic time at zero.
    pub fn start() -> System {
        System { start: std::time::Instant::now() }
    }
}

impl Clock for System {
    fn now(&self) -> Instant {
        Instant(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn wall(&self) -> Wall {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
