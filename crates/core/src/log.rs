//! The closed list of numbered log events.
//!
//! Systems put lines into their outbox; the threads write them. The catalogue
//! is `docs/EVENTS.md`, which a test holds against this module.

use crate::id;

/// How grave an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Something that an operator must act on.
    Error,
    /// Something that the program copes with, at a cost.
    Warning,
    /// A change of state that an operator wants to find later.
    Info,
    /// A detail for those who search for a cause.
    Debug,
}

macro_rules! events {
    ($($(#[$doc:meta])* $event:ident $number:literal $level:ident $text:literal;)*) => {
        /// A numbered event; a number is never given to another event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event {
            $($(#[$doc])* $event,)*
        }

        impl Event {
            /// Every event, in the order of the list.
            pub const ALL: &[Event] = &[$(Event::$event),*];

            /// The number of the event.
            pub fn number(self) -> u16 {
                match self {
                    $(Event::$event => $number,)*
                }
            }

            /// How grave the event is.
            pub fn level(self) -> Level {
                match self {
                    $(Event::$event => Level::$level,)*
                }
            }

            /// The text of the event, which is the same each time.
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
    /// The process has checked its settings and starts.
    Started 101 Info "VM started";
    /// The VM takes requests of callers from now on.
    Ready 102 Info "VM is ready";
    /// The VM was told to shut down.
    Leaving 103 Info "VM is leaving";
    /// The VM exits; the line says whether all that was in flight is finished.
    Stopped 104 Info "VM stopped";
    /// The address for metrics cannot be used; requests are served all the same.
    MetricsUnavailable 105 Warning "metrics cannot be served";
    /// A listening socket could not be used.
    PortFailed 106 Error "port cannot be served";
    /// The settings file was read again; the line says what of it is in force.
    SettingsChanged 107 Info "settings file was read again";
    /// The settings file cannot be read; what was read before stays in force.
    SettingsUnreadable 108 Warning "settings file cannot be read";
    /// A request was refused.
    Refused 201 Debug "request refused";
    /// A query started over on another version of the index.
    Restarted 202 Debug "query restarted on another version";
    /// A reply matched no attempt or failed its check and was dropped.
    ReplyDropped 203 Warning "reply dropped";
    /// A leg goes to another attempt at its home.
    Retried 204 Debug "leg retried at its home";
    /// The home of a leg gave it up.
    LegFailed 205 Debug "leg failed at its home";
    /// A leg of a route goes to another target.
    LegRetried 206 Debug "leg retried";
    /// A leg of a route goes to a second target beside a slow one.
    LegHedged 207 Debug "leg hedged";
    /// A target answered an attempt with a failure.
    AttemptFailed 208 Debug "attempt failed";
    /// A search was answered without some of its shards.
    PartialAnswer 209 Info "partial answer";
    /// A caller left before its answer.
    CallerLeft 210 Debug "caller left before its answer";
    /// A connection to a target was opened.
    ConnectionOpened 301 Debug "connection to target opened";
    /// A connection to a target was lost or could not be opened.
    ConnectionLost 302 Warning "connection to target lost";
    /// A connection to a target went silent and was closed.
    ConnectionSilent 303 Warning "connection to target went silent";
    /// A target is leaving.
    TargetDraining 304 Info "target is draining";
    /// A request crashed targets and is held back from now on.
    RequestQuarantined 305 Error "request crashed targets and is held back";
    /// A target registered itself.
    TargetListed 306 Info "target is listed";
    /// A target is registered no more.
    TargetUnlisted 307 Info "target is listed no more";
    /// The registration of a target cannot be read.
    TargetUnreadable 308 Warning "registration of a target cannot be read";
    /// Other VMs could not be told of a request that is held back.
    ReportLost 309 Warning "other VMs are not told of a request that is held back";
    /// The entry of a VM cannot be read.
    VmUnreadable 408 Warning "entry of a VM cannot be read";
    /// A VM became live.
    VmLive 401 Info "VM is live";
    /// A VM does not answer probes.
    VmSuspect 402 Warning "VM does not answer";
    /// A VM is gone.
    VmGone 403 Info "VM is gone";
    /// This VM learnt that it was paused and takes a new incarnation.
    VmResumed 404 Warning "VM was paused and has a new incarnation";
    /// Another VM is leaving and takes no new work.
    VmLeaving 405 Info "another VM is leaving";
    /// A revision of the profiles is in force on this VM.
    RevisionApplied 501 Info "revision of the profiles is in force";
    /// A revision of the profiles was published through this VM.
    RevisionPublished 502 Info "revision of the profiles was published";
    /// A publication lost the race.
    RevisionLost 503 Info "publication lost the race";
    /// The connection to a VM that requests are handed to is lost.
    HopLost 406 Warning "VM that requests are handed to is lost";
    /// How this VM serves requests.
    RoleDecided 407 Info "part of this VM is decided";
    /// A version of the routes is in force on this VM.
    RoutesApplied 504 Info "version of the routes is in force";
    /// A version of the routes cannot be read.
    RoutesUnreadable 505 Error "version of the routes cannot be read";
    /// A claim could not be settled.
    ClaimUnsettled 601 Warning "claim could not be settled";
    /// The platform's service became unavailable.
    StoreDown 701 Warning "platform's service is unavailable";
    /// Other VMs have read more of the store than this one, whose watch is silent.
    StoreSilent 703 Warning "platform's service is silent";
    /// The platform's service is available again.
    StoreUp 702 Info "platform's service is available";
}

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// What happened.
    pub event: Event,
    /// The request that it happened to, if any.
    pub query: Option<id::Query>,
    /// What it happened to, by name.
    pub fields: Vec<(&'static str, String)>,
}

impl Line {
    /// Makes a line without a request.
    pub fn new(event: Event, fields: Vec<(&'static str, String)>) -> Line {
        Line { event, query: None, fields }
    }

    /// Makes a line of the request `query`.
    pub fn for_query(query: id::Query, event: Event, fields: Vec<(&'static str, String)>) -> Line {
        Line { event, query: Some(query), fields }
    }
}
