//! The closed list of gauges.

macro_rules! gauges {
    ($($(#[$doc:meta])* $gauge:ident $name:literal $help:literal;)*) => {
        /// A metric that shows the current value of a quantity.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Gauge {
            $($(#[$doc])* $gauge,)*
        }

        impl Gauge {
            /// Every gauge, in the order of the list.
            pub const ALL: &[Gauge] = &[$(Gauge::$gauge),*];

            /// The name of the metric, without the prefix that all metrics
            /// share.
            pub fn name(self) -> &'static str {
                match self {
                    $(Gauge::$gauge => $name,)*
                }
            }

            /// The help text of the metric.
            pub fn help(self) -> &'static str {
                match self {
                    $(Gauge::$gauge => $help,)*
                }
            }
        }
    };
}

gauges! {
    /// The requests of callers that are open.
    OpenRequests "open_requests" "Requests of callers that are open";
    /// The free slots of the replicas whose home is here.
    FreeSlots "free_slots" "Free slots of the replicas whose home is here";
    /// The legs that wait here for a slot.
    QueuedLegs "queued_legs" "Legs that wait here for a slot";
    /// The shards whose home is here.
    Homes "homes" "Shards whose home is here";
    /// The attempts that targets run for this VM.
    AttemptsInFlight "attempts_in_flight" "Attempts that targets run for this VM";
    /// The connections to targets that are open.
    TargetConnections "target_connections" "Connections to targets that are open";
    /// The attempts beyond the first that the budget still allows.
    RetryBudget "retry_budget" "Attempts beyond the first that the budget still allows";
    /// The revision of the profiles, or the version of the routes, that is in force.
    Revision "revision_in_force" "Revision of the profiles or version of the routes in force";
    /// The time in milliseconds since the view was last confirmed by the
    /// platform's service.
    ViewAge "view_age_milliseconds" "Time since the view was last confirmed";
    /// The VMs that are live.
    LiveVms "live_vms" "VMs that are live";
    /// The targets that take work.
    LiveTargets "live_targets" "Targets that take work";
    /// The requests that are held back because they crashed targets.
    Quarantined "quarantined_requests" "Requests that are held back";
    /// Whether the VM takes requests, as 1 or 0.
    Ready "ready" "Whether the VM takes requests, 1 or 0";
    /// The era that the platform's service has stated last.
    StoreEra "store_era" "Era of the platform's service, which rises when it has lost changes";
    /// The bytes that are held for others.
    HeldBytes "held_bytes" "Bytes held for callers, operators, targets and other VMs";
    /// The most bytes that were held for others at once.
    HeldPeak "held_bytes_peak" "Most bytes held at once since the start";
    /// The log lines that were lost because the queue of the writer was full.
    LogLost "log_lines_lost" "Log lines that were lost since the start";
}

/// The part of a VM that sets a gauge. Each part has a series of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Part {
    /// The control thread.
    Control,
    /// A traffic thread, by its number.
    Traffic(u16),
    /// The writer of the log.
    Log,
    /// The process as a whole.
    Process,
}

impl Part {
    /// The value of the label `part`.
    pub fn label(self) -> String {
        match self {
            Part::Control => "control".to_owned(),
            Part::Traffic(thread) => format!("traffic-{thread}"),
            Part::Log => "log".to_owned(),
            Part::Process => "process".to_owned(),
        }
    }
}
