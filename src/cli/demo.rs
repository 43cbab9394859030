//! `demo`: runs a whole deployment in one process.

use argh::FromArgs;
use error_stack::ResultExt;

use super::{
    exit::Exit,
    failure::{Failure, Outcome},
    output, value,
};
use crate::local::demo;

/// Run a platform, three VMs and their targets in this process, send searches
/// and one clearance, and print what came of them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo", example = "{command_name}")]
pub struct Demo {}

/// Runs `demo`. It fails if a finding does not hold.
pub fn run(_command: &Demo) -> Outcome {
    let findings = value::runtime()?
        .block_on(demo::run(&output::line))
        .change_context_lazy(|| failure("the demo did not run to its end".to_owned()))?;
    let failed = findings.iter().filter(|finding| !finding.held).count();
    if failed > 0 {
        return Err(error_stack::Report::new(failure(format!("{failed} findings did not hold"))));
    }
    output::line(&format!("all {} findings held", findings.len()));
    Ok(())
}

fn failure(detail: String) -> Failure {
    Failure { exit: Exit::Failed, detail, hint: String::new() }
}
