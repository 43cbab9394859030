//! Authentication of operators, their roles, and which team may change which
//! profile.

use laburnum_core::{
    control::{Answer, access},
    fault::Kind,
    profile::Revision,
};
use serde_json::json;

use crate::{
    fixture::{Connection, assert_not_run, name, parse_document},
    operator_front::{
        BOTH_ROLES_TOKEN, OperatorFront, READ_TOKEN, expect_refusal, paths, profiles,
    },
};

/// Asserts that a request on any path is refused in the same way when `change` sets
/// its credentials.
async fn assert_unauthorized(change: fn(reqwest::RequestBuilder) -> reqwest::RequestBuilder) {
    let mut front = OperatorFront::start();
    let mut documents = Vec::new();
    for (method, path, body) in paths() {
        let request =
            front.http.request(method.parse().unwrap(), format!("http://{}{path}", front.address));
        let request = change(request.body(body));
        documents.push(expect_refusal(&mut front, request, 401, "unauthorized").await);
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

async fn assert_roles_enforced() {
    let mut front = OperatorFront::start();
    for (method, path, body) in paths() {
        let request = front.request(method, path, READ_TOKEN).body(body);
        let is_write = method == "PUT" || path.ends_with("rollback") || path.ends_with("settle");
        if is_write {
            let document = expect_refusal(&mut front, request, 403, "forbidden").await;
            assert!(document["detail"].as_str().unwrap().contains("role publish"));
        } else {
            let answer = Answer::Changes { revision: Revision(4), changes: Vec::new() };
            let (_, response) = front.exchange(request, answer).await;
            assert_eq!(response.status(), 200);
        }
    }
}

async fn assert_no_secret_in_refusals() {
    let mut front = OperatorFront::start();
    for (method, path, body) in paths() {
        let request = front.request(method, path, "a-token-that-is-not-known").body(body);
        let document = expect_refusal(&mut front, request, 401, "unauthorized").await.to_string();
        assert!(!document.contains("not-known") && !document.contains("lead"), "{document}");
    }
}

/// Without a token, an unknown path is answered like any other.
async fn assert_unknown_path_needs_token() {
    let mut front = OperatorFront::start();
    let url = format!("http://{}/v1/nothing", front.address);
    let request = front.http.get(&url);
    expect_refusal(&mut front, request, 401, "unauthorized").await;
    let request = front.request("GET", "/v1/nothing", READ_TOKEN);
    expect_refusal(&mut front, request, 404, "not_found").await;
}

/// A client without a token cannot make the front buffer a large body.
async fn assert_body_needs_token() {
    let front = OperatorFront::start();
    let mut connection = Connection::open(front.address).await;
    connection
        .send("PUT /v1/profiles HTTP/1.1\r\nhost: vm\r\ncontent-length: 1000000\r\n\r\n")
        .await;
    let response = connection.read_to_end().await;
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert_not_run(&parse_document(&response), "unauthorized");
}

/// Returns whether the team `desk` may replace `before` with `after`.
fn is_allowed(before: &[(&str, &str, u32)], after: &[(&str, &str, u32)]) -> bool {
    let outcome = access::check(&name("desk"), &profiles(before), &profiles(after));
    if let Err(fault) = &outcome {
        assert_eq!(fault.kind, Kind::Forbidden);
        assert!(fault.detail.starts_with("profiles.p: "), "{fault}");
    }
    outcome.is_ok()
}

cases! {
    a_team_adds_a_profile => assert!(is_allowed(&[], &[("p", "desk", 1)]));
    a_team_alters_a_profile => assert!(is_allowed(&[("p", "desk", 1)], &[("p", "desk", 2)]));
    a_team_removes_a_profile => assert!(is_allowed(&[("p", "desk", 1)], &[]));
    a_team_leaves_others_alone => assert!(is_allowed(
        &[("p", "desk", 1), ("q", "other", 1)],
        &[("p", "desk", 2), ("q", "other", 1)],
    ));
    a_team_adds_no_profile_of_another => assert!(!is_allowed(&[], &[("p", "other", 1)]));
    a_team_alters_no_profile_of_another => assert!(!is_allowed(
        &[("p", "other", 1)],
        &[("p", "other", 2)],
    ));
    a_team_removes_no_profile_of_another => assert!(!is_allowed(&[("p", "other", 1)], &[]));
    a_team_takes_over_no_profile => assert!(!is_allowed(&[("p", "other", 1)], &[("p", "desk", 1)]));
    a_team_gives_away_no_profile => assert!(!is_allowed(&[("p", "desk", 1)], &[("p", "other", 1)]));
}

cases! {
    async:
    no_token => assert_unauthorized(|request| request).await;
    an_unknown_token => assert_unauthorized(
        |request| request.bearer_auth("a-token-that-is-not-known"),
    ).await;
    an_empty_token => assert_unauthorized(|request| request.bearer_auth("")).await;
    another_scheme => assert_unauthorized(
        |request| request.basic_auth("lead", Some(BOTH_ROLES_TOKEN)),
    ).await;
    a_scheme_alone => assert_unauthorized(
        |request| request.header("Authorization", "Bearer"),
    ).await;
    a_token_without_scheme => assert_unauthorized(
        |request| request.header("Authorization", BOTH_ROLES_TOKEN),
    ).await;
    a_token_that_is_no_text => assert_unauthorized(|request| {
        request.header("Authorization", &b"Bearer \xff\xfe"[..])
    }).await;
    two_tokens => assert_unauthorized(
        |request| request.bearer_auth(BOTH_ROLES_TOKEN).bearer_auth(READ_TOKEN),
    ).await;
    a_role_is_needed => assert_roles_enforced().await;
    an_unknown_path_needs_a_token => assert_unknown_path_needs_token().await;
    a_body_without_token_is_not_read => assert_body_needs_token().await;
    a_refusal_holds_nothing_secret => assert_no_secret_in_refusals().await;
}
