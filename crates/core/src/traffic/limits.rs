//! Limits of a traffic thread, which are partly taken from the settings.

use std::time::Duration;

/// The limits of one traffic thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The requests of callers that may be open at a time.
    pub open_requests: usize,
    /// The jobs that may wait or run at a time.
    pub jobs: usize,
    /// The time within which a connection to a target must open.
    pub connect_timeout: Duration,
    /// The interval at which the status of a target is read.
    pub status_interval: Duration,
    /// The age up to which a status of a target is acted on. A VM that was
    /// paused for longer reads the status again before it sends work.
    pub status_max_age: Duration,
    /// The time within which a target must answer a status read; after that the
    /// connection counts as silent and is closed.
    pub status_timeout: Duration,
    /// The connections that this thread opens to one target.
    pub connections: u32,
    /// The time without work after which the connections to the targets of a
    /// shard are closed if this thread is not its first home.
    pub idle_timeout: Duration,
    /// The least time for which a target gets no work after it shed an attempt.
    /// Jitter lengthens it to at most twice this time.
    pub shed_pause: Duration,
    /// The longest delay before a connection is opened again after two failures
    /// in a row. It doubles with each further failure.
    pub reconnect_delay: Duration,
    /// The part of a query's deadline that the entry keeps for merging the
    /// replies and answering.
    pub merge_margin: Duration,
    /// The time without a message from a home after which its legs are sent to
    /// their next homes.
    pub home_timeout: Duration,
    /// The homes of a shard that an entry tries for one leg.
    pub max_homes: usize,
    /// The delay of a tick beyond which the process counts as having been
    /// paused.
    pub pause_threshold: Duration,
    /// The targets of a shard that are lost with a request before the request
    /// is quarantined.
    pub lost_targets: usize,
    /// The time for which a request that may have crashed a target is
    /// remembered.
    pub suspect_ttl: Duration,
    /// The time after its deadline for which the outcome of a running operation
    /// is awaited.
    pub outcome_grace: Duration,
    /// The extra attempts that a profile may save up.
    pub retry_burst: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            open_requests: 4096,
            jobs: 65_536,
            connect_timeout: Duration::from_millis(500),
            status_interval: Duration::from_millis(500),
            status_max_age: Duration::from_secs(1),
            status_timeout: Duration::from_millis(250),
            connections: 2,
            idle_timeout: Duration::from_secs(5),
            shed_pause: Duration::from_millis(5),
            reconnect_delay: Duration::from_millis(100),
            merge_margin: Duration::from_millis(2),
            home_timeout: Duration::from_millis(200),
            max_homes: 3,
            pause_threshold: Duration::from_secs(2),
            lost_targets: 2,
            suspect_ttl: Duration::from_secs(60),
            outcome_grace: Duration::from_secs(5),
            retry_burst: 20,
        }
    }
}
