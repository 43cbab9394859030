//! Detects by pings that a peer no longer responds.

use h2::{Ping, PingPong};
use tokio::time::{interval, timeout};

use super::Limits;

/// Pings a peer at intervals until a ping is not answered in time or the
/// connection fails, and returns the reason.
pub async fn watch(pings: Option<PingPong>, limits: Limits) -> String {
    let Some(mut pings) = pings else {
        return "the connection does not support pings".to_owned();
    };
    let mut ticks = interval(limits.ping_interval);
    loop {
        ticks.tick().await;
        match timeout(limits.ping_timeout, pings.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error.to_string(),
            Err(_) => {
                let limit = limits.ping_timeout.as_millis();
                return format!("the peer did not answer a ping within {limit} ms");
            }
        }
    }
}
