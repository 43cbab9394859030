//! Tests of targets that close in the middle of their replies.

use std::time::Duration;

use laburnum_platform::header as names;
use tokio::time::sleep;

use crate::{
    entry::config_with_service,
    harness::Harness,
    raw,
    standin::entries::{self, CONFIG},
};

const SERVICE: &str = "cutter";

/// Returns the parts of a reply, of which a target sends the first few.
fn parts() -> [String; 6] {
    [
        "HTTP/1.1 200".to_owned(),
        " OK\r\n".to_owned(),
        format!("{}: s\r\n", names::DIGEST),
        format!("{}: c1\r\nConte", names::ATTEMPT_ID),
        "nt-Length: 2\r\n".to_owned(),
        "\r\no".to_owned(),
    ]
}

cases! {
    async:
    // Guards against a 200 with an empty or short body that is framed as whole, after a target
    // stopped in the middle of its reply.
    a_reply_that_is_cut_anywhere_is_no_success => {
        let harness = Harness::start().await;
        for count in 1..=parts().len() {
            let entry = entries::target(SERVICE, raw::start_target(parts()[..count].concat()).await, 2, false);
            harness.store.put(&entries::target_key(&format!("cutter-{count}")), &entry).await;
        }
        harness.store.put(CONFIG, &config_with_service(9, SERVICE)).await;
        let relay = harness.relay("vm-1", 1.0).await;
        sleep(Duration::from_secs(1)).await;
        // Each request reaches another target, as one that closed is not used for a while.
        for _ in 0..parts().len() {
            assert_eq!(harness.operate(&relay).await.status(), 502);
        }
    };
}
