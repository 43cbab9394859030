//! The numbered log events.
//!
//! Systems put lines into their outbox, and the threads write them.
//! `docs/EVENTS.md` lists the events; a test compares it with this module.

use crate::id;

/// The severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// A problem that an operator must act on.
    Error,
    /// A problem that the program handles, at a cost.
    Warning,
    /// A change of state that an operator may look up later.
    Info,
    /// A detail for the analysis of a problem.
    Debug,
}

macro_rules! events {
    ($($(#[$doc:meta])* $event:ident $number:literal $level:ident $text:literal;)*) => {
        /// A numbered event. The number of a removed event is never reused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event {
            $($(#[$doc])* $event,)*
        }

        impl Event {
            /// Every event in order of declaration.
            pub const ALL: &[Event] = &[$(Event::$event),*];

            pub fn number(self) -> u16 {
                match self {
                    $(Event::$event => $number,)*
                }
            }

            pub fn level(self) -> Level {
                match self {
                    $(Event::$event => Level::$level,)*
                }
            }

            /// Returns the text of the event, the same for each line.
            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$event => $text,)*
                }
            }
        }
    };
}

// 1xx process, 2xx callers and queries, 3xx targets, 4xx VMs, 5xx profiles,
// 6xx claims, 7xx platform.
events! {
    /// The process starts after it has checked its settings.
    Started 101 Info "VM started";
    /// The VM begins to accept requests from callers.
    Ready 102 Info "VM is ready";
    /// The VM was told to shut down.
    Leaving 103 Info "VM is leaving";
    /// The VM exits. The line tells whether all requests in flight have finished.
    Stopped 104 Info "VM stopped";
    /// The address for metrics cannot be used. Requests are served nevertheless.
    MetricsUnavailable 105 Warning "metrics cannot be served";
    /// A listening socket could not be used.
    PortFailed 106 Error "listening socket failed";
    /// The settings file was reloaded. The line tells which settings took effect.
    SettingsChanged 107 Info "settings file was read again";
    /// The settings file cannot be read. The earlier settings stay in force.
    SettingsUnreadable 108 Warning "settings file cannot be read";
    /// A thread ended before the VM was shut down; the process exits.
    ThreadEnded 109 Error "thread ended early";
    /// A request was refused.
    Refused 201 Debug "request refused";
    /// A query was restarted on another version of the index.
    Restarted 202 Debug "query restarted on another version";
    /// A reply matched no attempt or failed its check and was dropped.
    ReplyDropped 203 Warning "reply dropped";
    /// The home of a leg sends another attempt.
    Retried 204 Debug "leg retried at its home";
    /// A leg failed at its home.
    LegFailed 205 Debug "leg failed at its home";
    /// A relay sends a leg to another target.
    LegRetried 206 Debug "leg retried";
    /// A relay sends a leg to a second target in parallel to a slow one.
    LegHedged 207 Debug "leg hedged";
    /// A target answered an attempt with a failure.
    AttemptFailed 208 Debug "attempt failed";
    /// A search was answered without the rows of some shards.
    PartialAnswer 209 Info "partial answer";
    /// A caller disconnected before it was answered.
    CallerLeft 210 Debug "caller disconnected before it was answered";
    /// A connection was closed to make room for others.
    ConnectionEvicted 211 Info "connection closed to make room";
    /// A connection to a target was opened.
    ConnectionOpened 301 Debug "connection to target opened";
    /// A connection to a target was lost or could not be opened.
    ConnectionLost 302 Warning "connection to target lost";
    /// A connection was closed because the target stopped responding on it.
    ConnectionSilent 303 Warning "connection to target stopped responding";
    /// A target finishes its work and takes no new requests.
    TargetDraining 304 Info "target is draining";
    /// A request crashed targets and is put into quarantine.
    RequestQuarantined 305 Error "request crashed targets and is quarantined";
    /// A target registered itself.
    TargetListed 306 Info "target is registered";
    /// The registration of a target was removed.
    TargetUnlisted 307 Info "target is no longer registered";
    /// The registration of a target cannot be read.
    TargetUnreadable 308 Warning "registration of a target cannot be read";
    /// A request in quarantine could not be reported to the other VMs.
    ReportLost 309 Warning "quarantine of a request could not be reported to the other VMs";
    /// The entry of a VM cannot be read.
    VmUnreadable 408 Warning "entry of a VM cannot be read";
    /// A VM became live.
    VmLive 401 Info "VM is live";
    /// A VM does not answer probes.
    VmSuspect 402 Warning "VM does not answer";
    /// A VM is gone.
    VmGone 403 Info "VM is gone";
    /// This VM found that it had been paused and takes a new incarnation.
    VmResumed 404 Warning "VM was paused and has a new incarnation";
    /// Another VM is leaving and takes no new work.
    VmLeaving 405 Info "another VM is leaving";
    /// A revision of the profiles took effect on this VM.
    RevisionApplied 501 Info "revision of the profiles is in force";
    /// A revision of the profiles was published through this VM.
    RevisionPublished 502 Info "revision of the profiles was published";
    /// A publication was refused because another one came first.
    RevisionLost 503 Info "publication refused, another revision came first";
    /// The platform's service had lost the revision in force, which was written again.
    RevisionRestored 506 Warning "revision of the profiles was lost by the service and written again";
    /// The connection to a VM to which requests are passed was lost.
    HopLost 406 Warning "connection to a larger VM lost";
    /// An answer of another VM belongs to no open request of this process.
    HopUnknown 409 Info "answer of another VM belongs to no open request";
    /// This VM has decided whether it serves requests itself or passes them on.
    RoleDecided 407 Info "role of this VM was decided";
    /// A version of the routes took effect on this VM.
    RoutesApplied 504 Info "version of the routes is in force";
    /// A version of the routes cannot be read.
    RoutesUnreadable 505 Error "version of the routes cannot be read";
    /// It could not be determined whether a claim was written.
    ClaimUnsettled 601 Warning "claim could not be settled";
    /// The platform's service became unavailable.
    StoreDown 701 Warning "platform's service is unavailable";
    /// The watch of this VM delivers nothing although other VMs have read newer
    /// changes of the store.
    StoreSilent 703 Warning "watch of the platform's service delivers no changes";
    /// A change that another VM announced is not in the store, as several scans have shown.
    AnnouncementDropped 705 Warning "announced change of the platform's service does not exist";
    /// The platform's service came back from an older copy of its data.
    StoreRestored 704 Warning "platform's service lost changes";
    /// All entries of the platform's service were read.
    StoreScanned 706 Debug "state of the platform's service was read";
    /// The platform's service is available again.
    StoreUp 702 Info "platform's service is available";
}

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub event: Event,
    /// The request that the event concerns, if any.
    pub query: Option<id::Query>,
    /// The details of the event, as pairs of key and value.
    pub fields: Vec<(&'static str, String)>,
}

impl Line {
    /// Creates a line that concerns no single request.
    pub fn new(event: Event, fields: Vec<(&'static str, String)>) -> Line {
        Line { event, query: None, fields }
    }

    /// Creates a line that concerns the request `query`.
    pub fn for_query(query: id::Query, event: Event, fields: Vec<(&'static str, String)>) -> Line {
        Line { event, query: Some(query), fields }
    }
}
