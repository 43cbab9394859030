//! The ways into a traffic thread.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use laburnum_core::traffic::{Answer, Call, Event, Operate, Search};
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// A call with the place for its answer.
#[derive(Debug)]
pub struct Ask {
    /// What the call asks for.
    pub event: Event,
    /// The call.
    pub call: Call,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// What a front end hands to the thread.
#[derive(Debug)]
pub enum Input {
    /// A call that waits for an answer.
    Ask(Ask),
    /// A caller went away before its answer.
    Abandoned(Call),
}

/// The way of a front end into a traffic thread.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: UnboundedSender<Input>,
    last: Arc<AtomicU64>,
}

impl Handle {
    /// Makes a handle that hands calls to `inputs`.
    pub fn new(inputs: UnboundedSender<Input>) -> Handle {
        Handle { inputs, last: Arc::new(AtomicU64::new(0)) }
    }

    /// Asks for rows. It answers none when the thread has ended. Dropping the
    /// future tells the thread that the caller went away.
    pub async fn search(&self, search: Search) -> Option<Answer> {
        self.ask(|call| Event::Search { call, search }).await
    }

    /// Asks for an operation, like [`Handle::search`].
    pub async fn operate(&self, operate: Operate) -> Option<Answer> {
        self.ask(|call| Event::Operate { call, operate }).await
    }

    async fn ask(&self, event: impl FnOnce(Call) -> Event) -> Option<Answer> {
        let call = Call(self.last.fetch_add(1, Ordering::Relaxed));
        let (answer, receiver) = oneshot::channel();
        let guard = Guard { call, inputs: &self.inputs };
        self.inputs.send(Input::Ask(Ask { event: event(call), call, answer })).ok()?;
        let answer = receiver.await.ok();
        std::mem::forget(guard);
        answer
    }
}

/// Tells the thread when the future of a call is dropped.
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
