//! The way of a line to its output: a bounded queue and a thread that writes.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use laburnum_core::log::Line;
use slog::{Drain, KV, Never, OwnedKVList, Record, Serializer};
use slog_async::{AsyncCore, AsyncError, AsyncGuard};
use slog_json::Json;
use slog_term::{FullFormat, PlainSyncDecorator};

use crate::settings::control::{Format, Log};

/// Where the log goes.
pub type Output = Box<dyn Write + Send>;

/// The fields of a line, as slog asks for them.
pub struct Fields<'a> {
    /// The line.
    pub line: &'a Line,
    /// The lines of the event that were suppressed before this one.
    pub suppressed: u64,
}

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_u16("event", self.line.event.number())?;
        if let Some(query) = self.line.query {
            serializer.emit_str("request", &query.to_string())?;
        }
        for (name, value) in &self.line.fields {
            serializer.emit_str(name, value)?;
        }
        if self.suppressed > 0 {
            serializer.emit_u64("suppressed", self.suppressed)?;
        }
        Ok(())
    }
}

/// A drain that never blocks and counts what it loses.
pub struct Bounded {
    queue: AsyncCore,
    lost: Arc<AtomicU64>,
}

impl Drain for Bounded {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if let Err(AsyncError::Full | AsyncError::Fatal(_)) = self.queue.log(record, values) {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Starts the thread that writes to `output`.
pub fn start(settings: &Log, output: Output, lost: Arc<AtomicU64>) -> (Bounded, AsyncGuard) {
    match settings.format {
        Format::Json => {
            let drain = Json::new(output).add_default_keys().set_flush(true).build();
            bounded(settings, drain.ignore_res(), lost)
        }
        Format::Text => {
            let format = FullFormat::new(PlainSyncDecorator::new(output));
            let drain = format.use_utc_timestamp().use_original_order().build();
            bounded(settings, drain.ignore_res(), lost)
        }
    }
}

fn bounded<D>(settings: &Log, drain: D, lost: Arc<AtomicU64>) -> (Bounded, AsyncGuard)
where
    D: Drain<Ok = (), Err = Never> + Send + 'static,
{
    let room = usize::try_from(settings.queue_lines).unwrap_or(usize::MAX);
    let builder = AsyncCore::custom(drain).chan_size(room).blocking(false);
    let (queue, guard) = builder.thread_name("log".to_owned()).build_with_guard();
    (Bounded { queue, lost }, guard)
}
