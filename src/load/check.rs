//! The targets of the product, held against what was measured.

use serde::Serialize;

use super::{
    report::Row,
    scheme::{SCHEMES, Scheme},
};

/// The most attempts over the least needed, at 60 % load with a straggler.
const MAX_EXTRA_LOAD: f64 = 1.05;

/// The most that a straggler may multiply the 99th percentile by.
const MAX_STRAGGLER_RATIO: f64 = 2.0;

/// The least goodput over what the slots allow, under overload.
const MIN_GOODPUT: f64 = 0.95;

/// The most attempts over first attempts; more is a retry storm.
const MAX_ATTEMPTS: f64 = 1.1;

/// The most that the 99th percentile after a burst may be over that before it,
/// to count as back.
const MAX_RECOVERED: f64 = 1.5;

/// The least ratio of the best baseline's 99th percentile to that of homes.
const MIN_BETTER: f64 = 2.0;

/// A target and whether it is met.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// What must hold.
    pub target: String,
    /// What was measured.
    pub measured: String,
    /// Whether it is met.
    pub met: bool,
}

impl Finding {
    /// The line that is printed.
    pub fn line(&self) -> String {
        let verdict = if self.met { "PASS" } else { "FAIL" };
        format!("{verdict} {}: {}", self.target, self.measured)
    }
}

/// Checks every target for which there are rows.
pub fn check(rows: &[Row]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for row in rows.iter().filter(|row| is_product(row)) {
        findings.push(connections(row));
        match row.scene.as_str() {
            "straggler" => straggler(rows, row, &mut findings),
            "steady-85" => {
                findings.push(goodput(row, row.goodput_per_second, allowed(row)));
                findings.extend(storm(row));
                findings.extend(better(rows, row));
            }
            "burst" => burst(row, &mut findings),
            _ => {}
        }
    }
    findings
}

fn is_product(row: &Row) -> bool {
    SCHEMES.first().is_some_and(|scheme| scheme.name == row.scheme)
}

fn finding(row: &Row, target: &str, measured: String, met: bool) -> Finding {
    Finding { target: format!("{} {}: {target}", row.scene, row.service), measured, met }
}

fn connections(row: &Row) -> Finding {
    let measured = format!("{} of {}", row.connections, row.connection_limit);
    let met = row.connections <= row.connection_limit;
    finding(row, "connections to a replica within its limit", measured, met)
}

fn straggler(rows: &[Row], row: &Row, findings: &mut Vec<Finding>) {
    let extra = row.extra_load.unwrap_or(f64::INFINITY);
    let met = extra <= MAX_EXTRA_LOAD;
    findings.push(finding(row, "extra load at most 5 %", format!("{extra:.3}"), met));
    let Some(plain) = find(rows, &row.scheme, "steady-60", &row.service) else { return };
    let (own, without) = (row.summary.p99_ms, plain.summary.p99_ms);
    let met = own <= MAX_STRAGGLER_RATIO * without;
    let measured = format!("{own:.1} ms, without straggler {without:.1} ms");
    findings.push(finding(row, "p99 at most 2 times that without straggler", measured, met));
}

/// The answers a second that the slots allow of what was sent.
fn allowed(row: &Row) -> f64 {
    row.sent_per_second.min(row.capacity_per_second)
}

fn goodput(row: &Row, goodput: f64, allowed: f64) -> Finding {
    let measured = format!("{goodput:.1} of {allowed:.1} a second");
    let met = goodput >= MIN_GOODPUT * allowed;
    finding(row, "goodput at least 95 % of what the slots allow", measured, met)
}

fn storm(row: &Row) -> Option<Finding> {
    let ratio = row.attempts_per_first?;
    let met = ratio <= MAX_ATTEMPTS;
    Some(finding(row, "attempts at most 1.1 times first attempts", format!("{ratio:.3}"), met))
}

fn burst(row: &Row, findings: &mut Vec<Finding>) {
    let Some(burst) = &row.burst else { return };
    findings.push(goodput(row, burst.goodput_per_second, burst.allowed_per_second));
    findings.extend(storm(row));
    let met = burst.p99_after_ms <= MAX_RECOVERED * burst.p99_before_ms;
    let measured =
        format!("{:.1} ms after, {:.1} ms before", burst.p99_after_ms, burst.p99_before_ms);
    findings.push(finding(row, "p99 is back 2 s after the burst", measured, met));
}

/// Compares with the baseline of the lowest 99th percentile among those that
/// answer at least 95 % of what the slots allow: one that refuses most queries
/// is fast and of no use.
fn better(rows: &[Row], row: &Row) -> Option<Finding> {
    let baselines: Vec<&Row> = rows
        .iter()
        .filter(|other| other.scene == row.scene && other.service == row.service)
        .filter(|other| Scheme::named(&other.scheme).is_some_and(|scheme| scheme.is_baseline()))
        .collect();
    if baselines.is_empty() {
        return None;
    }
    let best = baselines
        .iter()
        .filter(|other| other.goodput_per_second >= MIN_GOODPUT * allowed(other))
        .min_by(|a, b| a.summary.p99_ms.total_cmp(&b.summary.p99_ms));
    let own = row.summary.p99_ms;
    let target = "p99 at least 2 times better than the best baseline";
    let Some(best) = best else {
        let measured = format!("{own:.1} ms, no baseline answers 95 % of what the slots allow");
        return Some(finding(row, target, measured, true));
    };
    let measured = format!("{own:.1} ms, {} {:.1} ms", best.scheme, best.summary.p99_ms);
    Some(finding(row, target, measured, best.summary.p99_ms >= MIN_BETTER * own))
}

fn find<'a>(rows: &'a [Row], scheme: &str, scene: &str, service: &str) -> Option<&'a Row> {
    rows.iter().find(|row| row.scheme == scheme && row.scene == scene && row.service == service)
}
