//! The channels into the control thread.

use laburnum_core::{
    control::{Answer, Event, Message, Request},
    notice::Report,
    store::Outcome,
};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    oneshot,
};

/// A request of an operator, with the channel for its answer.
#[derive(Debug)]
pub struct Submission {
    pub request: Request,
    /// Sends the answer back.
    pub answer: oneshot::Sender<Answer>,
}

/// The sending ends of the channels of the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    events: UnboundedSender<Event>,
    submissions: UnboundedSender<Submission>,
    outcomes: UnboundedSender<Outcome>,
}

/// The receiving ends of the channels of the control thread.
#[derive(Debug)]
pub struct Inbox {
    pub(super) events: UnboundedReceiver<Event>,
    pub(super) submissions: UnboundedReceiver<Submission>,
    pub(super) outcomes: UnboundedReceiver<Outcome>,
}

/// Makes the channels of the control thread.
pub fn channel() -> (Handle, Inbox) {
    let (events, event_receiver) = unbounded_channel();
    let (submissions, submission_receiver) = unbounded_channel();
    let (outcomes, outcome_receiver) = unbounded_channel();
    let inbox = Inbox {
        events: event_receiver,
        submissions: submission_receiver,
        outcomes: outcome_receiver,
    };
    (Handle { events, submissions, outcomes }, inbox)
}

impl Inbox {
    /// Waits for the next request of an operator. This is for code that answers
    /// in place of the control thread. Returns none when all handles are gone.
    pub async fn next(&mut self) -> Option<Submission> {
        self.submissions.recv().await
    }
}

impl Handle {
    /// Sends a report of the traffic thread with the number `thread`.
    pub fn report(&self, thread: u16, report: Report) {
        self.send(Event::Report { thread, report });
    }

    /// Passes on a message from another VM.
    pub fn message(&self, message: Message) {
        self.send(Event::Message(message));
    }

    /// Asks the VM to shut down.
    pub fn leave(&self) {
        self.send(Event::Leave);
    }

    fn send(&self, event: Event) {
        // The receiver is dropped only when the process shuts down.
        let _ = self.events.send(event);
    }

    /// Returns the channel for the outcomes of calls to the platform's service.
    pub fn outcomes(&self) -> UnboundedSender<Outcome> {
        self.outcomes.clone()
    }

    /// Submits a request of an operator and waits for its answer, which is none
    /// when the control thread has ended.
    pub async fn request(&self, request: Request) -> Option<Answer> {
        let (answer, receiver) = oneshot::channel();
        self.submissions.send(Submission { request, answer }).ok()?;
        receiver.await.ok()
    }
}
