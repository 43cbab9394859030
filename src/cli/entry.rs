//! `entry`: runs one VM.

use std::path::PathBuf;

use argh::FromArgs;

use super::{
    failure::{Failure, Outcome},
    value,
};

/// Run one entry VM until it is told to shut down.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "entry", example = "{command_name} --settings deploy/umgeni.toml")]
pub struct Entry {
    /// the settings of the VM
    #[argh(option)]
    pub settings: PathBuf,
}

/// Runs the command.
pub fn run(command: &Entry) -> Outcome {
    value::settings(&command.settings)?;
    Err(Failure::absent("entry"))
}
