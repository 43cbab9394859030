//! A caller's request that has not been answered.

use std::sync::Arc;

use crate::{
    relay::{CallerRequest, Route},
    time::Instant,
};

/// A request with its route, which stays the same until the request ends.
#[derive(Clone, Debug)]
pub struct Request {
    pub caller_request: Arc<CallerRequest>,
    /// The route in the configuration that was in force when the request arrived.
    pub route: Arc<Route>,
    /// The version of that configuration.
    pub version: u64,
    /// When the request arrived.
    pub arrived: Instant,
    /// When an answer with enough parts is given, even if it is not complete.
    pub goal: Instant,
    /// When the request is refused if it has no answer.
    pub deadline: Instant,
    /// The number of legs.
    pub legs: u32,
}
