//! The client of the platform's service.
//!
//! It carries each call in a task of its own and decides nothing, not even
//! whether to try again. Its one care is the difference between a call that is
//! known not to have taken effect and one of which nothing is known.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    border::Platform,
    name::Name,
    store::{Call, CallId, Reply},
};
use reqwest::{Response, Url, header::CONTENT_TYPE};
use tokio::{
    sync::{Semaphore, mpsc::UnboundedSender},
    time::timeout,
};

use super::{
    pool::Pool,
    wire::{self, CALL_PATH, MAX_CALL, VM_HEADER},
};

/// The number of calls that are open at a time, waiting watches among them.
pub const MAX_OPEN: usize = 256;

/// The largest answer to a call about one key, in bytes.
const MAX_ANSWER: usize = MAX_CALL;

/// The largest answer to a scan, a watch or a reading of the list, in bytes.
const MAX_LONG_ANSWER: usize = 48 << 20;

/// The HTTP client could not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the client of the platform's service could not be made")
    }
}

impl std::error::Error for Error {}

/// The client of the platform's service.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    url: Url,
    vm: Name,
    limit: Duration,
    open: Arc<Semaphore>,
    replies: UnboundedSender<(CallId, Reply)>,
}

impl Client {
    /// Makes the client of the service at `address` for the VM `vm`.
    ///
    /// A call takes at most `limit`, a watch at most that beyond its own wait.
    /// Each call is answered once through `replies`.
    pub fn new(
        address: SocketAddr,
        vm: Name,
        limit: Duration,
        replies: UnboundedSender<(CallId, Reply)>,
    ) -> Result<Client, Report<Error>> {
        let pool = Pool::new(limit).change_context(Error)?;
        let url = Url::parse(&format!("http://{address}{CALL_PATH}")).change_context(Error)?;
        Ok(Client { pool, url, vm, limit, open: Arc::new(Semaphore::new(MAX_OPEN)), replies })
    }

    /// Makes one call and waits for its reply.
    async fn carry(&self, call: Call) -> Reply {
        let form = Form::from(&call);
        let limit = self.limit + form.wait;
        let body = match encode(call) {
            Ok(body) => body,
            Err(detail) => return Reply::Refused { detail },
        };
        let http = self.pool.current();
        match timeout(limit, self.exchange(&http, body, form.max_answer)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => form.failed(failure),
            Err(_) => {
                self.pool.replace(&http);
                let detail = format!("no answer within {} ms", limit.as_millis());
                form.failed(Failure { sent: true, detail })
            }
        }
    }

    async fn exchange(
        &self,
        http: &reqwest::Client,
        body: Vec<u8>,
        max_answer: usize,
    ) -> Result<Reply, Failure> {
        let response = http
            .post(self.url.clone())
            .header(VM_HEADER, self.vm.as_str())
            .header(CONTENT_TYPE, "application/json")
            .body(body)
            .send()
            .await?;
        let status = response.status();
        let answer = read(response, max_answer).await?;
        let reply: wire::Reply = serde_json::from_slice(&answer).map_err(|e| Failure {
            sent: true,
            detail: format!("answer with status {status} cannot be read: {e}"),
        })?;
        Ok(Reply::from(reply))
    }

    fn report(&self, id: CallId, reply: Reply) {
        // The receiver is gone only when the process is shutting down.
        let _ = self.replies.send((id, reply));
    }
}

impl Platform for Client {
    /// Starts the call as a task of the current runtime.
    fn call(&mut self, id: CallId, call: Call) {
        let Ok(permit) = Arc::clone(&self.open).try_acquire_owned() else {
            let detail = format!("{MAX_OPEN} calls are open already");
            self.report(id, Reply::Refused { detail });
            return;
        };
        let client = self.clone();
        tokio::spawn(async move {
            let reply = client.carry(call).await;
            drop(permit);
            client.report(id, reply);
        });
    }
}

/// What of a call matters to how it is carried.
#[derive(Clone, Copy, Debug)]
struct Form {
    writes: bool,
    wait: Duration,
    max_answer: usize,
}

impl From<&Call> for Form {
    fn from(call: &Call) -> Form {
        let read = Form { writes: false, wait: Duration::ZERO, max_answer: MAX_ANSWER };
        match call {
            Call::Get { .. } => read,
            Call::Scan { .. } | Call::Peek { .. } | Call::List => {
                Form { max_answer: MAX_LONG_ANSWER, ..read }
            }
            Call::Watch { wait, .. } => Form { wait: *wait, max_answer: MAX_LONG_ANSWER, ..read },
            Call::Swap { .. } | Call::Remove { .. } | Call::Grant { .. } | Call::Keep { .. } => {
                Form { writes: true, ..read }
            }
        }
    }
}

impl Form {
    /// The reply to a call without an answer: a read had no effect in any case,
    /// and a write had none if nothing of it was sent.
    fn failed(self, failure: Failure) -> Reply {
        let detail = failure.detail;
        if self.writes && failure.sent { Reply::Lost { detail } } else { Reply::Refused { detail } }
    }
}

/// Why there is no answer, and whether some of the call may have been sent.
#[derive(Debug)]
struct Failure {
    sent: bool,
    detail: String,
}

impl From<reqwest::Error> for Failure {
    fn from(error: reqwest::Error) -> Failure {
        let sent = !error.is_connect();
        Failure { sent, detail: describe(&error) }
    }
}

/// Joins an error and its causes, because an error of reqwest does not print
/// the latter.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}

fn encode(call: Call) -> Result<Vec<u8>, String> {
    let body = serde_json::to_vec(&wire::Call::from(call)).map_err(|e| e.to_string())?;
    if body.len() > MAX_CALL {
        return Err(format!("call of {} bytes, allowed are {MAX_CALL}", body.len()));
    }
    Ok(body)
}

async fn read(mut response: Response, max: usize) -> Result<Vec<u8>, Failure> {
    let mut answer = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if answer.len() + chunk.len() > max {
            let detail = format!("answer is longer than {max} bytes");
            return Err(Failure { sent: true, detail });
        }
        answer.extend_from_slice(&chunk);
    }
    Ok(answer)
}
