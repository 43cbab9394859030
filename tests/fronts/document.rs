//! Malformed input of operators: each is refused with `malformed`, `ran: no` and a
//! detail that names the field, what was found and what is allowed.

use serde_json::{Value, json};

use crate::operator_front::{
    BOTH_ROLES_TOKEN, OperatorFront, expect_refusal, own_profiles, profiles_body,
};

/// Asserts that a publication with this body is refused with each text of
/// `expected` in the detail.
async fn bad_profiles(body: &str, expected: &[&str]) {
    bad_request("PUT", "/v1/profiles", body, expected).await;
}

async fn bad_request(method: &str, path: &str, body: &str, expected: &[&str]) {
    let mut front = OperatorFront::start();
    let request = front.request(method, path, BOTH_ROLES_TOKEN).body(body.to_owned());
    let document = expect_refusal(&mut front, request, 400, "malformed").await;
    let detail = document["detail"].as_str().unwrap();
    for text in expected {
        assert!(detail.contains(text), "{detail:?} does not contain {text:?}");
    }
}

/// The body of a publication whose profile `portal` has `value` under `key`.
fn with_field(key: &str, value: Value) -> String {
    let mut document = json!({ "profiles": own_profiles() });
    document["profiles"]["portal"][key] = value;
    document.to_string()
}

async fn bad_tag(tag: &str) {
    let mut front = OperatorFront::start();
    let request = front
        .request("PUT", "/v1/profiles", BOTH_ROLES_TOKEN)
        .body(profiles_body())
        .header("If-Match", tag);
    let document = expect_refusal(&mut front, request, 400, "malformed").await;
    assert!(document["detail"].as_str().unwrap().contains("If-Match: found"), "{document}");
}

cases! {
    async:
    no_profiles => bad_profiles("{}", &["profiles: found nothing", "by name"]).await;
    a_list_of_profiles => bad_profiles(r#"{"profiles":[]}"#, &["profiles: found an array"]).await;
    a_bad_profile_name => bad_profiles(
        r#"{"profiles":{"A":{}}}"#,
        &["profiles.\"A\": found \"A\"", "a-z"],
    ).await;
    a_profile_that_is_a_text => bad_profiles(
        r#"{"profiles":{"a":"x"}}"#, &["profiles.\"a\""],
    ).await;
    a_profile_without_fields => bad_profiles(
        r#"{"profiles":{"a":{}}}"#,
        &["profiles.\"a\"", "missing field `team`"],
    ).await;
    an_unknown_field_of_a_profile => bad_profiles(
        &with_field("deadlin_ms", json!(5)),
        &["portal", "deadlin_ms", "deadline_ms"],
    ).await;
    a_text_as_coverage => bad_profiles(
        &with_field("coverage_ppm", json!("all")),
        &["portal\".coverage_ppm", "\"all\"", "u32"],
    ).await;
    a_coverage_beyond_the_whole => bad_profiles(
        &with_field("coverage_ppm", json!(1_000_001)),
        &["portal\".coverage_ppm", "found 1000001", "0 to 1000000"],
    ).await;
    a_concurrency_beyond_32_bits => bad_profiles(
        &with_field("concurrency", json!(1_u64 << 40)),
        &["portal\".concurrency", "1099511627776"],
    ).await;
    a_tag_that_is_no_revision => bad_tag("\"latest\"").await;
    a_tag_without_quotes => bad_tag("4").await;
    a_tag_for_any => bad_tag("*").await;
    an_unknown_query => bad_request(
        "PUT", "/v1/profiles?dryrun=1", &profiles_body(), &["query: found", "dry_run=true"],
    ).await;
    a_roll_back_to_nothing => bad_request(
        "POST", "/v1/profiles/rollback", "{}", &["to: found nothing"],
    ).await;
    a_roll_back_to_a_name => bad_request(
        "POST", "/v1/profiles/rollback", r#"{"to":"first"}"#, &["to: found \"first\""],
    ).await;
    a_settlement_without_token => bad_request(
        "POST", "/v1/publications/settle", "{}", &["token: found nothing"],
    ).await;
    a_settlement_with_a_bad_token => bad_request(
        "POST",
        "/v1/publications/settle",
        r#"{"token":{"base":1,"revision":2,"id":"x"}}"#,
        &["token.id: found \"x\""],
    ).await;
}
