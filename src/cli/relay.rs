//! `relay`: runs one VM that forwards requests by route.

use std::{io, path::PathBuf};

use argh::FromArgs;
use error_stack::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use super::{
    entry::signal_failure,
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

/// Reads the settings again. If they are invalid, perhaps because the file is
/// being written, the VM keeps those in force.
fn reload(relay: &relay::Relay, command: &Relay) {
    match value::relay(command.settings.as_deref()) {
        Ok(settings) => relay.reload(settings),
        Err(report) => relay.log_unreadable_settings(report.current_context().to_string()),
    }
}

/// Runs `relay`. The VM reads its settings again on SIGHUP and shuts down on
/// SIGTERM or SIGINT.
pub fn run(command: &Relay) -> Outcome {
    let settings = value::relay(command.settings.as_deref())?;
    let runtime = value::runtime()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).change_context_lazy(signal_failure)?;
        let mut interrupt = signal(SignalKind::interrupt()).change_context_lazy(signal_failure)?;
        let mut hangup = signal(SignalKind::hangup()).change_context_lazy(signal_failure)?;
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
                () = relay.failed() => {
                    let hint = "start the VM again; the lines before the last one say why";
                    return Err(Failure::report(Exit::Failed, "a thread of the VM ended", hint));
                }
            }
        }
        if relay.shut_down().await {
            return Ok(());
        }
        let hint = "raise shutdown.limit_ms above the longest timeout of a route";
        Err(Failure::report(Exit::Failed, "requests were still open at the limit", hint))
    })
}
