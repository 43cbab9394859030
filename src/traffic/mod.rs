//! The traffic threads: one runtime and one engine each, and the borders around
//! it. A thread decides nothing; see `laburnum_core::traffic`.

pub mod handle;
mod ready;
mod thread;

use laburnum_core::{
    border::{Journal, Peers, Targets},
    count::Counts,
    notice::Report,
    traffic::{Answer, Engine},
};

pub use self::{
    handle::{Handle, Input},
    ready::Ready,
    thread::{Inbox, Parts, run},
};

/// The control thread, as a traffic thread sees it.
pub trait Control {
    /// Hands over a report.
    fn report(&mut self, report: Report);
}

/// The counters and histograms.
pub trait Meter {
    /// Adds what a tick has counted.
    fn count(&mut self, counts: &Counts);
    /// Notes an answer to a caller.
    fn answered(&mut self, answer: &Answer);
    /// Notes the state of the tables.
    fn observe(&mut self, engine: &Engine);
}

/// What a traffic thread works through. It is made on the thread itself, so
/// that clients find its runtime.
pub struct Borders {
    /// The targets.
    pub targets: Box<dyn Targets>,
    /// The other traffic threads.
    pub peers: Box<dyn Peers>,
    /// The control thread of this VM.
    pub control: Box<dyn Control>,
    /// The log.
    pub journal: Box<dyn Journal>,
    /// The counters.
    pub meter: Box<dyn Meter>,
}
