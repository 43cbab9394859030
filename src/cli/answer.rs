//! Answers of a VM over HTTP: the client, what became of a request, refusals.

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
const CONNECT_LIMIT: Duration = Duration::from_secs(3);

/// A flag that names the address of a VM, for errors.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The flag.
    pub flag: &'static str,
    /// The address that it gave.
    pub address: SocketAddr,
    /// What is to be done when a request got no whole answer.
    pub lost: &'static str,
}

/// The body of an answer that is no refusal.
#[derive(Clone, Debug)]
pub struct Body(pub Vec<u8>);

/// A refusal of a VM.
#[derive(Clone, Debug, Deserialize)]
pub struct Problem {
    /// The kind of the fault.
    pub kind: String,
    /// What exactly was wrong.
    pub detail: String,
    /// Whether anything ran.
    pub ran: String,
    /// Whether and when to send again.
    pub retry: Option<Retry>,
    /// The revision that won a race.
    pub winner: Option<Revision>,
    /// What leads from the winner to what was to be published.
    pub changes: Option<Vec<Difference>>,
    /// The token of a publication that is not settled.
    pub token: Option<Token>,
}

/// Whether and when to send again.
#[derive(Clone, Debug, Deserialize)]
pub struct Retry {
    allowed: bool,
    after_ms: Option<u64>,
}

/// Makes a client that gives up after `limit`.
pub fn client(limit: Duration) -> Result<Client, Report<Failure>> {
    Client::builder()
        .connect_timeout(CONNECT_LIMIT)
        .timeout(limit)
        .no_proxy()
        .build()
        .map_err(|e| Failure::report(Exit::Failed, format!("no client: {e}"), ""))
}

/// What a VM answered: a body or a refusal, each with its text.
pub enum Answer {
    /// The request was carried out.
    Done(Body),
    /// The request was refused.
    Refused(Body, Problem),
}

/// Sends a request and reads its whole answer.
pub async fn exchange(request: RequestBuilder, place: Place) -> Result<Answer, Report<Failure>> {
    let response = request.send().await.map_err(|e| lost(place, &e))?;
    let status = response.status();
    let body = Body(response.bytes().await.map_err(|e| lost(place, &e))?.to_vec());
    if status.is_success() {
        return Ok(Answer::Done(body));
    }
    let problem = body.decode(status, place)?;
    Ok(Answer::Refused(body, problem))
}

impl Body {
    /// The text as the VM sent it.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }

    /// Reads the document of an answer with `status`.
    pub fn decode<T: DeserializeOwned>(
        &self,
        status: StatusCode,
        place: Place,
    ) -> Result<T, Report<Failure>> {
        serde_json::from_slice(&self.0).map_err(|e| Cause(e.to_string())).change_context_lazy(
            || Failure {
                exit: Exit::Unsettled,
                detail: format!("the answer with status {status} cannot be read"),
                hint: format!("check that {} is the right address of a VM", place.flag),
            },
        )
    }
}

impl Problem {
    /// The exit code that tells whether anything ran.
    pub fn exit(&self) -> Exit {
        if self.ran == "no" { Exit::Refused } else { Exit::Unsettled }
    }

    /// The failure of a command, with what to do next.
    pub fn report(&self, hint: impl Into<String>) -> Report<Failure> {
        let detail = format!("{}: {} (ran: {})", self.kind, self.detail, self.ran);
        Failure::report(self.exit(), detail, hint)
    }

    /// What to do next, from whether the request may be sent again.
    pub fn hint(&self) -> String {
        match self.retry {
            Some(Retry { allowed: true, after_ms }) => {
                format!("send it again after {} ms", after_ms.unwrap_or_default())
            }
            _ => "the same request gets the same refusal".to_owned(),
        }
    }
}

/// The failure of a request that got no whole answer.
fn lost(place: Place, error: &reqwest::Error) -> Report<Failure> {
    let Place { flag, address, lost } = place;
    let failed = if error.is_connect() {
        Failure {
            exit: Exit::Unreachable,
            detail: format!("{flag} {address} does not answer"),
            hint: format!("check {flag}, or ask another VM"),
        }
    } else {
        Failure {
            exit: Exit::Unsettled,
            detail: format!("{flag} {address} gave no whole answer"),
            hint: lost.to_owned(),
        }
    };
    Report::new(Cause(deepest(error))).change_context(failed)
}

/// The text of the error that all others stem from.
fn deepest(error: &dyn std::error::Error) -> String {
    let mut error = error;
    while let Some(source) = error.source() {
        error = source;
    }
    error.to_string()
}
