//! An attempt of a leg at one target.

use super::leg;
use crate::{name::Name, relay::Connection, time::Instant};

/// An attempt that a connection carries.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The leg, or `None` if nothing waits for the reply any more.
    pub leg: Option<leg::Key>,
    /// The route whose latency the reply is a sample of.
    pub route: Name,
    pub target: Name,
    pub connection: Connection,
    /// When the request was passed to the connection.
    pub sent: Instant,
}
