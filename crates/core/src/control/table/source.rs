//! The state of reading one thing from the platform's service.

use crate::{store::CallId, time::Instant};

/// The state of reading one thing from the platform's service.
#[derive(Debug, Default)]
pub struct Reader {
    /// The call that is under way.
    pub call: Option<CallId>,
    /// When the next call may be made.
    pub next: Instant,
    /// The number of calls that failed one after the other.
    pub failures: u32,
    /// The change number from which a watch goes on.
    pub change: Option<u64>,
}
