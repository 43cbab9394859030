//! What a row may be due for.

use super::leg;
use crate::{name::Name, relay, relay::message::Call};

/// What is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The moment at which an answer that is complete enough is given.
    Goal(Call),
    /// The end of a request.
    Deadline(Call),
    /// The end of a request that was handed to another VM.
    HandedDeadline(Call),
    /// An attempt beside a slow one.
    Hedge(leg::Key),
    /// The end of an attempt that nobody waits for.
    Orphan(relay::Attempt),
    /// The end of a pause of a target.
    Pause(Name),
    /// The first connection to a target.
    Warm(Name),
}
