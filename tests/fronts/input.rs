//! Bad input of callers: each gets `malformed`, `ran: no` and a detail that
//! names the field, what was found and what is allowed.

use uuid::Uuid;

use crate::bed::{Front, assert_not_run, problem};

/// Checks that `body` is refused with every text of `says` in the detail.
async fn search(body: &str, says: &[&str]) {
    let mut front = Front::start(|_| {});
    let response = front.post("/v1/search", body).send().await.unwrap();
    check(&mut front, response, says).await;
}

async fn operation(body: &str, says: &[&str]) {
    let key = Uuid::now_v7().to_string();
    keyed(&[&key], body, says).await;
}

const SOUND: &str = r#"{"profile":"a","operation":"assign","subject":1,"detail":"x"}"#;

async fn keyed(keys: &[&str], body: &str, says: &[&str]) {
    let mut front = Front::start(|_| {});
    let mut request = front.post("/v1/operations", body);
    for key in keys {
        request = request.header("Idempotency-Key", *key);
    }
    let response = request.send().await.unwrap();
    check(&mut front, response, says).await;
}

async fn check(front: &mut Front, response: reqwest::Response, says: &[&str]) {
    assert_eq!(response.status(), 400);
    let document = problem(response).await;
    assert_not_run(&document, "malformed");
    assert_eq!(document["retry"]["allowed"], false);
    let detail = document["detail"].as_str().unwrap();
    for text in says {
        assert!(detail.contains(text), "{detail:?} does not say {text:?}");
    }
    front.assert_nothing_ran();
}

async fn long_name() {
    let name = "a".repeat(1000);
    let body = format!(r#"{{"profile":"{name}","text":"x"}}"#);
    let mut front = Front::start(|_| {});
    let response = front.post("/v1/search", &body).send().await.unwrap();
    let document = problem(response).await;
    assert_not_run(&document, "malformed");
    let detail = document["detail"].as_str().unwrap();
    assert!(detail.contains("profile: found") && detail.len() < 300, "{detail}");
    front.assert_nothing_ran();
}

async fn absent(method: &str, path: &str) {
    let mut front = Front::start(|_| {});
    let url = format!("http://{}{path}", front.address);
    let request = front.http.request(method.parse().unwrap(), url);
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 404);
    assert_not_run(&problem(response).await, "not_found");
    front.assert_nothing_ran();
}

cases! {
    async:
    an_empty_body => search("", &["body:"]).await;
    no_json => search("{", &["body:"]).await;
    no_utf8_escape => search(r#"{"profile":"\ud800","text":"x"}"#, &["body:"]).await;
    an_array_as_body => search("[]", &["body:", "profile, text and deadline_ms"]).await;
    a_number_as_body => search("5", &["body:", "profile, text and deadline_ms"]).await;
    two_documents => search(r#"{"profile":"a","text":"x"} {}"#, &["body:", "trailing"]).await;
    deep_nesting => search(&"[".repeat(1500), &["body:"]).await;
    an_unknown_field => search(
        r#"{"profile":"a","text":"x","limit":1}"#,
        &["limit", "profile", "deadline_ms"],
    ).await;
    a_field_twice => search(r#"{"profile":"a","profile":"b","text":"x"}"#, &["profile"]).await;
    no_profile => search(r#"{"text":"x"}"#, &["profile: found nothing", "a text"]).await;
    a_null_profile => search(r#"{"profile":null,"text":"x"}"#, &["profile: found nothing"]).await;
    a_numeric_profile => search(r#"{"profile":7,"text":"x"}"#, &["profile: found 7"]).await;
    an_empty_profile => search(r#"{"profile":"","text":"x"}"#, &["profile: found \"\"", "1 to 96"]).await;
    an_upper_case_profile => search(r#"{"profile":"Portal","text":"x"}"#, &["profile: found \"Portal\"", "a-z"]).await;
    a_long_profile_is_not_repeated => long_name().await;
    no_text => search(r#"{"profile":"a"}"#, &["text: found nothing", "a text"]).await;
    an_object_as_text => search(r#"{"profile":"a","text":{}}"#, &["text: found an object"]).await;
    a_zero_deadline => search(
        r#"{"profile":"a","text":"x","deadline_ms":0}"#,
        &["deadline_ms: found 0", "1 to 60000"],
    ).await;
    a_long_deadline => search(
        r#"{"profile":"a","text":"x","deadline_ms":60001}"#,
        &["deadline_ms: found 60001", "1 to 60000"],
    ).await;
    a_negative_deadline => search(
        r#"{"profile":"a","text":"x","deadline_ms":-1}"#,
        &["deadline_ms: found -1"],
    ).await;
    a_fraction_as_deadline => search(
        r#"{"profile":"a","text":"x","deadline_ms":1.5}"#,
        &["deadline_ms: found 1.5"],
    ).await;
    a_text_as_deadline => search(
        r#"{"profile":"a","text":"x","deadline_ms":"5"}"#,
        &["deadline_ms: found \"5\""],
    ).await;
    no_operation => operation(
        r#"{"profile":"a","subject":1,"detail":"x"}"#,
        &["operation: found nothing"],
    ).await;
    no_subject => operation(
        r#"{"profile":"a","operation":"o","detail":"x"}"#,
        &["subject: found nothing", "2^64 - 1"],
    ).await;
    a_negative_subject => operation(
        r#"{"profile":"a","operation":"o","subject":-1,"detail":"x"}"#,
        &["subject: found -1"],
    ).await;
    a_subject_beyond_64_bits => operation(
        r#"{"profile":"a","operation":"o","subject":18446744073709551616,"detail":"x"}"#,
        &["subject: found"],
    ).await;
    a_subject_text_beyond_64_bits => operation(
        r#"{"profile":"a","operation":"o","subject":"18446744073709551616","detail":"x"}"#,
        &["subject: found \"18446744073709551616\""],
    ).await;
    a_signed_subject_text => operation(
        r#"{"profile":"a","operation":"o","subject":"+1","detail":"x"}"#,
        &["subject: found \"+1\""],
    ).await;
    an_empty_subject_text => operation(
        r#"{"profile":"a","operation":"o","subject":"","detail":"x"}"#,
        &["subject: found \"\""],
    ).await;
    no_detail => operation(
        r#"{"profile":"a","operation":"o","subject":1}"#,
        &["detail: found nothing"],
    ).await;
    an_unknown_field_of_an_operation => operation(
        r#"{"profile":"a","operation":"o","subject":1,"detail":"x","key":"k"}"#,
        &["key", "subject"],
    ).await;
    no_key => keyed(&[], SOUND, &["Idempotency-Key: found nothing", "UUIDv7"]).await;
    a_key_that_is_no_uuid => keyed(&["k"], SOUND, &["Idempotency-Key: found \"k\""]).await;
    a_key_of_version_4 => keyed(
        &["7b0c2d0e-5f0a-4a3e-9f0e-0d6f4f1f2a3b"],
        SOUND,
        &["Idempotency-Key: found", "UUIDv7"],
    ).await;
    two_keys => keyed(
        &["0190163d-8694-739b-aea5-966c26f8ad91", "0190163d-8694-739b-aea5-966c26f8ad92"],
        SOUND,
        &["Idempotency-Key: found more than one"],
    ).await;
    an_unknown_path => absent("POST", "/v1/nothing").await;
    a_wrong_method => absent("GET", "/v1/search").await;
    a_write_to_a_probe => absent("POST", "/livez").await;
}
