//! Paths for operators: which requests reach the control thread and how its answers
//! are returned.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use laburnum_core::{
    control::{
        Answer, Request, listing,
        request::{Audit, Difference, InForce, Source, Status, difference},
    },
    fault::{Fault, Kind},
    profile::{Document, Revision},
    time::Wall,
    view,
};
use serde_json::{Value, json};

use crate::{
    fixture::{assert_not_run, name, read_problem},
    operator_front::{
        BOTH_ROLES_TOKEN, OperatorFront, READ_TOKEN, own_profiles, profiles_body, unsettled_token,
    },
};

fn changes() -> Vec<Difference> {
    difference(&BTreeMap::new(), &own_profiles())
}

async fn show() {
    let mut front = OperatorFront::start();
    let document = Document { revision: Revision(4), profiles: own_profiles() };
    let answer = Answer::Document { document: Arc::new(document), confirmed: true };
    let request = front.request("GET", "/v1/profiles", READ_TOKEN);
    let (received, response) = front.exchange(request, answer).await;
    assert_eq!(received, Request::Show);
    assert_eq!(response.headers()["etag"], "\"4\"");
    let document: Value = response.json().await.unwrap();
    let expected = json!({
        "revision": 4,
        "confirmed": true,
        "profiles": { "portal": {
            "team": "desk", "index": "licences", "coverage_ppm": 990_000, "deadline_ms": 1000,
            "tail_ms": 1000, "extra_load_ppm": 20_000, "concurrency": 8, "priority": 10,
            "canary": true,
        }},
    });
    assert_eq!(document, expected);
}

async fn publish(query: &str, tag: Option<&str>, expect: Option<u64>, dry_run: bool) {
    let mut front = OperatorFront::start();
    let mut request = front
        .request("PUT", &format!("/v1/profiles{query}"), BOTH_ROLES_TOKEN)
        .body(profiles_body());
    if let Some(tag) = tag {
        request = request.header("If-Match", tag);
    }
    let revision = Revision(5);
    let answer = if dry_run {
        Answer::Planned { revision, changes: changes() }
    } else {
        Answer::Accepted { revision, changes: changes() }
    };
    let (received, response) = front.exchange(request, answer).await;
    let expected = Request::Publish {
        profiles: own_profiles(),
        expect: expect.map(Revision),
        who: "lead".to_owned(),
        team: name("desk"),
        dry_run,
    };
    assert_eq!(received, expected);
    assert_eq!(response.status(), 200);
    let document: Value = response.json().await.unwrap();
    let outcome = if dry_run { "planned" } else { "accepted" };
    let change = json!({ "profile": "portal", "field": null, "before": null, "after": "present" });
    assert_eq!(document, json!({ "outcome": outcome, "revision": 5, "changes": [change] }));
}

async fn conflict() {
    let mut front = OperatorFront::start();
    let request = front
        .request("PUT", "/v1/profiles", BOTH_ROLES_TOKEN)
        .body(profiles_body())
        .header("If-Match", "\"3\"");
    let answer =
        Answer::Conflict { winner: Revision(4), who: "other".to_owned(), changes: changes() };
    let (_, response) = front.exchange(request, answer).await;
    assert_eq!(response.status(), 412);
    let document = read_problem(response).await;
    assert_not_run(&document, "revision_conflict");
    assert_eq!(document["winner"], 4);
    assert_eq!(document["who"], "other");
    assert_eq!(document["changes"], json!(changes()));
}

/// An unsettled publication is settled with the path and the token from its answer.
async fn unsettled() {
    let mut front = OperatorFront::start();
    let request = front.request("PUT", "/v1/profiles", BOTH_ROLES_TOKEN).body(profiles_body());
    let (_, response) =
        front.exchange(request, Answer::Unsettled { token: unsettled_token() }).await;
    assert_eq!(response.status(), 504);
    let document = read_problem(response).await;
    assert_eq!(document["kind"], "revision_unsettled");
    assert_eq!(document["ran"], "unknown");
    let path = document["settle"].as_str().unwrap();
    let again = json!({ "token": document["token"] }).to_string();
    let request = front.request("POST", path, BOTH_ROLES_TOKEN).body(again);
    let answer = Answer::NotPublished { current: Revision(6) };
    let (received, response) = front.exchange(request, answer).await;
    assert_eq!(received, Request::Settle { token: unsettled_token() });
    let document: Value = response.json().await.unwrap();
    assert_eq!(document, json!({ "outcome": "not_published", "revision": 6 }));
}

async fn roll_back(body: &str, to: u64, expect: Option<u64>) {
    let mut front = OperatorFront::start();
    let request =
        front.request("POST", "/v1/profiles/rollback", BOTH_ROLES_TOKEN).body(body.to_owned());
    let answer = Answer::Accepted { revision: Revision(9), changes: Vec::new() };
    let (received, response) = front.exchange(request, answer).await;
    let (who, team) = ("lead".to_owned(), name("desk"));
    let expect = expect.map(Revision);
    assert_eq!(received, Request::Rollback { to: Revision(to), expect, who, team });
    assert_eq!(response.status(), 200);
}

async fn diff() {
    let mut front = OperatorFront::start();
    let request = front.request("POST", "/v1/profiles/diff", READ_TOKEN).body(profiles_body());
    let answer = Answer::Changes { revision: Revision(4), changes: changes() };
    let (received, response) = front.exchange(request, answer).await;
    assert_eq!(received, Request::Diff { profiles: own_profiles() });
    let document: Value = response.json().await.unwrap();
    assert_eq!(document, json!({ "revision": 4, "changes": changes() }));
}

async fn history() {
    let mut front = OperatorFront::start();
    let request = front.request("GET", "/v1/profiles/history", READ_TOKEN);
    let audit = Audit {
        revision: Revision(4),
        who: "lead".to_owned(),
        at: Wall(1_700_000_000_000),
        note: String::new(),
        changes: None,
    };
    let (received, response) = front.exchange(request, Answer::History(vec![audit])).await;
    assert_eq!(received, Request::History);
    let document: Value = response.json().await.unwrap();
    let record = json!({
        "revision": 4, "who": "lead", "at_ms": 1_700_000_000_000_u64, "note": "", "changes": null,
    });
    assert_eq!(document, json!({ "records": [record] }));
}

async fn status() {
    let mut front = OperatorFront::start();
    let request = front.request("GET", "/v1/profiles/status", READ_TOKEN);
    let row = InForce {
        vm: name("vm-1"),
        revision: Some(Revision(4)),
        heard: Some(Duration::from_millis(1500)),
        confirmed: None,
        silent: true,
    };
    let status = Status { revision: Revision(4), in_force: 1, vms: vec![row] };
    let (received, response) = front.exchange(request, Answer::Status(status)).await;
    assert_eq!(received, Request::Status);
    let document: Value = response.json().await.unwrap();
    let row = json!({
        "vm": "vm-1", "revision": 4, "heard_ms": 1500, "confirmed_ms": null, "silent": true,
    });
    assert_eq!(document, json!({ "revision": 4, "in_force": 1, "vms": [row] }));
}

async fn lists() {
    let mut front = OperatorFront::start();
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
    let row = listing::Vm { vm, gone: false, since, source: Source::Peer(name("vm-2")) };
    let request = front.request("GET", "/v1/vms", READ_TOKEN);
    let (received, response) = front.exchange(request, Answer::Vms(vec![row])).await;
    assert_eq!(received, Request::Vms);
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
    let row = listing::Target { target, since, source: Source::List };
    let request = front.request("GET", "/v1/targets", READ_TOKEN);
    let (received, response) = front.exchange(request, Answer::Targets(vec![row])).await;
    assert_eq!(received, Request::Targets);
    let document: Value = response.json().await.unwrap();
    let row = json!({
        "name": "t-1", "index": "licences", "shard": "s-1", "domain": "north",
        "address": "127.0.0.1:1", "slots": 2, "connections": 55, "state": "leaving",
        "since_ms": 1500, "source": "list",
    });
    assert_eq!(document, json!({ "targets": [row] }));
}

async fn failed() {
    let mut front = OperatorFront::start();
    let request = front.request("GET", "/v1/profiles", READ_TOKEN);
    let fault = Fault::not_run(Kind::StoreUnavailable, "no answer");
    let (_, response) = front.exchange(request, Answer::Failed(fault)).await;
    assert_eq!(response.status(), 503);
    assert_not_run(&read_problem(response).await, "store_unavailable");
}

async fn probes() {
    let front = OperatorFront::start();
    for (path, status) in [("/livez", 200), ("/readyz", 200), ("/metrics", 200), ("/nothing", 404)]
    {
        let request = front.http.get(format!("http://{}{path}", front.address));
        assert_eq!(request.send().await.unwrap().status(), status, "{path}");
    }
    front.signals.ready.send_replace(false);
    let request = front.http.get(format!("http://{}/readyz", front.address));
    assert_eq!(request.send().await.unwrap().status(), 503);
    front.signals.shutdown.send_replace(true);
}

cases! {
    async:
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
}
