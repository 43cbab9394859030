//! `stand-in`: small stand-ins for the platform and the targets.

use std::net::SocketAddr;

use argh::FromArgs;
use laburnum_core::name::Name;

use super::{
    failure::{Failure, Outcome},
    value,
};

/// Run a stand-in for the platform or for a target, for tests and trials.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "stand-in")]
pub struct Standin {
    #[argh(subcommand)]
    pub part: Part,
}

/// What the stand-in takes the place of.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Part {
    /// The platform.
    Platform(Platform),
    /// One target.
    Target(Target),
}

/// Run a stand-in for the platform's key-value service and list.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform", example = "{command_name} --listen 127.0.0.1:2379")]
pub struct Platform {
    /// where it listens
    #[argh(option)]
    pub listen: SocketAddr,
}

/// Run a stand-in for one target.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "target",
    example = "{command_name} --listen 127.0.0.1:9001 --name licences-0-a --index licences --shard s0 --domain gauteng-1"
)]
pub struct Target {
    /// where it listens
    #[argh(option)]
    pub listen: SocketAddr,
    /// the name of the replica
    #[argh(option, from_str_fn(value::name))]
    pub name: Name,
    /// the index that it holds a part of
    #[argh(option, from_str_fn(value::name))]
    pub index: Name,
    /// the shard that it is a replica of
    #[argh(option, from_str_fn(value::name))]
    pub shard: Name,
    /// the failure domain that it runs in
    #[argh(option, from_str_fn(value::name))]
    pub domain: Name,
    /// the requests that it runs at a time
    #[argh(option, default = "2")]
    pub slots: u32,
    /// the connections that it takes
    #[argh(option, default = "55")]
    pub connections: u32,
}

/// Runs the command.
pub fn run(command: &Standin) -> Outcome {
    match &command.part {
        Part::Platform(_) => Err(Failure::absent("stand-in platform")),
        Part::Target(_) => Err(Failure::absent("stand-in target")),
    }
}
