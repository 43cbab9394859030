//! `relay`: runs one VM that forwards requests by route.

use std::{io, path::PathBuf};

use argh::FromArgs;
use error_stack::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use super::{
    entry::no_signals,
    exit::Exit,
    failure::{Failure, Outcome},
    value,
};
use crate::relay;

/// Run one VM that forwards requests by the routes in the platform's store.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "relay", example = "{command_name} --settings relay.toml")]
pub struct Relay {
    /// the settings of the VM; without it, the file that the environment
    /// variable LABURNUMWORKS_CONFIG names
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

/// Reads the settings again, which may be changing just now.
fn reload(relay: &relay::Relay, command: &Relay) {
    match value::relay(command.settings.as_deref()) {
        Ok(settings) => relay.reload(settings),
        Err(report) => relay.log_unreadable_settings(report.current_context().to_string()),
    }
}

/// Runs the command.
pub fn run(command: &Relay) -> Outcome {
    let settings = value::relay(command.settings.as_deref())?;
    let runtime = value::runtime()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).change_context_lazy(no_signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).change_context_lazy(no_signals)?;
        let mut hangup = signal(SignalKind::hangup()).change_context_lazy(no_signals)?;
        let relay = relay::start(settings, Box::new(io::stdout())).map_err(|report| {
            let detail = report.current_context().to_string();
            let hint = "see whether another process listens there";
            report.change_context(Failure { exit: Exit::Failed, detail, hint: hint.to_owned() })
        })?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => reload(&relay, command),
            }
        }
        if relay.shut_down().await {
            return Ok(());
        }
        let hint = "raise shutdown.limit_ms above the longest timeout of a route";
        Err(Failure::report(Exit::Failed, "requests were still open at the limit", hint))
    })
}
