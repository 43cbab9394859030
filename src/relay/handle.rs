//! The way of the front into the traffic thread.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use laburnum_core::relay::{Answer, Call, Inquiry};
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// What the front hands to the thread.
#[derive(Debug)]
pub enum Input {
    /// A request with the place for its answer.
    Ask { call: Call, inquiry: Inquiry, answer: oneshot::Sender<Answer> },
    /// A caller went away before its answer.
    Abandoned(Call),
}

/// The way of the front into the traffic thread.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: UnboundedSender<Input>,
    last: Arc<AtomicU64>,
}

impl Handle {
    /// Makes a handle that hands requests to `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Handle {
        Handle { inputs, last: Arc::new(AtomicU64::new(0)) }
    }

    /// Asks for an answer. It is none when the thread has ended. Dropping the
    /// future tells the thread that the caller went away.
    pub async fn ask(&self, inquiry: Inquiry) -> Option<Answer> {
        let call = Call(self.last.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        let guard = Guard { call, inputs: &self.inputs };
        self.inputs.send(Input::Ask { call, inquiry, answer: sender }).ok()?;
        let answer = receiver.await.ok();
        std::mem::forget(guard);
        answer
    }
}

/// Tells the thread when the future of a request is dropped.
struct Guard<'a> {
    call: Call,
    inputs: &'a UnboundedSender<Input>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        // The thread may have ended already.
        let _ = self.inputs.send(Input::Abandoned(self.call));
    }
}
