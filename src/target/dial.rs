//! Holds an HTTP client to one TCP connection.
//!
//! An HTTP client replaces a lost connection by itself. For a target that
//! would take a second connection out of its limit without a row in the
//! connection table, and a request could be sent again unseen. The layer here
//! lets the connector run once; every later call fails, which the client
//! reports as a connect error, and a request with that error was never sent.

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

/// The error of a second use of a connector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spent;

impl fmt::Display for Spent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was lost and is not opened again")
    }
}

impl Error for Spent {}

/// Lets the connector below it run once.
#[derive(Clone, Debug, Default)]
pub struct Once {
    spent: Arc<AtomicBool>,
}

impl<S> Layer<S> for Once {
    type Service = Connector<S>;

    fn layer(&self, inner: S) -> Connector<S> {
        Connector { spent: Arc::clone(&self.spent), inner }
    }
}

/// A connector that runs once.
#[derive(Clone, Debug)]
pub struct Connector<S> {
    spent: Arc<AtomicBool>,
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
        if self.spent.swap(true, Ordering::SeqCst) {
            return Box::pin(async { Err(BoxError::from(Spent)) });
        }
        Box::pin(self.inner.call(request))
    }
}

/// Builds an HTTP/2 client that opens one TCP connection and no other.
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
        .connector_layer(Once::default())
        .build()
}
