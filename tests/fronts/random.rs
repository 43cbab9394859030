//! Property tests: arbitrary bodies get the status 200 or 400 and never make a
//! front fail.

use std::time::Duration;

use laburnum_core::{
    target::Version,
    traffic::{Body, Event, Found},
};
use proptest::{prelude::*, test_runner::TestRunner};
use serde_json::{Value, json};

use crate::{
    fixture::{Front, reply},
    operator_front::{BOTH_ROLES_TOKEN, OperatorFront},
};

/// The number of bodies that each test generates.
const BODIES_PER_TEST: u32 = 400;

fn arbitrary_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9.-]{0,12}".prop_map(Value::from),
        any::<String>().prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map(field_name(), inner, 0..6).prop_map(|fields| json!(fields)),
        ]
    })
}

/// Mostly names of known fields, and some arbitrary names.
fn field_name() -> impl Strategy<Value = String> {
    prop_oneof![
        6 => prop::sample::select(vec![
            "profile", "text", "deadline_ms", "operation", "subject", "detail", "profiles",
            "team", "index", "coverage_ppm", "tail_ms", "extra_load_ppm", "concurrency",
            "priority", "to", "expect", "token", "base", "revision", "id",
        ]).prop_map(str::to_owned),
        1 => any::<String>(),
    ]
}

fn arbitrary_body() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        4 => arbitrary_value().prop_map(|value| value.to_string().into_bytes()),
        1 => prop::collection::vec(any::<u8>(), 0..200),
    ]
}

fn empty_result() -> Body {
    Body::Found(Found {
        version: Version(1),
        coverage: 0,
        missing: Default::default(),
        revision: 1,
        rows: Vec::new(),
        attempts: 0,
    })
}

/// Answers every call with an empty success.
async fn answer_calls(mut front: Front) {
    loop {
        let submission = front.next_call().await;
        let body = match submission.event {
            Event::Operate { .. } => {
                Body::Done { result: "done".into(), replayed: false, revision: 1 }
            }
            _ => empty_result(),
        };
        reply(submission, body);
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap()
}

fn callers() {
    let runtime = runtime();
    let (address, http) = runtime.block_on(async {
        let front = Front::start(|limits| {
            limits.body_limit_bytes = 1 << 20;
            limits.idle_timeout = Duration::from_secs(60);
        });
        let parts = (front.address, front.http.clone());
        tokio::spawn(answer_calls(front));
        parts
    });
    let strategy = (prop::sample::select(vec!["search", "operations"]), arbitrary_body());
    let mut runner =
        TestRunner::new(ProptestConfig { cases: BODIES_PER_TEST, ..Default::default() });
    let outcome = runner.run(&strategy, |(path, body)| {
        let request = http
            .post(format!("http://{address}/v1/{path}"))
            .header("Idempotency-Key", "0190163d-8694-739b-aea5-966c26f8ad91")
            .body(body);
        let response = runtime.block_on(async { request.send().await }).unwrap();
        let status = response.status();
        prop_assert!(status == 200 || status == 400, "{status}");
        Ok(())
    });
    outcome.unwrap();
}

fn operators() {
    let runtime = runtime();
    let (address, http) = runtime.block_on(async {
        let mut front = OperatorFront::start();
        let parts = (front.address, front.http.clone());
        tokio::spawn(async move { front.answer_all().await });
        parts
    });
    let paths = vec![
        ("PUT", "/v1/profiles"),
        ("POST", "/v1/profiles/diff"),
        ("POST", "/v1/profiles/rollback"),
        ("POST", "/v1/publications/settle"),
    ];
    let strategy = (prop::sample::select(paths), arbitrary_body());
    let mut runner =
        TestRunner::new(ProptestConfig { cases: BODIES_PER_TEST, ..Default::default() });
    let outcome = runner.run(&strategy, |((method, path), body)| {
        let request = http
            .request(method.parse().unwrap(), format!("http://{address}{path}"))
            .bearer_auth(BOTH_ROLES_TOKEN)
            .body(body);
        let response = runtime.block_on(async { request.send().await }).unwrap();
        let status = response.status();
        prop_assert!(status == 200 || status == 400, "{status}");
        Ok(())
    });
    outcome.unwrap();
}

cases! {
    arbitrary_bodies_of_callers => callers();
    arbitrary_bodies_of_operators => operators();
}
