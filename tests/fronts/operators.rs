//! Paths for operators: who may ask, what is asked, and the answers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use laburnum_core::{
    control::{
        Answer, Request, access,
        request::{
            Audit, Difference, InForce, Source, Status, TargetRow, Token, VmRow, difference,
        },
    },
    fault::{Fault, Kind},
    name::Name,
    profile::{Document, Profile, Raw, Revision},
    time::Wall,
    view,
};
use serde_json::{Value, json};
use uuid::Uuid;

use crate::bed::{BOTH, Desk, READ, assert_not_run, name, problem};

fn profile(team: &str, concurrency: u32) -> Profile {
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
    })
    .expect("a sound profile")
}

fn profiles(rows: &[(&str, &str, u32)]) -> BTreeMap<Name, Profile> {
    rows.iter().map(|&(key, team, level)| (name(key), profile(team, level))).collect()
}

fn own() -> BTreeMap<Name, Profile> {
    profiles(&[("portal", "desk", 8)])
}

fn body() -> String {
    json!({ "profiles": own() }).to_string()
}

fn changes() -> Vec<Difference> {
    difference(&BTreeMap::new(), &own())
}

/// Checks that `request` is refused with `status` and asks nothing.
async fn refused(
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
fn paths() -> Vec<(&'static str, &'static str, String)> {
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

fn unsettled_token() -> Token {
    Token { base: Revision(4), revision: Revision(5), id: Uuid::from_u128(0xfeed) }
}

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

async fn show() {
    let mut desk = Desk::start();
    let document = Document { revision: Revision(4), profiles: own() };
    let answer = Answer::Document { document: Arc::new(document), confirmed: true };
    let request = desk.request("GET", "/v1/profiles", READ);
    let (asked, response) = desk.exchange(request, answer).await;
    assert_eq!(asked, Request::Show);
    assert_eq!(response.headers()["etag"], "\"4\"");
    let document: Value = response.json().await.unwrap();
    let expected = json!({
        "revision": 4,
        "confirmed": true,
        "profiles": { "portal": {
            "team": "desk", "index": "licences", "coverage_ppm": 990_000, "deadline_ms": 1000,
            "tail_ms": 1000, "extra_load_ppm": 20_000, "concurrency": 8, "priority": 10,
        }},
    });
    assert_eq!(document, expected);
}

async fn publish(query: &str, tag: Option<&str>, expect: Option<u64>, dry_run: bool) {
    let mut desk = Desk::start();
    let mut request = desk.request("PUT", &format!("/v1/profiles{query}"), BOTH).body(body());
    if let Some(tag) = tag {
        request = request.header("If-Match", tag);
    }
    let revision = Revision(5);
    let answer = if dry_run {
        Answer::Planned { revision, changes: changes() }
    } else {
        Answer::Accepted { revision, changes: changes() }
    };
    let (asked, response) = desk.exchange(request, answer).await;
    let expected = Request::Publish {
        profiles: own(),
        expect: expect.map(Revision),
        who: "lead".to_owned(),
        team: name("desk"),
        dry_run,
    };
    assert_eq!(asked, expected);
    assert_eq!(response.status(), 200);
    let document: Value = response.json().await.unwrap();
    let outcome = if dry_run { "planned" } else { "accepted" };
    let change = json!({ "profile": "portal", "field": null, "before": null, "after": "present" });
    assert_eq!(document, json!({ "outcome": outcome, "revision": 5, "changes": [change] }));
}

async fn conflict() {
    let mut desk = Desk::start();
    let request =
        desk.request("PUT", "/v1/profiles", BOTH).body(body()).header("If-Match", "\"3\"");
    let answer =
        Answer::Conflict { winner: Revision(4), who: "other".to_owned(), changes: changes() };
    let (_, response) = desk.exchange(request, answer).await;
    assert_eq!(response.status(), 412);
    let document = problem(response).await;
    assert_not_run(&document, "revision_conflict");
    assert_eq!(document["winner"], 4);
    assert_eq!(document["who"], "other");
    assert_eq!(document["changes"], json!(changes()));
}

/// An unsettled publication is asked for again with what its answer holds.
async fn unsettled() {
    let mut desk = Desk::start();
    let request = desk.request("PUT", "/v1/profiles", BOTH).body(body());
    let (_, response) =
        desk.exchange(request, Answer::Unsettled { token: unsettled_token() }).await;
    assert_eq!(response.status(), 504);
    let document = problem(response).await;
    assert_eq!(document["kind"], "revision_unsettled");
    assert_eq!(document["ran"], "unknown");
    let path = document["settle"].as_str().unwrap();
    let again = json!({ "token": document["token"] }).to_string();
    let request = desk.request("POST", path, BOTH).body(again);
    let answer = Answer::NotPublished { current: Revision(6) };
    let (asked, response) = desk.exchange(request, answer).await;
    assert_eq!(asked, Request::Settle { token: unsettled_token() });
    let document: Value = response.json().await.unwrap();
    assert_eq!(document, json!({ "outcome": "not_published", "revision": 6 }));
}

async fn roll_back(body: &str, to: u64, expect: Option<u64>) {
    let mut desk = Desk::start();
    let request = desk.request("POST", "/v1/profiles/rollback", BOTH).body(body.to_owned());
    let answer = Answer::Accepted { revision: Revision(9), changes: Vec::new() };
    let (asked, response) = desk.exchange(request, answer).await;
    let (who, team) = ("lead".to_owned(), name("desk"));
    let expect = expect.map(Revision);
    assert_eq!(asked, Request::Rollback { to: Revision(to), expect, who, team });
    assert_eq!(response.status(), 200);
}

async fn diff() {
    let mut desk = Desk::start();
    let request = desk.request("POST", "/v1/profiles/diff", READ).body(body());
    let answer = Answer::Changes { revision: Revision(4), changes: changes() };
    let (asked, response) = desk.exchange(request, answer).await;
    assert_eq!(asked, Request::Diff { profiles: own() });
    let document: Value = response.json().await.unwrap();
    assert_eq!(document, json!({ "revision": 4, "changes": changes() }));
}

async fn history() {
    let mut desk = Desk::start();
    let request = desk.request("GET", "/v1/profiles/history", READ);
    let audit = Audit {
        revision: Revision(4),
        who: "lead".to_owned(),
        at: Wall(1_700_000_000_000),
        note: String::new(),
        changes: None,
    };
    let (asked, response) = desk.exchange(request, Answer::History(vec![audit])).await;
    assert_eq!(asked, Request::History);
    let document: Value = response.json().await.unwrap();
    let record = json!({
        "revision": 4, "who": "lead", "at_ms": 1_700_000_000_000_u64, "note": "", "changes": null,
    });
    assert_eq!(document, json!({ "records": [record] }));
}

async fn status() {
    let mut desk = Desk::start();
    let request = desk.request("GET", "/v1/profiles/status", READ);
    let row = InForce {
        vm: name("vm-1"),
        revision: Some(Revision(4)),
        heard: Some(Duration::from_millis(1500)),
        confirmed: None,
        silent: true,
    };
    let status = Status { revision: Revision(4), in_force: 1, vms: vec![row] };
    let (asked, response) = desk.exchange(request, Answer::Status(status)).await;
    assert_eq!(asked, Request::Status);
    let document: Value = response.json().await.unwrap();
    let row = json!({
        "vm": "vm-1", "revision": 4, "heard_ms": 1500, "confirmed_ms": null, "silent": true,
    });
    assert_eq!(document, json!({ "revision": 4, "in_force": 1, "vms": [row] }));
}

async fn lists() {
    let mut desk = Desk::start();
    let address = "127.0.0.1:1".parse().unwrap();
    let vm = view::Vm {
        name: name("vm-1"),
        domain: name("north"),
        incarnation: u64::MAX,
        state: view::State::Suspect,
        control: address,
        traffic: vec![address],
    };
    let since = Duration::from_millis(1500);
    let row = VmRow { vm, gone: false, since, source: Source::Peer(name("vm-2")) };
    let request = desk.request("GET", "/v1/vms", READ);
    let (asked, response) = desk.exchange(request, Answer::Vms(vec![row])).await;
    assert_eq!(asked, Request::Vms);
    let document: Value = response.json().await.unwrap();
    let row = json!({
        "name": "vm-1", "domain": "north", "incarnation": "ffffffffffffffff",
        "state": "suspect", "gone": false, "since_ms": 1500, "source": "peer vm-2",
        "control": "127.0.0.1:1", "traffic": ["127.0.0.1:1"],
    });
    assert_eq!(document, json!({ "vms": [row] }));

    let target = view::Target {
        name: name("t-1"),
        index: name("licences"),
        shard: name("s-1"),
        domain: name("north"),
        address,
        slots: 2,
        connections: 55,
        state: view::State::Leaving,
    };
    let row = TargetRow { target, since, source: Source::List };
    let request = desk.request("GET", "/v1/targets", READ);
    let (asked, response) = desk.exchange(request, Answer::Targets(vec![row])).await;
    assert_eq!(asked, Request::Targets);
    let document: Value = response.json().await.unwrap();
    let row = json!({
        "name": "t-1", "index": "licences", "shard": "s-1", "domain": "north",
        "address": "127.0.0.1:1", "slots": 2, "connections": 55, "state": "leaving",
        "since_ms": 1500, "source": "list",
    });
    assert_eq!(document, json!({ "targets": [row] }));
}

async fn failed() {
    let mut desk = Desk::start();
    let request = desk.request("GET", "/v1/profiles", READ);
    let fault = Fault::not_run(Kind::StoreUnavailable, "no answer");
    let (_, response) = desk.exchange(request, Answer::Failed(fault)).await;
    assert_eq!(response.status(), 503);
    assert_not_run(&problem(response).await, "store_unavailable");
}

/// Checks that a body of a publication is refused with `says` in the detail.
async fn bad_profiles(body: &str, says: &[&str]) {
    bad("PUT", "/v1/profiles", body, says).await;
}

async fn bad(method: &str, path: &str, body: &str, says: &[&str]) {
    let mut desk = Desk::start();
    let request = desk.request(method, path, BOTH).body(body.to_owned());
    let document = refused(&mut desk, request, 400, "malformed").await;
    let detail = document["detail"].as_str().unwrap();
    for text in says {
        assert!(detail.contains(text), "{detail:?} does not say {text:?}");
    }
}

/// A publication whose profile `portal` has `value` under `key`.
fn with(key: &str, value: Value) -> String {
    let mut document = json!({ "profiles": own() });
    document["profiles"]["portal"][key] = value;
    document.to_string()
}

async fn bad_tag(tag: &str) {
    let mut desk = Desk::start();
    let request = desk.request("PUT", "/v1/profiles", BOTH).body(body()).header("If-Match", tag);
    let document = refused(&mut desk, request, 400, "malformed").await;
    assert!(document["detail"].as_str().unwrap().contains("If-Match: found"), "{document}");
}

async fn nothing_secret() {
    let mut desk = Desk::start();
    for (method, path, body) in paths() {
        let request = desk.request(method, path, "a-token-that-is-not-known").body(body);
        let document = refused(&mut desk, request, 401, "unauthorized").await.to_string();
        assert!(!document.contains("not-known") && !document.contains("lead"), "{document}");
    }
}

async fn probes() {
    let desk = Desk::start();
    for (path, status) in [("/livez", 200), ("/readyz", 200), ("/metrics", 200), ("/v1", 404)] {
        let request = desk.http.get(format!("http://{}{path}", desk.address));
        assert_eq!(request.send().await.unwrap().status(), status, "{path}");
    }
    desk.signals.ready.send_replace(false);
    let request = desk.http.get(format!("http://{}/readyz", desk.address));
    assert_eq!(request.send().await.unwrap().status(), 503);
    desk.signals.shutdown.send_replace(true);
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
    a_refusal_holds_nothing_secret => nothing_secret().await;
    profiles_are_shown_with_their_tag => show().await;
    a_publication => publish("", None, None, false).await;
    a_publication_with_a_tag => publish("", Some("\"4\""), Some(4), false).await;
    a_dry_run => publish("?dry_run=true", Some("\"4\""), Some(4), true).await;
    a_lost_race => conflict().await;
    an_unsettled_publication => unsettled().await;
    a_roll_back => roll_back(r#"{"to":3}"#, 3, None).await;
    a_roll_back_with_a_revision => roll_back(r#"{"to":3,"expect":8}"#, 3, Some(8)).await;
    a_comparison => diff().await;
    the_history => history().await;
    where_a_revision_is_in_force => status().await;
    the_lists => lists().await;
    a_failure_keeps_its_kind => failed().await;
    probes_need_no_token => probes().await;
    no_profiles => bad_profiles("{}", &["profiles: found nothing", "by name"]).await;
    a_list_of_profiles => bad_profiles(r#"{"profiles":[]}"#, &["profiles: found an array"]).await;
    a_bad_profile_name => bad_profiles(
        r#"{"profiles":{"A":{}}}"#,
        &["profiles.\"A\": found \"A\"", "a-z"],
    ).await;
    a_profile_that_is_a_text => bad_profiles(r#"{"profiles":{"a":"x"}}"#, &["profiles.\"a\""]).await;
    a_profile_without_fields => bad_profiles(
        r#"{"profiles":{"a":{}}}"#,
        &["profiles.\"a\"", "missing field `team`"],
    ).await;
    an_unknown_field_of_a_profile => bad_profiles(
        &with("deadlin_ms", json!(5)),
        &["portal", "deadlin_ms", "deadline_ms"],
    ).await;
    a_text_as_coverage => bad_profiles(
        &with("coverage_ppm", json!("all")),
        &["portal\".coverage_ppm", "\"all\"", "u32"],
    ).await;
    a_coverage_beyond_the_whole => bad_profiles(
        &with("coverage_ppm", json!(1_000_001)),
        &["portal\".coverage_ppm", "found 1000001", "0 to 1000000"],
    ).await;
    a_concurrency_beyond_32_bits => bad_profiles(
        &with("concurrency", json!(1_u64 << 40)),
        &["portal\".concurrency", "1099511627776"],
    ).await;
    a_tag_that_is_no_revision => bad_tag("\"latest\"").await;
    a_tag_without_quotes => bad_tag("4").await;
    a_tag_for_any => bad_tag("*").await;
    an_unknown_query => bad("PUT", "/v1/profiles?dryrun=1", &body(), &["query: found", "dry_run=true"]).await;
    a_roll_back_to_nothing => bad("POST", "/v1/profiles/rollback", "{}", &["to: found nothing"]).await;
    a_roll_back_to_a_name => bad(
        "POST", "/v1/profiles/rollback", r#"{"to":"first"}"#, &["to: found \"first\""],
    ).await;
    a_settlement_without_token => bad(
        "POST", "/v1/publications/settle", "{}", &["token: found nothing"],
    ).await;
    a_settlement_with_a_bad_token => bad(
        "POST",
        "/v1/publications/settle",
        r#"{"token":{"base":1,"revision":2,"id":"x"}}"#,
        &["token.id: found \"x\""],
    ).await;
}
