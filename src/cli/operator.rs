//! A client of the operators' address of a VM.

use std::{net::SocketAddr, path::Path, time::Duration};

use error_stack::Report;
use laburnum_core::profile::Revision;
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    answer::{self, Answer, Body, Place, Problem},
    failure::{Failure, Outcome},
    output, value,
};
use crate::settings::identity::Secret;

/// The time within which a VM answers an operator. A publication is settled or
/// given up well before.
const LIMIT: Duration = Duration::from_secs(30);

/// Where to ask, as whom, and how to print.
#[derive(Clone, Debug)]
pub struct Operator {
    place: Place,
    token: Secret,
    json: bool,
}

/// What is sent.
#[derive(Clone, Debug)]
pub struct Request<T> {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: &'static str,
    /// The revision that must be in force.
    pub expect: Option<Revision>,
    /// The document, if the method takes one.
    pub body: Option<T>,
}

/// A request that reads `path`.
pub fn get(path: &'static str) -> Request<()> {
    Request { method: Method::GET, path, expect: None, body: None }
}

/// A request that posts `body` to `path`.
pub fn post<T>(path: &'static str, body: T) -> Request<T> {
    Request { method: Method::POST, path, expect: None, body: Some(body) }
}

impl Operator {
    /// Reads the token of an operator from `token_file`.
    pub fn new(
        address: SocketAddr,
        token_file: &Path,
        json: bool,
    ) -> Result<Operator, Report<Failure>> {
        let token = value::token(token_file)?;
        let lost = "look at `profile status` and `profile history` before you send it again";
        Ok(Operator { place: Place { flag: "--operator", address, lost }, token, json })
    }

    /// Sends `request` and prints its answer: as the VM sent it with `--json`,
    /// or as `describe` puts it. `hint` says what to do after a refusal.
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
        let document: D = body.decode(StatusCode::OK, self.place)?;
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
        let client = answer::client(LIMIT)?;
        let url = format!("http://{}{}", self.place.address, request.path);
        let mut builder: RequestBuilder =
            client.request(request.method.clone(), url).bearer_auth(self.token.expose());
        if let Some(revision) = request.expect {
            builder = builder.header("If-Match", format!("\"{}\"", revision.0));
        }
        if let Some(body) = &request.body {
            builder = builder.json(body);
        }
        answer::exchange(builder, self.place).await
    }
}
