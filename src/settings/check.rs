//! Checks that compare several keys.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{
    Settings,
    document::Document,
    identity::{Listen, MAX_TRAFFIC_THREADS},
};

/// Reports the keys of `settings` that contradict each other.
pub fn report_conflicts(settings: &Settings, document: &mut Document<'_>) {
    check_addresses(&settings.listen, document);
    check_reachable(&settings.listen, document);
    for (shorter, longer) in ordered_pairs(settings) {
        if shorter.duration >= longer.duration {
            let (found, bound) = (shorter.duration.as_millis(), longer.duration.as_millis());
            let detail = format!("found {found}, allowed is less than {} = {bound}", longer.key);
            document.report_key(shorter.key, detail);
        }
    }
    check_token_names(settings, document);
}

/// A duration with the key that sets it.
struct Setting {
    key: &'static str,
    duration: Duration,
}

fn setting(key: &'static str, duration: Duration) -> Setting {
    Setting { key, duration }
}

/// Pairs of durations of which the first must be shorter than the second.
fn ordered_pairs(settings: &Settings) -> [(Setting, Setting); 5] {
    let (peers, members) = (&settings.peers, &settings.membership);
    let (claims, shutdown) = (&settings.claims, &settings.shutdown);
    [
        (
            setting("membership.probe_limit_ms", members.probe_timeout),
            setting("membership.probe_interval_ms", members.probe_interval),
        ),
        (
            setting("membership.probe_limit_ms", members.probe_timeout),
            setting("membership.gone_after_ms", members.gone_after),
        ),
        (
            setting("peers.ping_limit_ms", peers.ping_timeout),
            setting("peers.ping_interval_ms", peers.ping_interval),
        ),
        (
            setting("claims.future_ms", claims.clock_skew),
            setting("claims.window_ms", claims.window),
        ),
        (
            setting("shutdown.announce_ms", shutdown.announce),
            setting("shutdown.limit_ms", shutdown.limit),
        ),
    ]
}

/// All addresses with their keys. The addresses for other VMs come after the
/// first two, which are for callers and operators.
fn keyed_addresses(listen: &Listen) -> Vec<(&'static str, SocketAddr)> {
    let mut addresses = vec![
        ("listen.callers", listen.callers),
        ("listen.operators", listen.operators),
        ("listen.control", listen.control),
    ];
    addresses.extend(listen.traffic.iter().map(|&address| ("listen.traffic", address)));
    addresses
}

/// Reports addresses that are given twice, and too many traffic threads.
fn check_addresses(listen: &Listen, document: &mut Document<'_>) {
    let mut seen = BTreeMap::new();
    for (key, address) in keyed_addresses(listen) {
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

/// Reports addresses that other VMs cannot connect to. The VM announces those
/// of its control and traffic threads, so each needs a specific IP address and
/// port.
fn check_reachable(listen: &Listen, document: &mut Document<'_>) {
    for (key, address) in keyed_addresses(listen).into_iter().skip(2) {
        if address.ip().is_unspecified() || address.port() == 0 {
            let detail = format!("found {address}, allowed is an address that other VMs can reach");
            document.report_key(key, detail);
        }
    }
}

/// Reports operator tokens that share a name.
fn check_token_names(settings: &Settings, document: &mut Document<'_>) {
    let mut seen = BTreeMap::new();
    for (index, token) in settings.operators.tokens.iter().enumerate() {
        if let Some(first) = seen.insert(&token.name, index) {
            let detail = format!("found {}, which token {first} has as well", token.name);
            document.report_key(&format!("operators.tokens[{index}].name"), detail);
        }
    }
}
