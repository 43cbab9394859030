//! Bad input of operators: each gets `malformed`, `ran: no` and a detail that
//! names the field, what was found and what is allowed.

use serde_json::{Value, json};

use crate::desk::{BOTH, Desk, body, own, refused};

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

cases! {
    async:
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
