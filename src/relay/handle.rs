//! The way of the front into the traffic thread.

use laburnum_core::relay::{Answer, Call, CallerRequest, Event};
use tokio::sync::mpsc::UnboundedSender;

use crate::inbox;

/// What the front hands to the thread.
pub type Input = inbox::Input<Call, Event, Answer>;

/// The way of the front into the traffic thread.
#[derive(Clone, Debug)]
pub struct Handle(inbox::Handle<Call, Event, Answer>);

impl Handle {
    /// Makes a handle that hands requests to `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Handle {
        Handle(inbox::Handle::new(inputs, Call))
    }

    /// Asks for an answer; see [`inbox::Handle::request`].
    pub async fn ask(&self, caller_request: CallerRequest) -> Option<Answer> {
        self.0.request(|call| Event::Arrived { call, caller_request }).await
    }
}
