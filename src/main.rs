//! The command line of laburnumworks.

use std::process::ExitCode;

fn main() -> ExitCode {
    laburnumworks::cli::run()
}
