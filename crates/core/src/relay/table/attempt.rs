//! One try of a leg at one target.

use super::leg;
use crate::{name::Name, relay::Connection, time::Instant};

/// A request that a connection carries.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The leg, or none if nobody waits for the reply any more.
    pub leg: Option<leg::Key>,
    /// The route, whose pace the reply tells.
    pub route: Name,
    /// The target.
    pub target: Name,
    /// The connection.
    pub connection: Connection,
    /// When it was handed to the connection.
    pub sent: Instant,
}
