//! The standard output.

use std::io::{Write, stdout};

/// Writes a line to the standard output. A reader that went away, such as
/// `head`, is no error.
pub fn line(text: &str) {
    let mut out = stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}
