//! The ways into a traffic thread.

use laburnum_core::traffic::{Answer, Call, Event, Operate, Search};
use tokio::sync::mpsc::UnboundedSender;

use crate::inbox;

/// A call with the place for its answer.
pub type Submission = inbox::Submission<Call, Event, Answer>;

/// What a front end hands to the thread.
pub type Input = inbox::Input<Call, Event, Answer>;

/// The way of a front end into a traffic thread.
#[derive(Clone, Debug)]
pub struct Handle(inbox::Handle<Call, Event, Answer>);

impl Handle {
    /// Makes a handle that hands calls to `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Handle {
        Handle(inbox::Handle::new(inputs, Call))
    }

    /// Asks for rows; see [`inbox::Handle::request`].
    pub async fn search(&self, search: Search) -> Option<Answer> {
        self.0.request(|call| Event::Search { call, search }).await
    }

    /// Asks for an operation; see [`inbox::Handle::request`].
    pub async fn operate(&self, operate: Operate) -> Option<Answer> {
        self.0.request(|call| Event::Operate { call, operate }).await
    }
}
