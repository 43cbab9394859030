//! The ways into the control thread.

use laburnum_core::{
    control::{Answer, Event, Message, Request},
    notice::Report,
    store::{CallId, Reply},
};
use tokio::sync::{
    mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    oneshot,
};

/// A request of an operator with the place for its answer.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub request: Request,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// The sending ends of the channels of the control thread.
#[derive(Clone, Debug)]
pub struct Handle {
    events: UnboundedSender<Event>,
    submissions: UnboundedSender<Submission>,
    replies: UnboundedSender<(CallId, Reply)>,
}

/// The receiving ends of the channels of the control thread.
#[derive(Debug)]
pub struct Inbox {
    pub(super) events: UnboundedReceiver<Event>,
    pub(super) submissions: UnboundedReceiver<Submission>,
    pub(super) replies: UnboundedReceiver<(CallId, Reply)>,
}

/// Makes the channels of the control thread.
pub fn channel() -> (Handle, Inbox) {
    let (events, event_receiver) = unbounded_channel();
    let (submissions, submission_receiver) = unbounded_channel();
    let (replies, reply_receiver) = unbounded_channel();
    let inbox =
        Inbox { events: event_receiver, submissions: submission_receiver, replies: reply_receiver };
    (Handle { events, submissions, replies }, inbox)
}

impl Inbox {
    /// Waits for the next request of an operator, for who answers in place of
    /// the control thread. It answers none when all handles are gone.
    pub async fn next(&mut self) -> Option<Submission> {
        self.submissions.recv().await
    }
}

impl Handle {
    /// Reports for the traffic thread with the number `thread`.
    pub fn report(&self, thread: u16, report: Report) {
        self.event(Event::Report { thread, report });
    }

    /// Hands over a message of another VM.
    pub fn message(&self, message: Message) {
        self.event(Event::Message(message));
    }

    /// Asks the VM to shut down.
    pub fn leave(&self) {
        self.event(Event::Leave);
    }

    fn event(&self, event: Event) {
        // The receiver is gone only when the process is shutting down.
        let _ = self.events.send(event);
    }

    /// The channel through which the client of the platform's service replies.
    pub fn replies(&self) -> UnboundedSender<(CallId, Reply)> {
        self.replies.clone()
    }

    /// Asks for something on behalf of an operator. It answers none when the
    /// control thread has ended.
    pub async fn request(&self, request: Request) -> Option<Answer> {
        let (answer, receiver) = oneshot::channel();
        self.submissions.send(Submission { request, answer }).ok()?;
        receiver.await.ok()
    }
}
