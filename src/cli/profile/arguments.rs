//! The arguments of `profile`.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use error_stack::Report;
use laburnum_core::control::request::Token;

use super::publication;
use crate::cli::{failure::Failure, operator::Operator};

/// Publish profiles and see which are in force.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "profile",
    example = "{command_name} show --operator 127.0.0.1:8081 --token-file token"
)]
pub struct Profile {
    #[argh(subcommand)]
    pub(super) action: Action,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(super) enum Action {
    Publish(Publish),
    Show(Show),
    Diff(Diff),
    History(History),
    Status(Status),
    Rollback(Rollback),
    Settle(Settle),
}

/// Publish the profiles of a file as a new revision, in place of those in force.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "publish",
    example = "{command_name} deploy/umgeni-profiles.toml --expect 4 --operator 127.0.0.1:8081 --token-file token"
)]
pub struct Publish {
    /// the profiles
    #[argh(positional)]
    pub file: PathBuf,
    /// publish only if this revision is in force
    #[argh(option)]
    pub expect: Option<u64>,
    /// check and compare only, publish nothing
    #[argh(switch)]
    pub dry_run: bool,
    /// where a VM listens for operators
    #[argh(option)]
    pub operator: SocketAddr,
    /// the file that holds the token
    #[argh(option)]
    pub token_file: PathBuf,
    /// print the answer of the VM as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Compare the profiles of a file with those in force.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} deploy/umgeni-profiles.toml --operator 127.0.0.1:8081 --token-file token"
)]
pub struct Diff {
    /// the profiles
    #[argh(positional)]
    pub file: PathBuf,
    /// where a VM listens for operators
    #[argh(option)]
    pub operator: SocketAddr,
    /// the file that holds the token
    #[argh(option)]
    pub token_file: PathBuf,
    /// print the answer of the VM as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Publish the profiles of an earlier revision as a new one.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "rollback",
    example = "{command_name} --to 3 --operator 127.0.0.1:8081 --token-file token"
)]
pub struct Rollback {
    /// the revision whose profiles are published again
    #[argh(option)]
    pub to: u64,
    /// publish only if this revision is in force
    #[argh(option)]
    pub expect: Option<u64>,
    /// where a VM listens for operators
    #[argh(option)]
    pub operator: SocketAddr,
    /// the file that holds the token
    #[argh(option)]
    pub token_file: PathBuf,
    /// print the answer of the VM as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Find out whether a publication took effect that had no known outcome.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "settle",
    example = "{command_name} 4:5:0193a1c0-0000-7000-8000-000000000001 --operator 127.0.0.1:8081 --token-file token"
)]
pub struct Settle {
    /// the token that the publication ended with
    #[argh(positional, from_str_fn(publication::token))]
    pub token: Token,
    /// where a VM listens for operators
    #[argh(option)]
    pub operator: SocketAddr,
    /// the file that holds the token
    #[argh(option)]
    pub token_file: PathBuf,
    /// print the answer of the VM as JSON
    #[argh(switch)]
    pub json: bool,
}

macro_rules! read_commands {
    ($($(#[$doc:meta])* $command:ident $name:tt;)*) => {
        $(
            $(#[$doc])*
            #[derive(FromArgs, Debug)]
            #[argh(
                subcommand,
                name = $name,
                example = "{command_name} --operator 127.0.0.1:8081 --token-file token"
            )]
            pub struct $command {
                /// where a VM listens for operators
                #[argh(option)]
                pub operator: SocketAddr,
                /// the file that holds the token
                #[argh(option)]
                pub token_file: PathBuf,
                /// print the answer of the VM as JSON
                #[argh(switch)]
                pub json: bool,
            }
        )*
    };
}

read_commands! {
    /// Show the profiles in force, as a file that can be published.
    Show "show";
    /// Show who published which revision when, and what changed.
    History "history";
    /// Show on how many VMs a revision is in force and which are silent.
    Status "status";
}

macro_rules! operator_clients {
    ($($command:ident)*) => {
        $(
            impl $command {
                /// Makes the client that the arguments describe.
                pub(super) fn operator(&self) -> Result<Operator, Report<Failure>> {
                    Operator::new(self.operator, &self.token_file, self.json)
                }
            }
        )*
    };
}

operator_clients! { Publish Diff Rollback Settle Show History Status }
