//! The log: numbered events, written by a thread of its own.
//!
//! Threads hand [`Line`]s to a [`Writer`], which never blocks: each event has a
//! rate, and a line that the writer has no room for is counted and dropped. The
//! events are listed in docs/EVENTS.md.

pub mod drain;
pub mod journal;
pub mod rate;

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use laburnum_core::{
    log::{Event, Level, Line},
    name::Name,
    time::Instant,
};
use slog::{BorrowedKV, Logger, Record, RecordLocation, RecordStatic, o};

use self::{
    drain::{Fields, Output},
    rate::Limiter,
};
use crate::settings::control::Log;

/// Writes lines from any thread.
#[derive(Clone, Debug)]
pub struct Writer {
    logger: Logger,
    level: Level,
    rate: Arc<Mutex<Limiter>>,
    lost: Arc<AtomicU64>,
}

/// Waits at its end until all lines are written.
pub struct Guard(
    #[expect(dead_code, reason = "it acts when it is dropped")] slog_async::AsyncGuard,
);

impl Writer {
    /// Starts to write the log of `vm` to `output`.
    pub fn new(settings: &Log, vm: &Name, output: Output) -> (Writer, Guard) {
        let lost = Arc::new(AtomicU64::new(0));
        let (drain, guard) = drain::start(settings, output, Arc::clone(&lost));
        let logger = Logger::root(drain, o!("vm" => vm.to_string()));
        let rate = Arc::new(Mutex::new(Limiter::new(settings.lines_per_second)));
        (Writer { logger, level: settings.level, rate, lost }, Guard(guard))
    }

    /// Writes `line`, unless its level is not wanted or its event comes too
    /// often.
    pub fn write(&self, line: &Line, now: Instant) {
        if line.event.level() > self.level {
            return;
        }
        let admitted = self.rate().admit(line.event, now);
        if let Some(suppressed) = admitted {
            self.emit(line, suppressed);
        }
    }

    /// Writes for each event how many of its lines were suppressed, as soon as
    /// its rate allows. The control thread calls it now and then, so that the
    /// end of a flood is seen as well.
    pub fn report_suppressed(&self, now: Instant) {
        let due = self.rate().due(now);
        for (event, suppressed) in due {
            self.emit(&Line::new(event, Vec::new()), suppressed);
        }
    }

    /// The lines that were lost because the writer was behind.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    fn rate(&self) -> std::sync::MutexGuard<'_, Limiter> {
        // The counts are whole whatever happened to a thread that held them.
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn emit(&self, line: &Line, suppressed: u64) {
        let location = RecordLocation { file: "", line: 0, column: 0, function: "", module: "" };
        let record = RecordStatic { location: &location, tag: "", level: level(line.event) };
        let fields = Fields { line, suppressed };
        let text = line.event.text();
        self.logger.log(&Record::new(&record, &format_args!("{text}"), BorrowedKV(&fields)));
    }
}

fn level(event: Event) -> slog::Level {
    match event.level() {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    }
}
