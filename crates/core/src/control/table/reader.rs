//! The state of the reads of a value or list from the platform's service.

use crate::{
    store::{CallId, Position},
    time::Instant,
};

/// The state of the repeated reads of one value or list from the platform's
/// service.
#[derive(Debug, Default)]
pub struct Reader {
    /// The call that has no reply yet.
    pub call: Option<CallId>,
    /// When the next call may be made.
    pub next: Instant,
    /// The number of consecutive failures.
    pub failures: u32,
    /// The position after which the next watch starts.
    pub position: Option<Position>,
}
