//! The results, as a table for people and as JSON.

use serde::Serialize;

use super::{check::Finding, sample::Summary};

/// The result of one scheme under one scene for one service.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The name of the scheme.
    pub scheme: String,
    /// The name of the scene.
    pub scene: String,
    /// The name of the service.
    pub service: String,
    /// What came of the queries.
    #[serde(flatten)]
    pub summary: Summary,
    /// The queries that were sent a second.
    pub sent_per_second: f64,
    /// The answers that met their profile a second.
    pub goodput_per_second: f64,
    /// The queries a second that keep every slot busy.
    pub capacity_per_second: f64,
    /// The attempts at targets over the least that the answers needed.
    pub extra_load: Option<f64>,
    /// All attempts over first attempts, over all services; none where VMs were
    /// replaced and took their counters with them.
    pub attempts_per_first: Option<f64>,
    /// The hedges of all services.
    pub hedges: f64,
    /// The retries of all services.
    pub retries: f64,
    /// The extra attempts of all services that the budgets did not allow.
    pub denied: f64,
    /// The most connections that any target had at a time.
    pub connections: u32,
    /// The connections that a target takes.
    pub connection_limit: u32,
    /// The calls of the platform a second.
    pub platform_calls_per_second: f64,
    /// The processor time of the whole process over the wall time.
    pub processor_cores: f64,
    /// The processor time of the traffic threads for each attempt, with HTTP to
    /// callers and targets, in microseconds.
    pub tier_micros_per_attempt: Option<f64>,
    /// What happened in a burst and after it.
    pub burst: Option<Burst>,
}

/// The figures of a burst.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Burst {
    /// The answers a second while it lasted.
    pub goodput_per_second: f64,
    /// What the slots allow.
    pub allowed_per_second: f64,
    /// The 99th percentile before it.
    pub p99_before_ms: f64,
    /// The 99th percentile from two seconds after it.
    pub p99_after_ms: f64,
}

/// All results of a run of the tool.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Document {
    /// The seed of the arrivals.
    pub seed: u64,
    /// The length of each measurement in seconds.
    pub seconds: u32,
    /// The results.
    pub rows: Vec<Row>,
    /// The targets that were checked.
    pub findings: Vec<Finding>,
}

/// The heading of the table.
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
    /// The row of the table.
    pub fn line(&self) -> String {
        let summary = &self.summary;
        let refused: u64 = summary.refusals.values().sum();
        let part = |count: u64, of: u64| count as f64 / of.max(1) as f64;
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
            part(summary.complete, summary.answered),
            self.sent_per_second,
            self.goodput_per_second,
            self.capacity_per_second,
            part(refused, summary.sent),
            summary.lost,
            optional(self.extra_load),
            optional(self.attempts_per_first),
            self.hedges,
            self.retries,
            self.connections,
            self.connection_limit,
            self.platform_calls_per_second,
            self.processor_cores,
            optional(self.tier_micros_per_attempt),
        )
    }

    /// What else is worth a line: refusals by kind and the burst.
    pub fn notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        if !self.summary.refusals.is_empty() {
            let of: u64 = self.summary.refusals.values().sum();
            let kinds: Vec<String> = self
                .summary
                .refusals
                .iter()
                .map(|(kind, count)| format!("{kind} {count}"))
                .collect();
            notes.push(format!(
                "{} {} {}: refused {}; {} of {of} say that nothing ran",
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

fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.3}"))
}
