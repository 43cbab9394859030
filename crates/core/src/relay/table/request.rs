//! A caller's request that waits for its answer.

use std::sync::Arc;

use crate::{
    relay::{CallerRequest, Route},
    time::Instant,
};

/// A request with the route that it keeps to its end.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the caller sent.
    pub caller_request: Arc<CallerRequest>,
    /// The route of the version that was in force when the request came.
    pub route: Arc<Route>,
    /// That version.
    pub version: u64,
    /// When it came.
    pub arrived: Instant,
    /// When an answer that is complete enough is given, whole or not.
    pub goal: Instant,
    /// When the request ends.
    pub deadline: Instant,
    /// The number of its legs.
    pub legs: u32,
}
