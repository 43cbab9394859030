//! `profile`: publishes profiles and shows what is in force.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;

use super::{
    failure::{Failure, Outcome},
    value,
};

/// Publish profiles and see which are in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "profile")]
pub struct Profile {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Action {
    Publish(Publish),
    Show(Show),
    Diff(Diff),
    History(History),
    Status(Status),
}

/// Publish the profiles of a file as a new revision.
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
    /// print the result as JSON
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
    /// print the result as JSON
    #[argh(switch)]
    pub json: bool,
}

macro_rules! readings {
    ($($(#[$doc:meta])* $reading:ident $name:tt;)*) => {
        $(
            $(#[$doc])*
            #[derive(FromArgs, Debug)]
            #[argh(
                subcommand,
                name = $name,
                example = "{command_name} --operator 127.0.0.1:8081 --token-file token"
            )]
            pub struct $reading {
                /// where a VM listens for operators
                #[argh(option)]
                pub operator: SocketAddr,
                /// the file that holds the token
                #[argh(option)]
                pub token_file: PathBuf,
                /// print the result as JSON
                #[argh(switch)]
                pub json: bool,
            }
        )*
    };
}

readings! {
    /// Show the profiles in force.
    Show "show";
    /// Show who published which revision when, and what changed.
    History "history";
    /// Show on how many VMs a revision is in force and which are silent.
    Status "status";
}

/// Runs the command.
pub fn run(command: &Profile) -> Outcome {
    match &command.action {
        Action::Publish(publish) => {
            value::token(&publish.token_file)?;
            value::profiles(&publish.file)?;
            Err(Failure::absent("profile publish"))
        }
        Action::Diff(diff) => {
            value::token(&diff.token_file)?;
            value::profiles(&diff.file)?;
            Err(Failure::absent("profile diff"))
        }
        Action::Show(show) => reading("profile show", &show.token_file),
        Action::History(history) => reading("profile history", &history.token_file),
        Action::Status(status) => reading("profile status", &status.token_file),
    }
}

fn reading(command: &str, token_file: &std::path::Path) -> Outcome {
    value::token(token_file)?;
    Err(Failure::absent(command))
}
