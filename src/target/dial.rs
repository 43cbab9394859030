//! Limits an HTTP client to one TCP connection.
//!
//! An HTTP client replaces a lost connection by itself. That would use a second
//! connection of the target's limit that is not in the connection table, and a request
//! could be sent again unnoticed. The layer here lets the connector run once. Every
//! later call fails, which the client reports as a connect error, and a request with
//! that error was never sent.

use std::{
    error::Error,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tower_layer::Layer;
use tower_service::Service;

/// The error of a connector that is called a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyUsed;

impl fmt::Display for AlreadyUsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was lost and is not opened again")
    }
}

impl Error for AlreadyUsed {}

/// The layer that lets the connector below it run once.
#[derive(Clone, Debug, Default)]
pub struct SingleUse {
    is_used: Arc<AtomicBool>,
}

impl<S> Layer<S> for SingleUse {
    type Service = Connector<S>;

    fn layer(&self, inner: S) -> Connector<S> {
        Connector { is_used: Arc::clone(&self.is_used), inner }
    }
}

/// A connector that runs once; clones count as the same one.
#[derive(Clone, Debug)]
pub struct Connector<S> {
    is_used: Arc<AtomicBool>,
    inner: S,
}

type BoxError = Box<dyn Error + Send + Sync>;

type Connecting<T> = std::pin::Pin<Box<dyn Future<Output = Result<T, BoxError>> + Send>>;

impl<S, R> Service<R> for Connector<S>
where
    S: Service<R, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = S::Response;
    type Error = BoxError;
    type Future = Connecting<S::Response>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: R) -> Connecting<S::Response> {
        if self.is_used.swap(true, Ordering::SeqCst) {
            return Box::pin(async { Err(BoxError::from(AlreadyUsed)) });
        }
        Box::pin(self.inner.call(request))
    }
}

/// Builds an HTTP/2 client that opens one TCP connection, within `limit`, and no
/// other.
pub fn client(limit: Duration) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .http2_prior_knowledge()
        .http2_adaptive_window(true)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(limit)
        .pool_idle_timeout(None)
        .tcp_nodelay(true)
        .connector_layer(SingleUse::default())
        .build()
}
