//! The traffic threads: each has one runtime, one engine and the borders around
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
    thread::{Inbox, Parts, run_loop},
};

/// Sends reports to the control thread of this VM.
pub trait Control {
    /// Sends a report; does not wait for the control thread.
    fn report(&mut self, report: Report);
}

/// Counts what a traffic thread does, in counters, histograms and gauges.
pub trait Meter {
    /// Adds the counts of a tick.
    fn count(&mut self, counts: &Counts);
    /// Records the latency and coverage of an answer to a caller.
    fn answered(&mut self, answer: &Answer);
    /// Updates the gauges from the tables.
    fn observe(&mut self, engine: &Engine);
}

/// The borders through which a traffic thread acts. They are made on the thread
/// itself, because the clients behind them need its runtime.
pub struct Borders {
    pub targets: Box<dyn Targets>,
    /// The other traffic threads, of this VM and of others.
    pub peers: Box<dyn Peers>,
    /// The control thread of this VM.
    pub control: Box<dyn Control>,
    pub journal: Box<dyn Journal>,
    pub meter: Box<dyn Meter>,
}
