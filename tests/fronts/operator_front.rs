//! A front for operators whose control thread is played by the case.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use laburnum_core::{
    control::{Answer, Request, request::Token as PublicationToken},
    name::Name,
    profile::{Profile, Raw, Revision},
};
use laburnumworks::{
    control::{self, Inbox},
    memory::Ledger,
    operator,
    settings::identity::{Hash, Operators, Role, Token},
};
use reqwest::Response;
use serde_json::{Value, json};
use tokio::{sync::watch, time::timeout};
use uuid::Uuid;

use crate::fixture::{
    EVENT_TIMEOUT, NoMetrics, QUIET_PERIOD, Signals, assert_not_run, client, listen, name,
    read_problem,
};

/// A front for operators and the inbox of its control thread.
pub struct OperatorFront {
    pub address: SocketAddr,
    pub signals: Signals,
    pub http: reqwest::Client,
    inbox: Inbox,
}

/// A token with both roles for the team `desk`.
pub const BOTH_ROLES_TOKEN: &str = "a-token-that-may-do-everything";
/// A token with only the role `read`.
pub const READ_TOKEN: &str = "a-token-that-may-only-read";

impl OperatorFront {
    /// Starts a front with the tokens [`BOTH_ROLES_TOKEN`] and [`READ_TOKEN`].
    pub fn start() -> OperatorFront {
        let (listener, address) = listen();
        let (handle, inbox) = control::channel();
        let (ready, is_ready) = watch::channel(true);
        let (shutdown, is_shut) = watch::channel(false);
        let tokens = vec![
            token("lead", BOTH_ROLES_TOKEN, vec![Role::Read, Role::Publish]),
            token("viewer", READ_TOKEN, vec![Role::Read]),
        ];
        let parts = operator::Parts {
            listener,
            ledger: Ledger::default(),
            operators: Operators { tokens },
            handle,
            ready: is_ready,
            metrics: Arc::new(NoMetrics),
            shutdown: is_shut,
        };
        tokio::spawn(operator::serve(parts));
        OperatorFront { address, signals: Signals { ready, shutdown }, http: client(), inbox }
    }

    /// Builds a request with a bearer token.
    pub fn request(&self, method: &str, path: &str, token: &str) -> reqwest::RequestBuilder {
        let method = method.parse().expect("a method");
        let url = format!("http://{}{path}", self.address);
        self.http.request(method, url).bearer_auth(token)
    }

    /// Sends `request`, answers it with `answer`, and returns what the control thread
    /// received and the response.
    pub async fn exchange(
        &mut self,
        request: reqwest::RequestBuilder,
        answer: Answer,
    ) -> (Request, Response) {
        let sent = tokio::spawn(request.send());
        let submission = timeout(EVENT_TIMEOUT, self.inbox.next())
            .await
            .expect("a request within the limit")
            .expect("the front runs");
        let _ = submission.answer.send(answer);
        let response = sent.await.expect("the client does not panic").expect("an answer comes");
        (submission.request, response)
    }

    /// Answers every request to the control thread with the same answer.
    pub async fn answer_all(&mut self) {
        while let Some(submission) = self.inbox.next().await {
            let _ = submission.answer.send(control_answer());
        }
    }

    /// Asserts that no request reaches the control thread.
    pub async fn assert_nothing_received(&mut self) {
        let received = timeout(QUIET_PERIOD, self.inbox.next()).await;
        assert!(received.is_err(), "a request reached the control thread");
    }
}

fn control_answer() -> Answer {
    Answer::NotPublished { current: Revision(4) }
}

fn token(name: &str, text: &str, roles: Vec<Role>) -> Token {
    Token {
        name: crate::fixture::name(name),
        team: crate::fixture::name("desk"),
        roles,
        hash: Hash::of(text.as_bytes()),
    }
}

/// A valid profile of `team`.
pub fn profile(team: &str, concurrency: u32) -> Profile {
    let second = Duration::from_secs(1);
    Profile::try_from(Raw {
        team: team.to_owned(),
        index: "licences".to_owned(),
        coverage_ppm: 990_000,
        deadline: second,
        tail: second,
        extra_load_ppm: 20_000,
        concurrency,
        priority: 10,
        canary: true,
    })
    .expect("a valid profile")
}

/// Makes profiles from rows of name, team and concurrency.
pub fn profiles(rows: &[(&str, &str, u32)]) -> BTreeMap<Name, Profile> {
    rows.iter().map(|&(key, team, level)| (name(key), profile(team, level))).collect()
}

/// The profiles that the cases publish.
pub fn own_profiles() -> BTreeMap<Name, Profile> {
    profiles(&[("portal", "desk", 8)])
}

/// The JSON body that publishes [`own_profiles`].
pub fn profiles_body() -> String {
    json!({ "profiles": own_profiles() }).to_string()
}

/// Sends `request`, asserts that it is refused with `status` and `kind` without
/// reaching the control thread, and returns the problem document.
pub async fn expect_refusal(
    front: &mut OperatorFront,
    request: reqwest::RequestBuilder,
    status: u16,
    kind: &str,
) -> Value {
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), status);
    let document = read_problem(response).await;
    assert_not_run(&document, kind);
    front.assert_nothing_received().await;
    document
}

/// Every method and path for operators, with a valid body.
pub fn paths() -> Vec<(&'static str, &'static str, String)> {
    let empty = String::new;
    vec![
        ("GET", "/v1/profiles", empty()),
        ("PUT", "/v1/profiles", profiles_body()),
        ("POST", "/v1/profiles/diff", profiles_body()),
        ("GET", "/v1/profiles/history", empty()),
        ("POST", "/v1/profiles/rollback", r#"{"to":1}"#.to_owned()),
        ("GET", "/v1/profiles/status", empty()),
        ("POST", "/v1/publications/settle", json!({ "token": unsettled_token() }).to_string()),
        ("GET", "/v1/vms", empty()),
        ("GET", "/v1/targets", empty()),
    ]
}

pub fn unsettled_token() -> PublicationToken {
    PublicationToken { base: Revision(4), revision: Revision(5), id: Uuid::from_u128(0xfeed) }
}
