//! The clocks of the operating system.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use laburnum_core::{
    border::Clock,
    time::{Instant, Wall},
};
use rustix::time::{ClockId, clock_gettime};

/// Reads the clocks of the operating system. All threads of a VM use copies of
/// one clock, so that their monotonic times have the same zero and compare.
///
/// The monotonic time goes on while the machine is suspended, as the time of callers and
/// of leases does. The clock of `std::time::Instant` stands still meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Duration,
}

/// Returns the time since the machine was started, with the time that it was suspended.
fn since_boot() -> Duration {
    // Both parts are never negative on this clock.
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

impl System {
    /// Makes a clock whose monotonic time is zero now.
    pub fn start() -> System {
        System { start: since_boot() }
    }
}

impl Clock for System {
    fn now(&self) -> Instant {
        Instant(
            u64::try_from(since_boot().saturating_sub(self.start).as_micros()).unwrap_or(u64::MAX),
        )
    }

    fn wall(&self) -> Wall {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Wall(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
