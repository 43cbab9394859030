//! Malformed input of callers: each is refused with `malformed`, `ran: no` and a
//! detail that names the field, what was found and what is allowed.

use uuid::Uuid;

use crate::fixture::{Front, assert_not_run, read_problem};

/// Asserts that a search with this body is refused with each text of `expected` in
/// the detail.
async fn bad_search(body: &str, expected: &[&str]) {
    let mut front = Front::start(|_| {});
    let response = front.post("/v1/search", body).send().await.unwrap();
    assert_malformed(&mut front, response, expected).await;
}

async fn bad_operation(body: &str, expected: &[&str]) {
    let key = Uuid::now_v7().to_string();
    bad_keys(&[&key], body, expected).await;
}

const VALID_OPERATION: &str = r#"{"profile":"a","operation":"assign","subject":1,"detail":"x"}"#;

async fn bad_keys(keys: &[&str], body: &str, expected: &[&str]) {
    let mut front = Front::start(|_| {});
    let mut request = front.post("/v1/operations", body);
    for key in keys {
        request = request.header("Idempotency-Key", *key);
    }
    let response = request.send().await.unwrap();
    assert_malformed(&mut front, response, expected).await;
}

async fn assert_malformed(front: &mut Front, response: reqwest::Response, expected: &[&str]) {
    assert_eq!(response.status(), 400);
    let document = read_problem(response).await;
    assert_not_run(&document, "malformed");
    assert_eq!(document["retry"]["allowed"], false);
    let detail = document["detail"].as_str().unwrap();
    for text in expected {
        assert!(detail.contains(text), "{detail:?} does not contain {text:?}");
    }
    front.assert_nothing_ran();
}

async fn long_name() {
    let name = "a".repeat(1000);
    let body = format!(r#"{{"profile":"{name}","text":"x"}}"#);
    let mut front = Front::start(|_| {});
    let response = front.post("/v1/search", &body).send().await.unwrap();
    let document = read_problem(response).await;
    assert_not_run(&document, "malformed");
    let detail = document["detail"].as_str().unwrap();
    assert!(detail.contains("profile: found") && detail.len() < 300, "{detail}");
    front.assert_nothing_ran();
}

async fn assert_not_found(method: &str, path: &str) {
    let mut front = Front::start(|_| {});
    let url = format!("http://{}{path}", front.address);
    let request = front.http.request(method.parse().unwrap(), url);
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 404);
    assert_not_run(&read_problem(response).await, "not_found");
    front.assert_nothing_ran();
}

cases! {
    async:
    an_empty_body => bad_search("", &["body:"]).await;
    no_json => bad_search("{", &["body:"]).await;
    no_utf8_escape => bad_search(r#"{"profile":"\ud800","text":"x"}"#, &["body:"]).await;
    an_array_as_body => bad_search("[]", &["body:", "profile, text and deadline_ms"]).await;
    a_number_as_body => bad_search("5", &["body:", "profile, text and deadline_ms"]).await;
    two_documents => bad_search(r#"{"profile":"a","text":"x"} {}"#, &["body:", "trailing"]).await;
    deep_nesting => bad_search(&"[".repeat(1500), &["body:"]).await;
    an_unknown_field => bad_search(
        r#"{"profile":"a","text":"x","limit":1}"#,
        &["limit", "profile", "deadline_ms"],
    ).await;
    a_field_twice => bad_search(r#"{"profile":"a","profile":"b","text":"x"}"#, &["profile"]).await;
    no_profile => bad_search(r#"{"text":"x"}"#, &["profile: found nothing", "a text"]).await;
    a_null_profile => bad_search(
        r#"{"profile":null,"text":"x"}"#, &["profile: found nothing"],
    ).await;
    a_numeric_profile => bad_search(r#"{"profile":7,"text":"x"}"#, &["profile: found 7"]).await;
    an_empty_profile => bad_search(
        r#"{"profile":"","text":"x"}"#, &["profile: found \"\"", "1 to 96"],
    ).await;
    an_upper_case_profile => bad_search(
        r#"{"profile":"Portal","text":"x"}"#, &["profile: found \"Portal\"", "a-z"],
    ).await;
    a_long_profile_is_not_repeated => long_name().await;
    no_text => bad_search(r#"{"profile":"a"}"#, &["text: found nothing", "a text"]).await;
    an_object_as_text => bad_search(
        r#"{"profile":"a","text":{}}"#, &["text: found an object"],
    ).await;
    a_zero_deadline => bad_search(
        r#"{"profile":"a","text":"x","deadline_ms":0}"#,
        &["deadline_ms: found 0", "1 to 60000"],
    ).await;
    a_long_deadline => bad_search(
        r#"{"profile":"a","text":"x","deadline_ms":60001}"#,
        &["deadline_ms: found 60001", "1 to 60000"],
    ).await;
    a_negative_deadline => bad_search(
        r#"{"profile":"a","text":"x","deadline_ms":-1}"#,
        &["deadline_ms: found -1"],
    ).await;
    a_fraction_as_deadline => bad_search(
        r#"{"profile":"a","text":"x","deadline_ms":1.5}"#,
        &["deadline_ms: found 1.5"],
    ).await;
    a_text_as_deadline => bad_search(
        r#"{"profile":"a","text":"x","deadline_ms":"5"}"#,
        &["deadline_ms: found \"5\""],
    ).await;
    no_operation => bad_operation(
        r#"{"profile":"a","subject":1,"detail":"x"}"#,
        &["operation: found nothing"],
    ).await;
    no_subject => bad_operation(
        r#"{"profile":"a","operation":"o","detail":"x"}"#,
        &["subject: found nothing", "2^64 - 1"],
    ).await;
    a_negative_subject => bad_operation(
        r#"{"profile":"a","operation":"o","subject":-1,"detail":"x"}"#,
        &["subject: found -1"],
    ).await;
    a_subject_beyond_64_bits => bad_operation(
        r#"{"profile":"a","operation":"o","subject":18446744073709551616,"detail":"x"}"#,
        &["subject: found"],
    ).await;
    a_subject_text_beyond_64_bits => bad_operation(
        r#"{"profile":"a","operation":"o","subject":"18446744073709551616","detail":"x"}"#,
        &["subject: found \"18446744073709551616\""],
    ).await;
    a_signed_subject_text => bad_operation(
        r#"{"profile":"a","operation":"o","subject":"+1","detail":"x"}"#,
        &["subject: found \"+1\""],
    ).await;
    an_empty_subject_text => bad_operation(
        r#"{"profile":"a","operation":"o","subject":"","detail":"x"}"#,
        &["subject: found \"\""],
    ).await;
    no_detail => bad_operation(
        r#"{"profile":"a","operation":"o","subject":1}"#,
        &["detail: found nothing"],
    ).await;
    an_unknown_field_of_an_operation => bad_operation(
        r#"{"profile":"a","operation":"o","subject":1,"detail":"x","key":"k"}"#,
        &["key", "subject"],
    ).await;
    no_key => bad_keys(&[], VALID_OPERATION, &["Idempotency-Key: found nothing", "UUIDv7"]).await;
    a_key_that_is_no_uuid => bad_keys(
        &["k"], VALID_OPERATION, &["Idempotency-Key: found \"k\""],
    ).await;
    a_key_of_version_4 => bad_keys(
        &["7b0c2d0e-5f0a-4a3e-9f0e-0d6f4f1f2a3b"],
        VALID_OPERATION,
        &["Idempotency-Key: found", "UUIDv7"],
    ).await;
    two_keys => bad_keys(
        &["0190163d-8694-739b-aea5-966c26f8ad91", "0190163d-8694-739b-aea5-966c26f8ad92"],
        VALID_OPERATION,
        &["Idempotency-Key: found more than one"],
    ).await;
    an_unknown_path => assert_not_found("POST", "/v1/nothing").await;
    a_wrong_method => assert_not_found("GET", "/v1/search").await;
    a_write_to_a_probe => assert_not_found("POST", "/livez").await;
}
