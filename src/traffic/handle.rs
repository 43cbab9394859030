//! Submits calls to a traffic thread.

use laburnum_core::traffic::{Answer, Call, Event, Operate, Search};
use tokio::sync::mpsc::UnboundedSender;

use crate::inbox;

/// A call that was submitted to a traffic thread, with the channel for its
/// answer.
pub type Submission = inbox::Submission<Call, Event, Answer>;

/// An input of a traffic thread from its front.
pub type Input = inbox::Input<Call, Event, Answer>;

/// Submits calls to a traffic thread on behalf of a front.
#[derive(Clone, Debug)]
pub struct Handle(inbox::Handle<Call, Event, Answer>);

impl Handle {
    /// Makes a handle that hands calls to `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Handle {
        Handle(inbox::Handle::new(inputs, Call))
    }

    /// Submits a search; see [`inbox::Handle::request`].
    pub async fn search(&self, search: Search) -> Option<Answer> {
        self.0.request(|call| Event::Search { call, search }).await
    }

    /// Submits an operation; see [`inbox::Handle::request`].
    pub async fn operate(&self, operate: Operate) -> Option<Answer> {
        self.0.request(|call| Event::Operate { call, operate }).await
    }
}
