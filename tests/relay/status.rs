//! Tests of targets whose replies have a status that HTTP does not know.

use std::time::Duration;

use laburnum_platform::header as names;
use tokio::time::sleep;

use crate::{
    entry::config_with_service,
    harness::Harness,
    raw,
    standin::entries::{self, CONFIG},
};

const SERVICE: &str = "odd";

/// Returns a reply with this status and a digest.
fn reply(status: &str) -> String {
    let (digest, id) = (names::DIGEST, names::ATTEMPT_ID);
    format!("HTTP/1.1 {status} Odd\r\n{digest}: s\r\n{id}: c1\r\nContent-Length: 2\r\n\r\nok")
}

/// Asserts that a caller whose request is answered with this status gets a failure of the
/// relay instead, without the digest.
async fn is_not_passed_on(status: &str) {
    let harness = Harness::start().await;
    let entry = entries::target(SERVICE, raw::start_target(reply(status)).await, 2, false);
    harness.store.put(&entries::target_key("odd-1"), &entry).await;
    harness.store.put(CONFIG, &config_with_service(9, SERVICE)).await;
    let relay = harness.relay("vm-1", 1.0).await;
    sleep(Duration::from_secs(1)).await;
    let answer = harness.operate(&relay).await;
    assert!(matches!(answer.status().as_u16(), 502 | 504), "{}", answer.status());
    assert!(!answer.headers().contains_key(names::DIGEST));
    assert_eq!(harness.search(&relay).await.status(), 200);
}

cases! {
    async:
    status_000_is_not_passed_on => is_not_passed_on("000").await;
    status_001_is_not_passed_on => is_not_passed_on("001").await;
    status_099_is_not_passed_on => is_not_passed_on("099").await;
    status_100_is_not_passed_on => is_not_passed_on("100").await;
    status_101_is_not_passed_on => is_not_passed_on("101").await;
    status_199_is_not_passed_on => is_not_passed_on("199").await;
    status_600_is_not_passed_on => is_not_passed_on("600").await;
    status_999_is_not_passed_on => is_not_passed_on("999").await;
    status_1000_is_not_passed_on => is_not_passed_on("1000").await;
    status_20_is_not_passed_on => is_not_passed_on("20").await;
    a_status_without_digits_is_not_passed_on => is_not_passed_on("abc").await;
}
