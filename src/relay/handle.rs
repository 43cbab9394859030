//! The channel from the front to the traffic thread.

use laburnum_core::relay::{Answer, Call, CallerRequest, Event};
use tokio::sync::mpsc::UnboundedSender;

use crate::inbox;

/// What the front sends to the thread.
pub type Input = inbox::Input<Call, Event, Answer>;

/// Sends requests from the front to the traffic thread.
#[derive(Clone, Debug)]
pub struct Handle(inbox::Handle<Call, Event, Answer>);

impl Handle {
    /// Makes a handle that sends requests to `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Handle {
        Handle(inbox::Handle::new(inputs, Call))
    }

    /// Sends a request and waits for its answer; see [`inbox::Handle::request`].
    pub async fn request(&self, caller_request: CallerRequest) -> Option<Answer> {
        self.0.request(|call| Event::Arrived { call, caller_request }).await
    }
}
