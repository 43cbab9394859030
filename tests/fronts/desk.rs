//! A front for operators with a fake control thread behind it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use laburnum_core::{
    control::{Answer, Request, request::Token as Publication},
    name::Name,
    profile::{Profile, Raw, Revision},
};
use laburnumworks::{
    control::{self, Inbox},
    operator,
    settings::identity::{Hash, Operators, Role, Token},
};
use reqwest::Response;
use serde_json::{Value, json};
use tokio::{sync::watch, time::timeout};
use uuid::Uuid;

use crate::bed::{PATIENCE, QUIET, Signals, Text, assert_not_run, client, listen, name, problem};

/// A front for operators.
pub struct Desk {
    pub address: SocketAddr,
    pub signals: Signals,
    pub http: reqwest::Client,
    inbox: Inbox,
}

/// The text of the token that carries both roles for the team `desk`.
pub const BOTH: &str = "a-token-that-may-do-everything";
/// The text of the token that may only read.
pub const READ: &str = "a-token-that-may-only-read";

impl Desk {
    /// Starts a front with the tokens [`BOTH`] and [`READ`].
    pub fn start() -> Desk {
        let (listener, address) = listen();
        let (handle, inbox) = control::channel();
        let (ready, is_ready) = watch::channel(true);
        let (shutdown, is_shut) = watch::channel(false);
        let tokens = vec![
            token("lead", BOTH, vec![Role::Read, Role::Publish]),
            token("viewer", READ, vec![Role::Read]),
        ];
        let seed = operator::Parts {
            listener,
            operators: Operators { tokens },
            handle,
            ready: is_ready,
            metrics: Arc::new(Text),
            shutdown: is_shut,
        };
        tokio::spawn(operator::serve(seed));
        Desk { address, signals: Signals { ready, shutdown }, http: client(), inbox }
    }

    /// A request with the token `token`.
    pub fn request(&self, method: &str, path: &str, token: &str) -> reqwest::RequestBuilder {
        let method = method.parse().expect("a method");
        let url = format!("http://{}{path}", self.address);
        self.http.request(method, url).bearer_auth(token)
    }

    /// Sends `request`, answers it, and tells what was asked.
    pub async fn exchange(
        &mut self,
        request: reqwest::RequestBuilder,
        answer: Answer,
    ) -> (Request, Response) {
        let sent = tokio::spawn(request.send());
        let ask = timeout(PATIENCE, self.inbox.next()).await.expect("it is asked").expect("open");
        let _ = ask.answer.send(answer);
        let response = sent.await.expect("the client does not panic").expect("an answer comes");
        (ask.request, response)
    }

    /// Answers whatever is asked.
    pub async fn answer_all(&mut self) {
        while let Some(ask) = self.inbox.next().await {
            let _ = ask.answer.send(control_answer());
        }
    }

    /// Checks that nothing is asked of the control thread.
    pub async fn assert_nothing_asked(&mut self) {
        let asked = timeout(QUIET, self.inbox.next()).await;
        assert!(asked.is_err(), "a request reached the control thread");
    }
}

fn control_answer() -> Answer {
    Answer::NotPublished { current: Revision(4) }
}

fn token(name: &str, text: &str, roles: Vec<Role>) -> Token {
    Token {
        name: crate::bed::name(name),
        team: crate::bed::name("desk"),
        roles,
        hash: Hash::of(text.as_bytes()),
    }
}

/// A profile of `team`.
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
    .expect("a sound profile")
}

/// Profiles by name, each with its team and concurrency.
pub fn profiles(rows: &[(&str, &str, u32)]) -> BTreeMap<Name, Profile> {
    rows.iter().map(|&(key, team, level)| (name(key), profile(team, level))).collect()
}

/// The profiles that the cases publish.
pub fn own() -> BTreeMap<Name, Profile> {
    profiles(&[("portal", "desk", 8)])
}

/// The document of [`own`].
pub fn body() -> String {
    json!({ "profiles": own() }).to_string()
}

/// Checks that `request` is refused with `status` and asks nothing.
pub async fn refused(
    desk: &mut Desk,
    request: reqwest::RequestBuilder,
    status: u16,
    kind: &str,
) -> Value {
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), status);
    let document = problem(response).await;
    assert_not_run(&document, kind);
    desk.assert_nothing_asked().await;
    document
}

/// Every path with a body that it takes.
pub fn paths() -> Vec<(&'static str, &'static str, String)> {
    let empty = String::new;
    vec![
        ("GET", "/v1/profiles", empty()),
        ("PUT", "/v1/profiles", body()),
        ("POST", "/v1/profiles/diff", body()),
        ("GET", "/v1/profiles/history", empty()),
        ("POST", "/v1/profiles/rollback", r#"{"to":1}"#.to_owned()),
        ("GET", "/v1/profiles/status", empty()),
        ("POST", "/v1/publications/settle", json!({ "token": unsettled_token() }).to_string()),
        ("GET", "/v1/vms", empty()),
        ("GET", "/v1/targets", empty()),
    ]
}

/// The token of an unsettled publication.
pub fn unsettled_token() -> Publication {
    Publication { base: Revision(4), revision: Revision(5), id: Uuid::from_u128(0xfeed) }
}
