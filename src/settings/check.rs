//! Checks that need more than one key.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{
    Settings,
    document::Document,
    identity::{Listen, MAX_TRAFFIC_THREADS},
};

/// Reports the keys of `settings` that contradict each other.
pub fn run(settings: &Settings, document: &mut Document<'_>) {
    addresses(&settings.listen, document);
    announced(&settings.listen, document);
    for (less, more) in pairs(settings) {
        if less.span >= more.span {
            let (found, bound) = (less.span.as_millis(), more.span.as_millis());
            let detail = format!("found {found}, allowed is less than {} = {bound}", more.key);
            document.report_key(less.key, detail);
        }
    }
    names(settings, document);
}

struct Span {
    key: &'static str,
    span: Duration,
}

fn span(key: &'static str, span: Duration) -> Span {
    Span { key, span }
}

/// The times of which the first must be shorter than the second.
fn pairs(settings: &Settings) -> [(Span, Span); 5] {
    let (peers, members) = (&settings.peers, &settings.membership);
    let (claims, shutdown) = (&settings.claims, &settings.shutdown);
    [
        (
            span("membership.probe_limit_ms", members.probe_timeout),
            span("membership.probe_interval_ms", members.probe_interval),
        ),
        (
            span("membership.probe_limit_ms", members.probe_timeout),
            span("membership.gone_after_ms", members.gone_after),
        ),
        (
            span("peers.ping_limit_ms", peers.ping_timeout),
            span("peers.ping_interval_ms", peers.ping_interval),
        ),
        (span("claims.future_ms", claims.clock_skew), span("claims.window_ms", claims.window)),
        (
            span("shutdown.announce_ms", shutdown.announce),
            span("shutdown.limit_ms", shutdown.limit),
        ),
    ]
}

fn keyed(listen: &Listen) -> Vec<(&'static str, SocketAddr)> {
    let mut keyed = vec![
        ("listen.callers", listen.callers),
        ("listen.operators", listen.operators),
        ("listen.control", listen.control),
    ];
    keyed.extend(listen.traffic.iter().map(|&address| ("listen.traffic", address)));
    keyed
}

fn addresses(listen: &Listen, document: &mut Document<'_>) {
    let mut seen = BTreeMap::new();
    for (key, address) in keyed(listen) {
        if let Some(other) = seen.insert(address, key) {
            document.report_key(key, format!("found {address}, which {other} has as well"));
        }
    }
    if listen.traffic.len() > MAX_TRAFFIC_THREADS {
        let found = listen.traffic.len();
        let detail = format!("found {found} addresses, allowed are 1 to {MAX_TRAFFIC_THREADS}");
        document.report_key("listen.traffic", detail);
    }
}

/// Other VMs are told these addresses, so each must name one machine and port.
fn announced(listen: &Listen, document: &mut Document<'_>) {
    for (key, address) in keyed(listen).into_iter().skip(2) {
        if address.ip().is_unspecified() || address.port() == 0 {
            let detail = format!("found {address}, allowed is an address that other VMs can reach");
            document.report_key(key, detail);
        }
    }
}

fn names(settings: &Settings, document: &mut Document<'_>) {
    let mut seen = BTreeMap::new();
    for (index, token) in settings.operators.tokens.iter().enumerate() {
        if let Some(first) = seen.insert(&token.name, index) {
            let detail = format!("found {}, which token {first} has as well", token.name);
            document.report_key(&format!("operators.tokens[{index}].name"), detail);
        }
    }
}
