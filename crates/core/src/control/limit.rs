//! Timeouts, intervals and bounds of the control thread.

use std::time::Duration;

/// Timeouts, intervals and bounds of the control thread.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The time between two probes that this VM starts; each goes to the next
    /// VM of the round.
    pub probe_interval: Duration,
    /// The time within which a ping is answered. It is also the least time
    /// between two requests to other VMs for the document or the list.
    pub ack_timeout: Duration,
    /// The number of VMs that are asked to ping a VM that did not answer
    /// directly.
    pub indirect_probes: usize,
    /// The time after which a suspect VM that does not refute it counts as gone.
    pub suspicion_timeout: Duration,
    /// The time between two pings to VMs that are gone, in case one is back.
    pub reconnect_interval: Duration,
    /// The time for which a VM that is gone and not listed is remembered. Once
    /// the table of announcements is full, it also bounds the age of those from
    /// targets that are not listed.
    pub retention: Duration,
    /// The gap between two ticks above which this VM counts as paused.
    pub pause_threshold: Duration,
    /// The number of VMs that read the list and watch the profiles at the
    /// platform's service on behalf of all.
    pub watchers: usize,
    /// The time between two reads of the list by a watcher.
    pub list_interval: Duration,
    /// The time after which a watch without a change is answered.
    pub watch_timeout: Duration,
    /// The age of the list or of the confirmation of the revision from which a
    /// VM that is no watcher reads from the service itself. It grows with the
    /// number of VMs.
    pub stale_after: Duration,
    /// The time after which a call of the service counts as lost; a watch has
    /// `watch_timeout` in addition.
    pub call_timeout: Duration,
    /// The time between two tries of a failed stage of an operator's request, and
    /// the base of the back-off after a failed read.
    pub retry_delay: Duration,
    /// The time within which a request of an operator is answered.
    pub publish_timeout: Duration,
    /// The number of replaced documents that are kept in the history.
    pub max_history: u64,
    /// The number of VMs to which a round of gossip is sent.
    pub fanout: usize,
    /// The least time between two rounds of gossip.
    pub gossip_interval: Duration,
    /// The most gossip items in a message.
    pub max_items: usize,
    /// The most revisions of other VMs in a message.
    pub max_revisions: usize,
    /// The time between two comparisons of soft state with another VM.
    pub sync_interval: Duration,
    /// The time without a message of any VM or a reply of the service after
    /// which this VM is no longer ready.
    pub isolation_timeout: Duration,
    /// The number of VMs that must report a confirmed revision no higher than
    /// that of this VM before it is ready, if the service cannot be reached.
    pub required_confirmations: usize,
    /// The age of the last report of a VM's revision above which the VM is
    /// shown as silent.
    pub silent_after: Duration,
    /// The number of lost targets of one shard that quarantines a fingerprint.
    pub lost_targets: usize,
    /// The time for which a fingerprint with one lost target is remembered.
    pub suspect_duration: Duration,
    /// The time for which a fingerprint is quarantined.
    pub quarantine_duration: Duration,
    /// The most suspect fingerprints and the most quarantined fingerprints that
    /// are remembered.
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
