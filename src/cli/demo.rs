//! `demo`: a whole deployment in one process.

use argh::FromArgs;

use super::failure::{Failure, Outcome};

/// Run a platform, three VMs and their targets in this process, send searches
/// and one clearance, and print what came of them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo", example = "{command_name}")]
pub struct Demo {}

/// Runs the command.
pub fn run(_command: &Demo) -> Outcome {
    Err(Failure::absent("demo"))
}
