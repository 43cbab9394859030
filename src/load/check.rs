//! Checks of the measured figures against the product's targets.

use serde::Serialize;

use super::{
    report::Row,
    scheme::{SCHEMES, Scheme},
};

/// The highest ratio of attempts to the fewest possible, at 60 % load with
/// stragglers.
const MAX_EXTRA_LOAD_RATIO: f64 = 1.05;

/// The highest ratio of the 99th percentile with stragglers to that without.
const MAX_STRAGGLER_P99_RATIO: f64 = 2.0;

/// The lowest ratio of goodput to what the slots allow, under overload.
const MIN_GOODPUT_RATIO: f64 = 0.95;

/// The highest ratio of attempts to first attempts; more is a retry storm.
const MAX_ATTEMPTS_PER_FIRST: f64 = 1.1;

/// The highest ratio of the 99th percentile after a burst to that before it, at
/// which latency counts as recovered.
const MAX_RECOVERED_P99_RATIO: f64 = 1.5;

/// The lowest ratio of the best baseline's 99th percentile to that of the product.
const MIN_BASELINE_P99_RATIO: f64 = 2.0;

/// A target and whether the measured figure meets it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    /// The scene, the service and the condition that must hold.
    pub target: String,
    pub measured: String,
    pub met: bool,
}

impl Finding {
    /// Formats the finding as a line of output.
    pub fn line(&self) -> String {
        let verdict = if self.met { "PASS" } else { "FAIL" };
        format!("{verdict} {}: {}", self.target, self.measured)
    }
}

/// Checks every target of the product for which there are rows.
pub fn check(rows: &[Row]) -> Vec<Finding> {
    let mut findings = Vec::new();
    for row in rows.iter().filter(|row| is_product(row)) {
        findings.push(check_connections(row));
        match row.scene.as_str() {
            "straggler" => check_straggler(rows, row, &mut findings),
            "steady-85" => {
                findings.push(check_goodput(row, row.goodput_per_second, allowed_goodput(row)));
                findings.extend(check_attempts(row));
                findings.extend(check_baselines(rows, row));
            }
            "burst" => check_burst(row, &mut findings),
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

fn check_connections(row: &Row) -> Finding {
    let measured = format!("{} of {}", row.connections, row.connection_limit);
    let met = row.connections <= row.connection_limit;
    finding(row, "connections to a replica within its limit", measured, met)
}

fn check_straggler(rows: &[Row], row: &Row, findings: &mut Vec<Finding>) {
    let extra = row.extra_load.unwrap_or(f64::INFINITY);
    let met = extra <= MAX_EXTRA_LOAD_RATIO;
    findings.push(finding(row, "extra load at most 5 %", format!("{extra:.3}"), met));
    let Some(baseline) = find_row(rows, &row.scheme, "steady-60", &row.service) else { return };
    let (own, without) = (row.summary.p99_ms, baseline.summary.p99_ms);
    let met = own <= MAX_STRAGGLER_P99_RATIO * without;
    let measured = format!("{own:.1} ms, without straggler {without:.1} ms");
    findings.push(finding(row, "p99 at most 2 times that without straggler", measured, met));
}

/// The answers per second that the slots allow, at most the queries that were sent.
fn allowed_goodput(row: &Row) -> f64 {
    row.sent_per_second.min(row.capacity_per_second)
}

fn check_goodput(row: &Row, goodput: f64, allowed: f64) -> Finding {
    let measured = format!("{goodput:.1} of {allowed:.1} a second");
    let met = goodput >= MIN_GOODPUT_RATIO * allowed;
    finding(row, "goodput at least 95 % of what the slots allow", measured, met)
}

fn check_attempts(row: &Row) -> Option<Finding> {
    let ratio = row.attempts_per_first?;
    let met = ratio <= MAX_ATTEMPTS_PER_FIRST;
    Some(finding(row, "attempts at most 1.1 times first attempts", format!("{ratio:.3}"), met))
}

fn check_burst(row: &Row, findings: &mut Vec<Finding>) {
    let Some(burst) = &row.burst else { return };
    findings.push(check_goodput(row, burst.goodput_per_second, burst.allowed_per_second));
    findings.extend(check_attempts(row));
    let met = burst.p99_after_ms <= MAX_RECOVERED_P99_RATIO * burst.p99_before_ms;
    let measured =
        format!("{:.1} ms after, {:.1} ms before", burst.p99_after_ms, burst.p99_before_ms);
    findings.push(finding(row, "p99 is back 2 s after the burst", measured, met));
}

/// Compares the product with the baseline that has the lowest 99th percentile among
/// those that answer at least 95 % of what the slots allow. A baseline that refuses
/// most queries is fast but useless, so it is left out.
fn check_baselines(rows: &[Row], row: &Row) -> Option<Finding> {
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
        .filter(|other| other.goodput_per_second >= MIN_GOODPUT_RATIO * allowed_goodput(other))
        .min_by(|a, b| a.summary.p99_ms.total_cmp(&b.summary.p99_ms));
    let own = row.summary.p99_ms;
    let target = "p99 at least 2 times better than the best baseline";
    let Some(best) = best else {
        let measured = format!("{own:.1} ms, no baseline answers 95 % of what the slots allow");
        return Some(finding(row, target, measured, true));
    };
    let measured = format!("{own:.1} ms, {} {:.1} ms", best.scheme, best.summary.p99_ms);
    Some(finding(row, target, measured, best.summary.p99_ms >= MIN_BASELINE_P99_RATIO * own))
}

fn find_row<'a>(rows: &'a [Row], scheme: &str, scene: &str, service: &str) -> Option<&'a Row> {
    rows.iter().find(|row| row.scheme == scheme && row.scene == scene && row.service == service)
}
