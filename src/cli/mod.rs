//! The command line: parses the arguments into one struct and runs the command
//! that they name.

pub mod answer;
pub mod exit;
pub mod failure;
pub mod check;
pub mod demo;
pub mod entry;
pub mod list;
pub mod load;
pub mod operator;
pub mod output;
pub mod profile;
pub mod query;
pub mod relay;
pub mod slope;
pub mod standin;
pub mod value;

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

use self::{
    exit::Exit,
    failure::{Failure, Outcome},
};

/// The name of the binary as usage texts show it.
const BINARY: &str = "laburnumworks";

/// Query tier over many shards: searches and operations from callers, through
/// small VMs, to targets.
#[derive(FromArgs, Debug)]
#[argh(
    example = "See it run on this machine:\n  {command_name} demo",
    example = "Check the settings of a VM and run it:\n  {command_name} check --settings vm.toml\n  {command_name} entry --settings vm.toml",
    note = "Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 invalid file, 4 refused,\n5 unreachable, 6 may have run. docs/OPERATING.md says more."
)]
struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    version: bool,

    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Entry(entry::Entry),
    Relay(relay::Relay),
    Check(check::Check),
    Profile(profile::Profile),
    Target(list::Target),
    Vm(list::Vm),
    Query(query::Query),
    Load(load::Load),
    Standin(standin::Standin),
    Demo(demo::Demo),
    Slope(slope::Arguments),
}

/// Runs the command that the arguments of the process name.
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match Arguments::from_args(&[BINARY], &arguments) {
        Ok(arguments) => finish(dispatch(arguments)),
        Err(early) => exit_early(&early).into(),
    }
}

/// Prints the requested help, or the error in the arguments.
fn exit_early(early: &EarlyExit) -> Exit {
    if early.status.is_ok() {
        output::line(&early.output);
        return Exit::Done;
    }
    eprintln!("error: {}\nhint: {BINARY} --help lists the commands", early.output.trim_end());
    Exit::Usage
}

/// Prints the failure, if any, and returns the exit code.
fn finish(outcome: Outcome) -> ExitCode {
    match outcome {
        Ok(()) => Exit::Done.into(),
        Err(report) => {
            failure::print(&report);
            report.current_context().exit.into()
        }
    }
}

fn dispatch(arguments: Arguments) -> Outcome {
    if arguments.version {
        output::line(&format!("{BINARY} {}", env!("CARGO_PKG_VERSION")));
        return Ok(());
    }
    match arguments.command {
        Some(Command::Entry(command)) => entry::run(&command),
        Some(Command::Relay(command)) => relay::run(&command),
        Some(Command::Check(command)) => check::run(&command),
        Some(Command::Profile(command)) => profile::run(&command),
        Some(Command::Target(command)) => list::targets(&command),
        Some(Command::Vm(command)) => list::vms(&command),
        Some(Command::Query(command)) => query::run(&command),
        Some(Command::Load(command)) => load::run(&command),
        Some(Command::Standin(command)) => standin::run(&command),
        Some(Command::Demo(command)) => demo::run(&command),
        Some(Command::Slope(command)) => slope::run(&command),
        None => Err(Failure::report(
            Exit::Usage,
            "no command was given",
            format!("{BINARY} --help lists the commands"),
        )),
    }
}
