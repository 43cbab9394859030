//! The failure of a command, with its exit code, and how it is printed.

use std::fmt;

use error_stack::Report;

use super::exit::Exit;

/// The result of a command.
pub type Outcome = Result<(), Report<Failure>>;

/// The failure of a command: its exit code, what went wrong and what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    pub exit: Exit,
    /// What went wrong, with the name of the invalid input.
    pub detail: String,
    /// What to do next. It is empty where the detail already says so.
    pub hint: String,
}

impl Failure {
    /// Makes a report of a failure without a cause.
    pub fn report(
        exit: Exit,
        detail: impl Into<String>,
        hint: impl Into<String>,
    ) -> Report<Failure> {
        Report::new(Failure { exit, detail: detail.into(), hint: hint.into() })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Failure {}

/// Writes the failure, its causes and its hint to the standard error.
pub fn print(report: &Report<Failure>) {
    let failure = report.current_context();
    eprintln!("error: {failure}");
    for cause in report.frames().skip(1).filter_map(|frame| frame.downcast_ref::<Cause>()) {
        eprintln!("  because: {}", cause.0);
    }
    if !failure.hint.is_empty() {
        eprintln!("hint: {}", failure.hint);
    }
}

/// The text of a library error that caused a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cause(pub String);

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Cause {}
