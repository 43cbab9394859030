//! The clocks of the operating system.

use std::time::{SystemTime, UNIX_EPOCH};

use laburnum_core::{
    border::Clock,
    time::{Instant, Wall},
};

/// Reads the clocks of the operating system. All threads of a VM use copies of
/// one clock, so that their monotonic times have the same zero and compare.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: std::time::Instant,
}

impl System {
    /// Makes a clock whose monotonic time is zero now.
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
