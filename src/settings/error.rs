//! The errors of a settings or profiles file, collected so that all are
//! reported at once.

use std::{fmt, sync::Arc};

/// One error of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Error {
    /// The file as it was named on the command line.
    pub file: Arc<str>,
    /// The line, counted from one. Zero means the whole file.
    pub line: usize,
    /// The full key, such as `callers.body_limit_bytes`. It is empty for a
    /// syntax error and for a file that cannot be read.
    pub key: String,
    /// What was found and what is allowed.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: ", self.file)?,
            line => write!(f, "{}:{line}: ", self.file)?,
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.detail)
    }
}

/// All errors of a file in the order of their lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors(pub Vec<Error>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}
