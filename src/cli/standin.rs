//! `stand-in`: runs a small stand-in for the platform or for a target.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

use argh::FromArgs;
use error_stack::Report;
use serde::de::DeserializeOwned;

use super::{
    exit::Exit,
    failure::{Failure, Outcome},
    value,
};
use crate::standin;

/// Run a stand-in for the platform or for a target, for tests and trials.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "stand-in")]
pub struct Standin {
    #[argh(subcommand)]
    pub part: Part,
}

/// The system that the stand-in replaces.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Part {
    /// The store and the list of VMs and targets that the users' platform has.
    Platform(Platform),
    /// One target, which serves a range of an index.
    Target(Target),
}

/// Run a stand-in for the platform's key-value service and list.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform", example = "{command_name} --listen 127.0.0.1:2379")]
pub struct Platform {
    /// where it listens
    #[argh(option)]
    pub listen: SocketAddr,
    /// a TOML file of the VMs and targets that are listed from the start
    #[argh(option)]
    pub list: Option<PathBuf>,
}

/// Run a stand-in for one target.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "target",
    example = "{command_name} --listen 127.0.0.1:9001 --admin 127.0.0.1:9101 --settings target.toml"
)]
pub struct Target {
    /// where it listens for VMs
    #[argh(option)]
    pub listen: SocketAddr,
    /// where its faults are switched and its counts are read
    #[argh(option)]
    pub admin: SocketAddr,
    /// a TOML file of what it holds and how fast it is
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

/// Runs `stand-in` until it fails; it has no other end.
pub fn run(command: &Standin) -> Outcome {
    match &command.part {
        Part::Platform(platform) => run_platform(platform),
        Part::Target(target) => run_target(target),
    }
}

fn run_platform(command: &Platform) -> Outcome {
    let list: standin::platform::List = read(command.list.as_deref())?;
    let listener = listen(command.listen)?;
    let ended = value::runtime()?.block_on(standin::platform::serve(listener, list));
    Err(Failure::report(Exit::Failed, format!("the stand-in ended: {ended:?}"), ""))
}

fn run_target(command: &Target) -> Outcome {
    let raw: standin::target::settings::Raw = read(command.settings.as_deref())?;
    let settings = standin::target::Settings::try_from(raw)
        .map_err(|e| Failure::report(Exit::Invalid, e.to_string(), "correct the file"))?;
    let traffic = listen(command.listen)?;
    let admin = listen(command.admin)?;
    let ended = value::runtime()?.block_on(standin::target::serve(settings, traffic, admin));
    Err(Failure::report(Exit::Failed, format!("the stand-in ended: {ended:?}"), ""))
}

/// Reads a TOML file, or the defaults where no file is given.
fn read<T: DeserializeOwned>(file: Option<&Path>) -> Result<T, Report<Failure>> {
    let text = match file {
        Some(file) => fs::read_to_string(file).map_err(|e| invalid(file, &e.to_string()))?,
        None => String::new(),
    };
    let name = file.unwrap_or(Path::new("defaults"));
    toml::from_str(&text).map_err(|e| invalid(name, &e.to_string()))
}

fn invalid(file: &Path, detail: &str) -> Report<Failure> {
    Failure::report(Exit::Invalid, format!("{}: {detail}", file.display()), "correct the file")
}

fn listen(address: SocketAddr) -> Result<TcpListener, Report<Failure>> {
    TcpListener::bind(address).map_err(|e| {
        let hint = "see whether another process listens there";
        Failure::report(Exit::Failed, format!("cannot listen on {address}: {e}"), hint)
    })
}
