//! Hands log lines to a writer thread through a bounded queue.

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

/// The stream to which log lines are written.
pub type Output = Box<dyn Write + Send>;

/// Passes the fields of a line to slog.
pub struct Fields<'a> {
    pub line: &'a Line,
    /// The number of lines of the same event that were suppressed before this
    /// one.
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

/// A drain that never blocks. A line that cannot be queued is dropped and
/// counted.
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

/// Starts the thread that writes to `output`. `lost` counts the lines that
/// could not be queued.
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
    let capacity = usize::try_from(settings.queue_lines).unwrap_or(usize::MAX);
    let builder = AsyncCore::custom(drain).chan_size(capacity).blocking(false);
    let (queue, guard) = builder.thread_name("log".to_owned()).build_with_guard();
    (Bounded { queue, lost }, guard)
}
