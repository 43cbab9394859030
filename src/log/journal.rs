//! The log writer as the journal of the control thread.

use laburnum_core::{
    border::{self, Clock},
    log::Line,
};

use super::Writer;

/// Writes the log lines of one thread. The rate limit uses the time of that
/// thread's clock.
pub struct Journal {
    /// The writer that all threads share.
    pub writer: Writer,
    /// The clock of the thread.
    pub clock: Box<dyn Clock + Send>,
}

impl border::Journal for Journal {
    fn write(&mut self, line: &Line) {
        self.writer.write(line, self.clock.now());
    }
}
