//! Hands the calls of a front to the loop of a thread and the answers back.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender},
    oneshot,
};

/// A call that was submitted to a thread, with the channel for its answer.
#[derive(Debug)]
pub struct Submission<C, E, A> {
    /// The event that the call is for the engine of the thread.
    pub event: E,
    /// The id of the call.
    pub call: C,
    /// Sends the answer back.
    pub answer: oneshot::Sender<A>,
}

/// An input of a thread from its front.
#[derive(Debug)]
pub enum Input<C, E, A> {
    /// A call that waits for an answer.
    Call(Submission<C, E, A>),
    /// The caller went away before the answer to this call.
    Abandoned(C),
}

/// Numbers calls and hands them to a thread.
#[derive(Debug)]
pub struct Handle<C, E, A> {
    inputs: UnboundedSender<Input<C, E, A>>,
    make_call: fn(u64) -> C,
    next_number: Arc<AtomicU64>,
}

impl<C, E, A> Clone for Handle<C, E, A> {
    fn clone(&self) -> Self {
        let (inputs, next_number) = (self.inputs.clone(), Arc::clone(&self.next_number));
        Handle { inputs, make_call: self.make_call, next_number }
    }
}

impl<C: Copy, E, A> Handle<C, E, A> {
    /// Makes a handle that hands calls to `inputs`; `make_call` makes the id of
    /// a call from its number.
    pub fn new(inputs: UnboundedSender<Input<C, E, A>>, make_call: fn(u64) -> C) -> Self {
        Handle { inputs, make_call, next_number: Arc::new(AtomicU64::new(0)) }
    }

    /// Submits a call and waits for its answer, which is none when the thread
    /// has ended. Dropping the future tells the thread that the caller went
    /// away.
    pub async fn request(&self, event: impl FnOnce(C) -> E) -> Option<A> {
        let call = (self.make_call)(self.next_number.fetch_add(1, Ordering::Relaxed));
        let (answer, receiver) = oneshot::channel();
        let guard = Guard { call, inputs: &self.inputs };
        self.inputs.send(Input::Call(Submission { call, event: event(call), answer })).ok()?;
        let answer = receiver.await.ok();
        std::mem::forget(guard);
        answer
    }
}

/// The calls of a thread that wait for their answers, by id.
#[derive(Debug)]
pub struct Pending<C, A>(BTreeMap<C, oneshot::Sender<A>>);

impl<C, A> Default for Pending<C, A> {
    fn default() -> Self {
        Pending(BTreeMap::new())
    }
}

impl<C: Copy + Ord, A> Pending<C, A> {
    /// Registers the call of an input, or removes one whose caller went away,
    /// and returns the event for the engine; `abandoned` makes the event for a
    /// caller that went away.
    pub fn register<E>(&mut self, input: Input<C, E, A>, abandoned: impl FnOnce(C) -> E) -> E {
        match input {
            Input::Call(submission) => {
                self.0.insert(submission.call, submission.answer);
                submission.event
            }
            Input::Abandoned(call) => {
                self.0.remove(&call);
                abandoned(call)
            }
        }
    }

    /// Sends an answer to its caller, which may have gone away.
    pub fn answer(&mut self, call: C, answer: A) {
        if let Some(sender) = self.0.remove(&call) {
            let _ = sender.send(answer);
        }
    }
}

/// Tells the thread that the caller went away, if the future of a call is
/// dropped before its answer.
struct Guard<'a, C: Copy, E, A> {
    call: C,
    inputs: &'a UnboundedSender<Input<C, E, A>>,
}

impl<C: Copy, E, A> Drop for Guard<'_, C, E, A> {
    fn drop(&mut self) {
        // The thread may have ended already.
        let _ = self.inputs.send(Input::Abandoned(self.call));
    }
}

/// Moves what is ready in `channel` to `into` without waiting, until `into`
/// holds `limit` items.
pub fn take_ready<T>(channel: &mut UnboundedReceiver<T>, into: &mut Vec<T>, limit: usize) {
    while into.len() < limit {
        match channel.try_recv() {
            Ok(event) => into.push(event),
            Err(_) => return,
        }
    }
}
