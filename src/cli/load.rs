//! `load`: sends queries at a steady rate and reports what came back.

use std::net::SocketAddr;

use argh::FromArgs;
use laburnum_core::name::Name;

use super::{
    failure::{Failure, Outcome},
    value,
};

/// Send searches at a steady rate and print latency, coverage and refusals.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} --entry 127.0.0.1:8080 --profile renewal --rate 100 --seconds 10"
)]
pub struct Load {
    /// where a VM listens for callers; may be given more than once
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// the profile of the searches
    #[argh(option, from_str_fn(value::name))]
    pub profile: Name,
    /// the searches a second
    #[argh(option, default = "100")]
    pub rate: u32,
    /// the length of the run in seconds
    #[argh(option, default = "10")]
    pub seconds: u32,
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
pub fn run(_command: &Load) -> Outcome {
    Err(Failure::absent("load"))
}
