//! The time limits and bounds of the control thread.

use std::time::Duration;

/// The time limits and bounds of the control thread.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The time between two probes of a VM.
    pub probe: Duration,
    /// The time within which a probe is answered directly.
    pub ack: Duration,
    /// The number of VMs that are asked to probe another one indirectly.
    pub indirect: usize,
    /// The time after which a suspect VM is gone.
    pub suspicion: Duration,
    /// The time between two probes of a VM that is gone.
    pub revive: Duration,
    /// The time for which a VM that is gone and not listed is remembered.
    pub forget: Duration,
    /// The gap between two steps that counts as a pause of this VM.
    pub pause: Duration,
    /// The number of VMs that read the platform's list and hold watches.
    pub watchers: usize,
    /// The time between two reads of the list by a watcher.
    pub list: Duration,
    /// The time for which a watch waits.
    pub watch: Duration,
    /// The age from which a VM reads from the service itself.
    pub stale: Duration,
    /// The time within which a call of the service is answered.
    pub call: Duration,
    /// The least time between two tries of a call that failed.
    pub retry: Duration,
    /// The time within which a publication is answered.
    pub publish: Duration,
    /// The number of replaced documents that are kept.
    pub history: u64,
    /// The number of VMs to which news is sent at once.
    pub fanout: usize,
    /// The least time between two rounds of news.
    pub round: Duration,
    /// The most items of news in a message.
    pub items: usize,
    /// The most rows of revisions in force in a message.
    pub rows: usize,
    /// The time between two comparisons of soft state with another VM.
    pub sync: Duration,
    /// The time without a word of any VM or the service after which this VM is
    /// not ready.
    pub isolation: Duration,
    /// The number of VMs whose word on the revision makes this VM ready when the
    /// service cannot be reached.
    pub witnesses: usize,
    /// The age from which the word of a VM on its revision counts as silent.
    pub silence: Duration,
    /// The lost targets of one shard that condemn a fingerprint.
    pub lost_targets: usize,
    /// The time for which a fingerprint with one lost target is remembered.
    pub suspect_fingerprint: Duration,
    /// The time for which a fingerprint is held back.
    pub condemned_fingerprint: Duration,
    /// The most fingerprints that are remembered of either sort.
    pub fingerprints: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            probe: Duration::from_millis(500),
            ack: Duration::from_millis(200),
            indirect: 2,
            suspicion: Duration::from_secs(2),
            revive: Duration::from_secs(2),
            forget: Duration::from_secs(600),
            pause: Duration::from_secs(2),
            watchers: 3,
            list: Duration::from_millis(500),
            watch: Duration::from_secs(2),
            stale: Duration::from_secs(5),
            call: Duration::from_secs(3),
            retry: Duration::from_millis(200),
            publish: Duration::from_secs(5),
            history: 100,
            fanout: 4,
            round: Duration::from_millis(100),
            items: 8,
            rows: 4,
            sync: Duration::from_secs(10),
            isolation: Duration::from_secs(5),
            witnesses: 2,
            silence: Duration::from_secs(30),
            lost_targets: 2,
            suspect_fingerprint: Duration::from_secs(60),
            condemned_fingerprint: Duration::from_secs(600),
            fingerprints: 1024,
        }
    }
}
