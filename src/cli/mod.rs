//! The command line: flags to one checked struct, then one function for each command.

use std::process::ExitCode;

/// Runs the command that the arguments of the process name.
pub fn run() -> ExitCode {
    ExitCode::SUCCESS
}
