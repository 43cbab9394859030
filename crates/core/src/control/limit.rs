//! The time limits and bounds of the control thread.

use std::time::Duration;

/// The time limits and bounds of the control thread.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The time between two probes of a VM.
    pub probe_interval: Duration,
    /// The time within which a probe is answered directly.
    pub ack_timeout: Duration,
    /// The number of VMs that are asked to probe another one indirectly.
    pub indirect_probes: usize,
    /// The time after which a suspect VM is gone.
    pub suspicion_timeout: Duration,
    /// The time between two probes of a VM that is gone.
    pub reconnect_interval: Duration,
    /// The time for which a VM that is gone and not listed is remembered.
    pub retention: Duration,
    /// The gap between two steps that counts as a pause of this VM.
    pub pause_threshold: Duration,
    /// The number of VMs that read the platform's list and hold watches.
    pub watchers: usize,
    /// The time between two reads of the list by a watcher.
    pub list_interval: Duration,
    /// The time for which a watch waits.
    pub watch_timeout: Duration,
    /// The age from which a VM reads from the service itself.
    pub stale_after: Duration,
    /// The time within which a call of the service is answered.
    pub call_timeout: Duration,
    /// The least time between two tries of a call that failed.
    pub retry_delay: Duration,
    /// The time within which a publication is answered.
    pub publish_timeout: Duration,
    /// The number of replaced documents that are kept.
    pub max_history: u64,
    /// The number of VMs to which news is sent at once.
    pub fanout: usize,
    /// The least time between two rounds of news.
    pub gossip_interval: Duration,
    /// The most items of news in a message.
    pub max_items: usize,
    /// The most rows of revisions in force in a message.
    pub max_revisions: usize,
    /// The time between two comparisons of soft state with another VM.
    pub sync_interval: Duration,
    /// The time without a word of any VM or the service after which this VM is
    /// not ready.
    pub isolation_timeout: Duration,
    /// The number of VMs whose word on the revision makes this VM ready when the
    /// service cannot be reached.
    pub required_confirmations: usize,
    /// The age from which the word of a VM on its revision counts as silent.
    pub silent_after: Duration,
    /// The lost targets of one shard that condemn a fingerprint.
    pub lost_targets: usize,
    /// The time for which a fingerprint with one lost target is remembered.
    pub suspect_duration: Duration,
    /// The time for which a fingerprint is held back.
    pub quarantine_duration: Duration,
    /// The most fingerprints that are remembered of either sort.
    pub max_fingerprints: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(200),
            indirect_probes: 2,
            suspicion_timeout: Duration::from_secs(2),
            reconnect_interval: Duration::from_secs(2),
            retention: Duration::from_secs(600),
            pause_threshold: Duration::from_secs(2),
            watchers: 3,
            list_interval: Duration::from_millis(500),
            watch_timeout: Duration::from_secs(2),
            stale_after: Duration::from_secs(5),
            call_timeout: Duration::from_secs(3),
            retry_delay: Duration::from_millis(200),
            publish_timeout: Duration::from_secs(5),
            max_history: 100,
            fanout: 4,
            gossip_interval: Duration::from_millis(100),
            max_items: 8,
            max_revisions: 4,
            sync_interval: Duration::from_secs(10),
            isolation_timeout: Duration::from_secs(5),
            required_confirmations: 2,
            silent_after: Duration::from_secs(30),
            lost_targets: 2,
            suspect_duration: Duration::from_secs(60),
            quarantine_duration: Duration::from_secs(600),
            max_fingerprints: 1024,
        }
    }
}
