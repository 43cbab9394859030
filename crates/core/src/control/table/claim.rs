//! What is handed to the engine of the claims.

use std::collections::BTreeMap;

use crate::{claims::Event, id};

/// What is handed to the engine of the claims.
#[derive(Debug, Default)]
pub struct Claims {
    /// The events of this step.
    pub events: Vec<Event>,
    /// The traffic threads whose operations wait for a verdict.
    pub threads: BTreeMap<id::Query, u16>,
}
