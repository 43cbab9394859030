//! The way of a front into the loop of a thread.

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

/// A call with the place for its answer.
#[derive(Debug)]
pub struct Submission<C, E, A> {
    /// What the call asks for.
    pub event: E,
    /// The call.
    pub call: C,
    /// Where the answer goes.
    pub answer: oneshot::Sender<A>,
}

/// What a front hands to a thread.
#[derive(Debug)]
pub enum Input<C, E, A> {
    /// A call that waits for an answer.
    Call(Submission<C, E, A>),
    /// A caller went away before its answer.
    Abandoned(C),
}

/// Makes calls and hands them to a thread.
#[derive(Debug)]
pub struct Handle<C, E, A> {
    inputs: UnboundedSender<Input<C, E, A>>,
    number: fn(u64) -> C,
    last: Arc<AtomicU64>,
}

impl<C, E, A> Clone for Handle<C, E, A> {
    fn clone(&self) -> Self {
        let (inputs, last) = (self.inputs.clone(), Arc::clone(&self.last));
        Handle { inputs, number: self.number, last }
    }
}

impl<C: Copy, E, A> Handle<C, E, A> {
    /// Makes a handle that hands calls to `inputs`; `number` makes a call of its
    /// number.
    pub fn new(inputs: UnboundedSender<Input<C, E, A>>, number: fn(u64) -> C) -> Self {
        Handle { inputs, number, last: Arc::new(AtomicU64::new(0)) }
    }

    /// Asks for an answer. It is none when the thread has ended. Dropping the
    /// future tells the thread that the caller went away.
    pub async fn request(&self, event: impl FnOnce(C) -> E) -> Option<A> {
        let call = (self.number)(self.last.fetch_add(1, Ordering::Relaxed));
        let (answer, receiver) = oneshot::channel();
        let guard = Guard { call, inputs: &self.inputs };
        self.inputs.send(Input::Call(Submission { call, event: event(call), answer })).ok()?;
        let answer = receiver.await.ok();
        std::mem::forget(guard);
        answer
    }
}

/// The calls of a thread that wait for their answers.
#[derive(Debug)]
pub struct Pending<C, A>(BTreeMap<C, oneshot::Sender<A>>);

impl<C, A> Default for Pending<C, A> {
    fn default() -> Self {
        Pending(BTreeMap::new())
    }
}

impl<C: Copy + Ord, A> Pending<C, A> {
    /// Takes an input and returns its event; `abandoned` makes the one of a
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

    /// Hands an answer to its caller, who may have gone away.
    pub fn answer(&mut self, call: C, answer: A) {
        if let Some(sender) = self.0.remove(&call) {
            let _ = sender.send(answer);
        }
    }
}

/// Tells the thread when the future of a call is dropped.
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

/// Takes what is ready in a channel without waiting, until `into` holds `most`.
pub fn take_ready<T>(channel: &mut UnboundedReceiver<T>, into: &mut Vec<T>, most: usize) {
    while into.len() < most {
        match channel.try_recv() {
            Ok(event) => into.push(event),
            Err(_) => return,
        }
    }
}
