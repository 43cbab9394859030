//! The configuration in the store of the harness, and the headers of its callers.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, header};
use laburnum_platform::header as names;
use serde_json::{Value, json};

use crate::standin::entries::{Document, HOST, Route};

/// The services of the harness: three shards and the service of the operation.
pub const SERVICES: [&str; 4] = ["one", "two", "three", "desk"];

/// Returns a configuration with a search over three shards and an operation.
pub fn config(version: u64) -> Value {
    let route = Route { timeout: Duration::from_secs(2), goal: Duration::from_millis(400) };
    let document = Document {
        version,
        search: route,
        shards: &SERVICES[..3],
        top_k: 2,
        min_coverage: 0.6,
        operation: route,
        desk: SERVICES[3],
        services: &SERVICES,
        connections: 50,
    };
    document.write()
}

/// Returns a configuration with the search under `/added/` as well.
pub fn config_with_added_route(version: u64) -> Value {
    let mut config = config(version);
    let mut route = config["routes"][0].clone();
    route["name"] = "added".into();
    route["prefix"] = "/added/".into();
    config["routes"].as_array_mut().unwrap().push(route);
    config
}

/// Returns a configuration whose operation goes to a service of the test's own.
pub fn config_with_service(version: u64, service: &str) -> Value {
    let mut config = config(version);
    let row = json!({"name": service, "health_path": "/health", "max_conns": 50});
    config["backends"].as_array_mut().unwrap().push(row);
    config["routes"][1]["backend"] = service.into();
    config
}

/// Returns the headers of a caller that waits for a second.
pub fn caller() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_static(HOST));
    headers.insert(names::ATTEMPT_ID, HeaderValue::from_static("c1"));
    headers.insert(names::DEADLINE_MS, HeaderValue::from_static("1000"));
    headers
}
