//! The limits that the settings give to a traffic thread.

use std::time::Duration;

/// Limits of one traffic thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests of callers that are open at a time.
    pub open_requests: usize,
    /// Legs of other VMs that wait or run here at a time.
    pub jobs: usize,
    /// Time within which a connection to a target must open.
    pub connect_timeout: Duration,
    /// Time between two reads of a target's status.
    pub status_interval: Duration,
    /// Time for which a target's word that it takes work holds. A VM that was
    /// paused asks anew before it sends anything.
    pub status_max_age: Duration,
    /// Time within which a target must answer a read of its status on a
    /// connection, or the connection counts as silent.
    pub status_timeout: Duration,
    /// Connections that this thread holds to one target.
    pub connections: u32,
    /// Time after which connections to a target are closed that this VM is no
    /// longer home of.
    pub idle: Duration,
    /// Time for which a target that shed is given no work.
    pub shed_pause: Duration,
    /// Time to wait before a connection that could not be opened is tried
    /// again.
    pub reopen: Duration,
    /// Part of a query's time that the entry keeps for merging and answering.
    pub margin: Duration,
    /// Time without a word of a home after which a leg goes to the next one.
    pub home_silent: Duration,
    /// Homes of a shard that an entry tries.
    pub homes: usize,
    /// Gap between two ticks that shows that the process was paused.
    pub pause: Duration,
    /// Targets that a request may crash before it is held back.
    pub lost_targets: usize,
    /// Time for which a request that crashed a target is remembered.
    pub suspect_ttl: Duration,
    /// Time for which the outcome of an operation is awaited after its deadline.
    pub overdue: Duration,
    /// Extra attempts that a profile may save up.
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
            idle: Duration::from_secs(5),
            shed_pause: Duration::from_millis(5),
            reopen: Duration::from_millis(100),
            margin: Duration::from_millis(2),
            home_silent: Duration::from_millis(200),
            homes: 3,
            pause: Duration::from_secs(2),
            lost_targets: 2,
            suspect_ttl: Duration::from_secs(60),
            overdue: Duration::from_secs(5),
            retry_burst: 20,
        }
    }
}
