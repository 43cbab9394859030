//! The log: numbered events, written by a thread of their own.
//!
//! Threads hand [`Line`]s to a [`Writer`], which never blocks. The rate of each
//! event is limited, and a line for which the queue has no room is dropped and
//! counted. docs/EVENTS.md lists the events.

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

/// Writes log lines from any thread without blocking.
#[derive(Clone, Debug)]
pub struct Writer {
    logger: Logger,
    level: Level,
    limiter: Arc<Mutex<Limiter>>,
    lost: Arc<AtomicU64>,
}

/// Waits when it is dropped until all queued lines are written.
pub struct Guard(
    #[expect(dead_code, reason = "it acts when it is dropped")] slog_async::AsyncGuard,
);

impl Writer {
    /// Starts the thread that writes the log of `vm` to `output`.
    pub fn new(settings: &Log, vm: &Name, output: Output) -> (Writer, Guard) {
        let lost = Arc::new(AtomicU64::new(0));
        let (drain, guard) = drain::start(settings, output, Arc::clone(&lost));
        let logger = Logger::root(drain, o!("vm" => vm.to_string()));
        let limiter = Arc::new(Mutex::new(Limiter::new(settings.lines_per_second)));
        (Writer { logger, level: settings.level, limiter, lost }, Guard(guard))
    }

    /// Writes `line`, unless its level is less severe than the configured one
    /// or its event exceeds the rate limit.
    pub fn write(&self, line: &Line, now: Instant) {
        if line.event.level() > self.level {
            return;
        }
        let admitted = self.limiter().admit(line.event, now);
        if let Some(suppressed) = admitted {
            self.emit(line, suppressed);
        }
    }

    /// Writes how many lines of each event were suppressed, once the rate of
    /// the event allows a line. The control thread calls it regularly, so that
    /// suppressed lines are reported even if no further line of the event
    /// follows.
    pub fn report_suppressed(&self, now: Instant) {
        let due = self.limiter().due(now);
        for (event, suppressed) in due {
            self.emit(&Line::new(event, Vec::new()), suppressed);
        }
    }

    /// The number of lines that were lost because they could not be queued.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    fn limiter(&self) -> std::sync::MutexGuard<'_, Limiter> {
        // A thread that panicked with the lock held leaves the counts valid.
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
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
