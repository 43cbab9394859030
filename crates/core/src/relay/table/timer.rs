//! The timers of a traffic thread.

use super::leg;
use crate::{name::Name, relay, relay::message::Call};

/// What is due when a timer expires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The end of the shutdown. It comes before the deadlines of the same moment, so that
    /// what they end still counts as open.
    Stop,
    /// The goal of a request: an answer with enough parts is given from here on.
    Goal(Call),
    /// The deadline of a request.
    Deadline(Call),
    /// The deadline of a request that was handed to another VM.
    HandedDeadline(Call),
    /// The check whether a larger VM still answers.
    Check(Name),
    /// A hedge of a slow leg.
    Hedge(leg::Key),
    /// The end of an attempt whose reply nothing waits for.
    Orphan(relay::Attempt),
    /// The end of the pause after a target was lost.
    Pause(Name),
    /// The opening of the first connection to a target.
    Warm(Name),
    /// The end of the time for which a target wants no request.
    Backoff(Name),
}
