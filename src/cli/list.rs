//! `target list` and `vm list`: states, since when and who said so.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

use super::{
    failure::{Failure, Outcome},
    value,
};

/// Show what a VM knows of the targets.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "target")]
pub struct Target {
    #[argh(subcommand)]
    list: List,
}

/// Show what a VM knows of the VMs.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "vm")]
pub struct Vm {
    #[argh(subcommand)]
    list: List,
}

/// List the state of each, since when, and who said so.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "list",
    example = "{command_name} --operator 127.0.0.1:8081 --token-file token"
)]
pub struct List {
    /// where a VM listens for operators
    #[argh(option)]
    pub operator: SocketAddr,
    /// the file that holds the token
    #[argh(option)]
    pub token_file: PathBuf,
    /// print the list as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs `target list`.
pub fn targets(command: &Target) -> Outcome {
    value::token(&command.list.token_file)?;
    Err(Failure::absent("target list"))
}

/// Runs `vm list`.
pub fn vms(command: &Vm) -> Outcome {
    value::token(&command.list.token_file)?;
    Err(Failure::absent("vm list"))
}
