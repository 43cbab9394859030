//! Limits and times of a traffic thread.

use std::{net::SocketAddr, time::Duration};

use crate::name::Name;

/// What a deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The name of this VM.
    pub vm: Name,
    /// Where this VM takes requests and answers of other VMs.
    pub address: SocketAddr,
    /// The failure domain of this VM.
    pub domain: Name,
    /// The attempts beyond the first that are allowed for each first one.
    pub retry_ratio: f64,
    /// The attempts beyond the first that all VMs together may make in a window
    /// without any first one.
    pub retry_slack: f64,
    /// The window of the retry budget.
    pub retry_window: Duration,
}
