//! The HTTP exchange with a VM: the client, answers and refusals.

use std::{net::SocketAddr, time::Duration};

use error_stack::{Report, ResultExt};
use laburnum_core::{
    control::request::{Difference, Token},
    profile::Revision,
};
use reqwest::{Client, RequestBuilder, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};

use super::{
    exit::Exit,
    failure::{Cause, Failure},
};

/// The time within which a connection to the VM must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The VM to which a request goes, as errors describe it.
#[derive(Clone, Copy, Debug)]
pub struct Destination {
    /// The flag that gave the address.
    pub flag: &'static str,
    pub address: SocketAddr,
    /// The hint for a request that may have been sent but got no complete
    /// answer.
    pub incomplete_hint: &'static str,
}

/// The body of an answer as the VM sent it.
#[derive(Clone, Debug)]
pub struct Body(pub Vec<u8>);

/// The document with which a VM refuses a request.
#[derive(Clone, Debug, Deserialize)]
pub struct Problem {
    /// The kind of the fault.
    pub kind: String,
    /// What was wrong, in words.
    pub detail: String,
    /// Whether anything ran: `no` if nothing did.
    pub ran: String,
    /// Whether and when to send again.
    pub retry: Option<Retry>,
    /// The revision that was published first, if two publications raced.
    pub winner: Option<Revision>,
    /// The changes from the winner to the refused document.
    pub changes: Option<Vec<Difference>>,
    /// The token of a publication whose outcome is unknown.
    pub token: Option<Token>,
}

/// Whether and when to send again.
#[derive(Clone, Debug, Deserialize)]
pub struct Retry {
    allowed: bool,
    after_ms: Option<u64>,
}

/// Makes an HTTP client whose requests fail after `timeout`.
pub fn client(timeout: Duration) -> Result<Client, Report<Failure>> {
    Client::builder().connect_timeout(CONNECT_TIMEOUT).timeout(timeout).no_proxy().build().map_err(
        |e| Failure::report(Exit::Failed, format!("no HTTP client could be made: {e}"), ""),
    )
}

/// The answer of a VM, with its body.
pub enum Answer {
    /// The request was carried out.
    Done(Body),
    /// The request was refused.
    Refused(Body, Problem),
}

/// Sends a request and reads its whole answer.
pub async fn exchange(
    request: RequestBuilder,
    destination: Destination,
) -> Result<Answer, Report<Failure>> {
    let response = request.send().await.map_err(|e| incomplete_answer(destination, &e))?;
    let status = response.status();
    let body =
        Body(response.bytes().await.map_err(|e| incomplete_answer(destination, &e))?.to_vec());
    if status.is_success() {
        return Ok(Answer::Done(body));
    }
    let problem = body.decode(status, destination)?;
    Ok(Answer::Refused(body, problem))
}

impl Body {
    /// The body as text, as the VM sent it.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }

    /// Decodes the JSON document of an answer with `status`.
    pub fn decode<T: DeserializeOwned>(
        &self,
        status: StatusCode,
        destination: Destination,
    ) -> Result<T, Report<Failure>> {
        serde_json::from_slice(&self.0).map_err(|e| Cause(e.to_string())).change_context_lazy(
            || Failure {
                exit: Exit::Unsettled,
                detail: format!("the answer with status {status} cannot be read"),
                hint: format!("check that {} is the right address of a VM", destination.flag),
            },
        )
    }
}

impl Problem {
    /// The exit of the command, which says whether anything may have run.
    pub fn exit(&self) -> Exit {
        if self.ran == "no" { Exit::Refused } else { Exit::Unsettled }
    }

    /// The failure of the command, with `hint` as what to do next.
    pub fn report(&self, hint: impl Into<String>) -> Report<Failure> {
        let detail = format!("{}: {} (ran: {})", self.kind, self.detail, self.ran);
        Failure::report(self.exit(), detail, hint)
    }

    /// The hint whether and when to send the request again.
    pub fn hint(&self) -> String {
        match self.retry {
            Some(Retry { allowed: true, after_ms }) => {
                format!("send it again after {} ms", after_ms.unwrap_or_default())
            }
            _ => "the same request gets the same refusal".to_owned(),
        }
    }
}

/// The failure of a request that got no complete answer.
fn incomplete_answer(destination: Destination, error: &reqwest::Error) -> Report<Failure> {
    let Destination { flag, address, incomplete_hint } = destination;
    let failed = if error.is_connect() {
        Failure {
            exit: Exit::Unreachable,
            detail: format!("{flag} {address} does not answer"),
            hint: format!("check {flag}, or ask another VM"),
        }
    } else {
        Failure {
            exit: Exit::Unsettled,
            detail: format!("{flag} {address} gave no complete answer"),
            hint: incomplete_hint.to_owned(),
        }
    };
    Report::new(Cause(root_cause(error))).change_context(failed)
}

/// The text of the innermost error, which caused the others.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}
