//! The metrics behind the borders of the threads.

use std::sync::Arc;

use laburnum_core::{
    count::{Counts, Sample},
    traffic::{Answer, Body, Engine},
};

use crate::{
    front,
    metric::{
        Metrics,
        gauge::{Gauge, Part},
    },
    traffic::Meter,
};

/// Adds what a traffic thread counts to the metrics of the VM.
pub struct Thread {
    /// The number of the thread.
    pub number: u16,
    /// The metrics of the VM.
    pub metrics: Arc<Metrics>,
}

impl Meter for Thread {
    fn count(&mut self, counts: &Counts) {
        self.metrics.add(counts);
    }

    fn answered(&mut self, answer: &Answer) {
        let coverage = match &answer.body {
            Body::Found(found) => Some(found.coverage),
            Body::Done { .. } | Body::Refused(_) => None,
        };
        let mut counts = Counts::default();
        counts.sample(Sample { profile: answer.profile.clone(), took: answer.took, coverage });
        self.metrics.add(&counts);
    }

    fn observe(&mut self, engine: &Engine) {
        let tables = engine.tables();
        let part = Part::Traffic(self.number);
        self.metrics.set(Gauge::OpenRequests, part, signed(tables.queries.len()));
        self.metrics.set(Gauge::TargetConnections, part, signed(tables.connections.len()));
        self.metrics.set(Gauge::Ready, part, i64::from(engine.is_ready()));
    }
}

fn signed(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Shows the metrics to the fronts.
pub struct Text(pub Arc<Metrics>);

impl front::probe::Metrics for Text {
    fn encode(&self) -> String {
        self.0.text()
    }
}
