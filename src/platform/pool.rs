//! The connections to the service, replaced as a whole when one goes silent.
//!
//! A connection can go silent for good while new ones work, and what broke one
//! has usually broken the idle ones beside it. After a call without an answer
//! no idle connection is used again, so that one call finds it out and not one
//! for each connection.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use reqwest::{Client, redirect, retry};

/// The number of connections that are kept open between calls.
const MAX_IDLE: usize = 8;

/// The connections that are in use for new calls.
#[derive(Clone, Debug)]
pub struct Pool {
    connect_limit: Duration,
    current: Arc<ArcSwap<Client>>,
}

impl Pool {
    /// Makes an empty pool; opening a connection takes at most `connect_limit`.
    pub fn new(connect_limit: Duration) -> Result<Pool, reqwest::Error> {
        let client = build(connect_limit)?;
        Ok(Pool { connect_limit, current: Arc::new(ArcSwap::from_pointee(client)) })
    }

    /// The connections to make a call with.
    pub fn current(&self) -> Arc<Client> {
        self.current.load_full()
    }

    /// Stops the use of `silent` for new calls, unless another call did.
    pub fn replace(&self, silent: &Arc<Client>) {
        if let Ok(client) = build(self.connect_limit) {
            self.current.compare_and_swap(silent, Arc::new(client));
        }
    }
}

fn build(connect_limit: Duration) -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .connect_timeout(connect_limit)
        .pool_max_idle_per_host(MAX_IDLE)
        .build()
}
