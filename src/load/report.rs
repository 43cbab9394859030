//! The results, as a Markdown table and as JSON.

use serde::Serialize;

use super::{check::Finding, sample::Summary};

/// The result of one scheme under one scene for one service.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub scheme: String,
    pub scene: String,
    pub service: String,
    /// The outcomes of the queries.
    #[serde(flatten)]
    pub summary: Summary,
    pub sent_per_second: f64,
    /// The answers per second that met their profile.
    pub goodput_per_second: f64,
    /// The queries per second that keep every slot busy.
    pub capacity_per_second: f64,
    /// The ratio of attempts at targets to the fewest that the answers needed; none
    /// without answers.
    pub extra_load: Option<f64>,
    /// The ratio of all attempts to first attempts, over all services. None if VMs
    /// were replaced, because their counters are lost with them.
    pub attempts_per_first: Option<f64>,
    /// The number of hedges, over all services.
    pub hedges: f64,
    /// The number of retries, over all services.
    pub retries: f64,
    /// The number of extra attempts that retry budgets denied, over all services.
    pub denied: f64,
    /// The highest number of simultaneous connections to any target.
    pub connections: u32,
    /// The number of connections that a target accepts.
    pub connection_limit: u32,
    /// The calls to the platform per second.
    pub platform_calls_per_second: f64,
    /// The ratio of the CPU time of the whole process to wall time.
    pub processor_cores: f64,
    /// The CPU time of the traffic threads per attempt, in microseconds, which
    /// includes HTTP to callers and targets. None if VMs were replaced.
    pub tier_micros_per_attempt: Option<f64>,
    /// The figures of the burst, in scenes that have one.
    pub burst: Option<Burst>,
}

/// The figures during and after a burst.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Burst {
    /// The answers per second during the burst.
    pub goodput_per_second: f64,
    /// The answers per second that the slots allow.
    pub allowed_per_second: f64,
    /// The 99th percentile of latency before the burst.
    pub p99_before_ms: f64,
    /// The 99th percentile of latency, from two seconds after the burst.
    pub p99_after_ms: f64,
}

/// All results of one run of the load tool.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Document {
    /// The seed of the arrivals.
    pub seed: u64,
    /// The duration of each measurement, without the warm-up.
    pub seconds: u32,
    pub rows: Vec<Row>,
    /// The results of the checks; empty if none were requested.
    pub findings: Vec<Finding>,
}

/// The heading of the Markdown table.
pub fn heading() -> Vec<String> {
    vec![
        "| scheme | scene | service | p50 ms | p99 ms | p99.9 ms | coverage | complete | sent/s \
         | goodput/s | slots/s | refused | lost | attempts/least | attempts/first | hedges \
         | retries | connections | platform calls/s | cores | tier µs/attempt |"
            .to_owned(),
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
            .to_owned(),
    ]
}

impl Row {
    /// Formats the row of the Markdown table.
    pub fn line(&self) -> String {
        let summary = &self.summary;
        let refused: u64 = summary.refusals.values().sum();
        let fraction = |count: u64, total: u64| count as f64 / total.max(1) as f64;
        format!(
            "| {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.4} | {:.4} | {:.1} | {:.1} | {:.1} \
             | {:.4} | {} | {} | {} | {} | {} | {} of {} | {:.1} | {:.2} | {} |",
            self.scheme,
            self.scene,
            self.service,
            summary.p50_ms,
            summary.p99_ms,
            summary.p999_ms,
            summary.coverage,
            fraction(summary.complete, summary.answered),
            self.sent_per_second,
            self.goodput_per_second,
            self.capacity_per_second,
            fraction(refused, summary.sent),
            summary.lost,
            format_optional(self.extra_load),
            format_optional(self.attempts_per_first),
            self.hedges,
            self.retries,
            self.connections,
            self.connection_limit,
            self.platform_calls_per_second,
            self.processor_cores,
            format_optional(self.tier_micros_per_attempt),
        )
    }

    /// Formats the refusals by kind and the figures of the burst, one line each.
    pub fn notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        if !self.summary.refusals.is_empty() {
            let total: u64 = self.summary.refusals.values().sum();
            let kinds: Vec<String> = self
                .summary
                .refusals
                .iter()
                .map(|(kind, count)| format!("{kind} {count}"))
                .collect();
            notes.push(format!(
                "{} {} {}: refused {}; {} of {total} say that nothing ran",
                self.scheme,
                self.scene,
                self.service,
                kinds.join(", "),
                self.summary.not_run
            ));
        }
        if let Some(burst) = &self.burst {
            notes.push(format!(
                "{} {} {}: in the burst {:.1} answers/s of {:.1} that the slots allow; p99 before \
                 {:.1} ms, from 2 s after it {:.1} ms",
                self.scheme,
                self.scene,
                self.service,
                burst.goodput_per_second,
                burst.allowed_per_second,
                burst.p99_before_ms,
                burst.p99_after_ms
            ));
        }
        notes
    }
}

fn format_optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.3}"))
}
