//! `entry`: runs one VM until it is told to shut down.

use std::{io, path::PathBuf};

use argh::FromArgs;
use error_stack::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use super::{
    exit::Exit,
    failure::{Failure, Outcome},
    value,
};
use crate::vm;

/// Run one entry VM until it is told to shut down.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "entry", example = "{command_name} --settings deploy/umgeni.toml")]
pub struct Entry {
    /// the settings of the VM
    #[argh(option)]
    pub settings: PathBuf,
}

/// Runs `entry`. The VM shuts down on SIGTERM or SIGINT, and the command fails
/// if requests are still open at the limit.
pub fn run(command: &Entry) -> Outcome {
    let settings = value::settings(&command.settings)?;
    let runtime = value::runtime()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).change_context_lazy(signal_failure)?;
        let mut interrupt = signal(SignalKind::interrupt()).change_context_lazy(signal_failure)?;
        let vm = vm::start(settings, Box::new(io::stderr())).map_err(|report| {
            let detail = report.current_context().to_string();
            let hint = "see whether another process listens there";
            report.change_context(Failure { exit: Exit::Failed, detail, hint: hint.to_owned() })
        })?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if vm.leave().await {
            return Ok(());
        }
        let hint = "raise shutdown.limit_ms above the longest deadline of a profile";
        Err(Failure::report(Exit::Failed, "requests were still open at the limit", hint))
    })
}

/// The failure to install a signal handler.
pub fn signal_failure() -> Failure {
    let detail = "signals cannot be received".to_owned();
    Failure { exit: Exit::Failed, detail, hint: String::new() }
}
