//! Who may ask, and which team may change which profile.

use laburnum_core::{
    control::{Answer, access},
    fault::Kind,
    profile::Revision,
};
use serde_json::json;

use crate::{
    bed::{Wire, assert_not_run, document, name},
    desk::{BOTH, Desk, READ, paths, profiles, refused},
};

/// The answer to a request on any path with these credentials.
async fn unknown(change: fn(reqwest::RequestBuilder) -> reqwest::RequestBuilder) {
    let mut desk = Desk::start();
    let mut documents = Vec::new();
    for (method, path, body) in paths() {
        let request =
            desk.http.request(method.parse().unwrap(), format!("http://{}{path}", desk.address));
        let request = change(request.body(body));
        documents.push(refused(&mut desk, request, 401, "unauthorized").await);
    }
    let expected = json!({
        "type": "urn:laburnumworks:fault:unauthorized",
        "title": "a valid token is required",
        "status": 401,
        "detail": "Authorization: allowed is a bearer token from the settings of this VM",
        "kind": "unauthorized",
        "ran": "no",
        "retry": { "allowed": false },
    });
    assert!(documents.iter().all(|document| *document == expected), "{documents:?}");
}

async fn roles() {
    let mut desk = Desk::start();
    for (method, path, body) in paths() {
        let request = desk.request(method, path, READ).body(body);
        let is_write = method == "PUT" || path.ends_with("rollback") || path.ends_with("settle");
        if is_write {
            let document = refused(&mut desk, request, 403, "forbidden").await;
            assert!(document["detail"].as_str().unwrap().contains("role publish"));
        } else {
            let answer = Answer::Changes { revision: Revision(4), changes: Vec::new() };
            let (_, response) = desk.exchange(request, answer).await;
            assert_eq!(response.status(), 200);
        }
    }
}

async fn nothing_secret() {
    let mut desk = Desk::start();
    for (method, path, body) in paths() {
        let request = desk.request(method, path, "a-token-that-is-not-known").body(body);
        let document = refused(&mut desk, request, 401, "unauthorized").await.to_string();
        assert!(!document.contains("not-known") && !document.contains("lead"), "{document}");
    }
}

/// A path that is not there is not told from others without a token.
async fn unknown_path() {
    let mut desk = Desk::start();
    let url = format!("http://{}/v1/nothing", desk.address);
    let request = desk.http.get(&url);
    refused(&mut desk, request, 401, "unauthorized").await;
    let request = desk.request("GET", "/v1/nothing", READ);
    refused(&mut desk, request, 404, "not_found").await;
}

/// Who has no token cannot make the front keep a large body.
async fn body_without_token() {
    let desk = Desk::start();
    let mut wire = Wire::open(desk.address).await;
    wire.send("PUT /v1/profiles HTTP/1.1\r\nhost: vm\r\ncontent-length: 1000000\r\n\r\n").await;
    let response = wire.rest().await;
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert_not_run(&document(&response), "unauthorized");
}

/// Whether the team `desk` may replace `before` by `after`.
fn may(before: &[(&str, &str, u32)], after: &[(&str, &str, u32)]) -> bool {
    let outcome = access::check(&name("desk"), &profiles(before), &profiles(after));
    if let Err(fault) = &outcome {
        assert_eq!(fault.kind, Kind::Forbidden);
        assert!(fault.detail.starts_with("profiles.p: "), "{fault}");
    }
    outcome.is_ok()
}

cases! {
    a_team_adds_a_profile => assert!(may(&[], &[("p", "desk", 1)]));
    a_team_alters_a_profile => assert!(may(&[("p", "desk", 1)], &[("p", "desk", 2)]));
    a_team_removes_a_profile => assert!(may(&[("p", "desk", 1)], &[]));
    a_team_leaves_others_alone => assert!(may(
        &[("p", "desk", 1), ("q", "other", 1)],
        &[("p", "desk", 2), ("q", "other", 1)],
    ));
    a_team_adds_no_profile_of_another => assert!(!may(&[], &[("p", "other", 1)]));
    a_team_alters_no_profile_of_another => assert!(!may(&[("p", "other", 1)], &[("p", "other", 2)]));
    a_team_removes_no_profile_of_another => assert!(!may(&[("p", "other", 1)], &[]));
    a_team_takes_over_no_profile => assert!(!may(&[("p", "other", 1)], &[("p", "desk", 1)]));
    a_team_gives_away_no_profile => assert!(!may(&[("p", "desk", 1)], &[("p", "other", 1)]));
}

cases! {
    async:
    no_token => unknown(|request| request).await;
    an_unknown_token => unknown(|request| request.bearer_auth("a-token-that-is-not-known")).await;
    an_empty_token => unknown(|request| request.bearer_auth("")).await;
    another_scheme => unknown(|request| request.basic_auth("lead", Some(BOTH))).await;
    a_scheme_alone => unknown(|request| request.header("Authorization", "Bearer")).await;
    a_token_without_scheme => unknown(|request| request.header("Authorization", BOTH)).await;
    a_token_that_is_no_text => unknown(|request| {
        request.header("Authorization", &b"Bearer \xff\xfe"[..])
    }).await;
    two_tokens => unknown(|request| request.bearer_auth(BOTH).bearer_auth(READ)).await;
    a_role_is_needed => roles().await;
    an_unknown_path_needs_a_token => unknown_path().await;
    a_body_without_token_is_not_read => body_without_token().await;
    a_refusal_holds_nothing_secret => nothing_secret().await;
}
