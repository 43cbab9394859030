//! The limits of a traffic thread.

use std::{net::SocketAddr, time::Duration};

use crate::name::Name;

/// The limits of a deployment, with the identity of this VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub vm: Name,
    /// The address at which this VM takes requests and answers from other VMs.
    pub address: SocketAddr,
    /// The failure domain of this VM.
    pub domain: Name,
    /// The extra attempts allowed for each first attempt.
    pub retry_ratio: f64,
    /// The extra attempts that all VMs together may make in a window without a
    /// first attempt.
    pub retry_slack: f64,
    /// The window of the retry budget.
    pub retry_window: Duration,
}
