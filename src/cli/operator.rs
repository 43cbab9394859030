//! A client for the address of a VM on which it serves operators.

use std::{net::SocketAddr, path::Path, time::Duration};

use error_stack::Report;
use laburnum_core::profile::Revision;
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    answer::{self, Answer, Body, Destination, Problem},
    failure::{Failure, Outcome},
    output, value,
};
use crate::settings::identity::Secret;

/// The time within which a VM must answer an operator. It is well above the
/// time after which a VM settles a publication or gives it up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests to one VM with the token of an operator and prints the
/// answers.
#[derive(Clone, Debug)]
pub struct Operator {
    destination: Destination,
    token: Secret,
    json: bool,
}

/// A request to a VM.
#[derive(Clone, Debug)]
pub struct Request<T> {
    pub method: Method,
    /// The path, with its query string if it has one.
    pub path: &'static str,
    /// The revision that must be in force, or else the VM refuses the request.
    pub expect: Option<Revision>,
    /// The JSON document, if the request has one.
    pub body: Option<T>,
}

/// Makes a request that reads `path`.
pub fn get(path: &'static str) -> Request<()> {
    Request { method: Method::GET, path, expect: None, body: None }
}

/// Makes a request that posts `body` to `path`.
pub fn post<T>(path: &'static str, body: T) -> Request<T> {
    Request { method: Method::POST, path, expect: None, body: Some(body) }
}

impl Operator {
    /// Makes a client for the VM at `address` with the token in `token_file`.
    pub fn new(
        address: SocketAddr,
        token_file: &Path,
        json: bool,
    ) -> Result<Operator, Report<Failure>> {
        let token = value::token(token_file)?;
        let incomplete_hint =
            "look at `profile status` and `profile history` before you send it again";
        Ok(Operator {
            destination: Destination { flag: "--operator", address, incomplete_hint },
            token,
            json,
        })
    }

    /// Sends `request` and prints the answer, with `--json` as the VM sent it
    /// and otherwise as `describe` formats it. `hint` gives what to do after a
    /// refusal.
    pub fn run<T: Serialize, D: DeserializeOwned>(
        &self,
        request: &Request<T>,
        describe: fn(&D) -> String,
        hint: fn(&Problem) -> String,
    ) -> Outcome {
        let answer = value::runtime()?.block_on(self.send(request))?;
        let body = match answer {
            Answer::Done(body) => body,
            Answer::Refused(body, problem) => return Err(self.refused(&body, &problem, hint)),
        };
        self.print(&body, describe)
    }

    fn print<D: DeserializeOwned>(&self, body: &Body, describe: fn(&D) -> String) -> Outcome {
        if self.json {
            output::line(&body.text());
            return Ok(());
        }
        let document: D = body.decode(StatusCode::OK, self.destination)?;
        output::line(describe(&document).trim_end());
        Ok(())
    }

    fn refused(
        &self,
        body: &Body,
        problem: &Problem,
        hint: fn(&Problem) -> String,
    ) -> Report<Failure> {
        if self.json {
            output::line(&body.text());
        }
        problem.report(hint(problem))
    }

    async fn send<T: Serialize>(&self, request: &Request<T>) -> Result<Answer, Report<Failure>> {
        let client = answer::client(ANSWER_TIMEOUT)?;
        let url = format!("http://{}{}", self.destination.address, request.path);
        let mut builder: RequestBuilder =
            client.request(request.method.clone(), url).bearer_auth(self.token.expose());
        if let Some(revision) = request.expect {
            builder = builder.header("If-Match", format!("\"{}\"", revision.0));
        }
        if let Some(body) = &request.body {
            builder = builder.json(body);
        }
        answer::exchange(builder, self.destination).await
    }
}
