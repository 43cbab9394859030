//! The inputs of the claims engine.

use std::collections::BTreeMap;

use crate::{claims::Event, id};

/// The inputs of the claims engine, collected during a tick.
#[derive(Debug, Default)]
pub struct Claims {
    pub events: Vec<Event>,
    /// The traffic thread of each operation that waits for a verdict.
    pub threads: BTreeMap<id::Query, u16>,
}
