//! Settings of one VM: reads a TOML file into checked types.
//!
//! A file is read key by key and every error in it is reported at once. Names,
//! addresses and the deployment's key have no default. `deploy/` holds a
//! complete file for each deployment.

pub mod error;
pub mod size;
pub mod document;
pub mod section;
pub mod identity;
pub mod traffic;
pub mod control;
pub mod memory;
pub mod profiles;
pub mod relay;
mod check;

use std::{fs, path::Path};

use self::{
    control::{Claims, Log, Membership, Quarantine, Shutdown},
    document::Document,
    error::{Error, Errors},
    identity::{Deployment, Listen, Operators, Platform, Vm},
    memory::Memory,
    traffic::{Callers, Peers, Retry, Targets},
};

/// The checked settings of one VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The identity of the VM.
    pub vm: Vm,
    /// The addresses on which the VM listens.
    pub listen: Listen,
    /// The platform's service.
    pub platform: Platform,
    /// The key that the VMs of one deployment share.
    pub deployment: Deployment,
    /// The tokens of operators.
    pub operators: Operators,
    /// Limits on callers.
    pub callers: Callers,
    /// Connections to targets and the probes of their status.
    pub targets: Targets,
    /// Connections between VMs.
    pub peers: Peers,
    /// How VMs learn of each other.
    pub membership: Membership,
    /// How operations are claimed.
    pub claims: Claims,
    /// The budget for retries and hedges.
    pub retry: Retry,
    /// How requests that crash targets are held back.
    pub quarantine: Quarantine,
    /// The memory that is filled for others.
    pub memory: Memory,
    /// How the VM shuts down.
    pub shutdown: Shutdown,
    /// The format, level and limits of the log.
    pub log: Log,
}

/// The text of a settings file with the path of the file.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The path that errors name. Paths in the text are relative to its folder.
    pub file: &'a Path,
    pub text: &'a str,
}

impl Settings {
    /// Reads and checks the settings in `file`.
    pub fn load(file: &Path) -> Result<Settings, Errors> {
        let text = read(file)?;
        Settings::try_from(Source { file, text: &text })
    }
}

/// Reads the text of `file`.
pub fn read(file: &Path) -> Result<String, Errors> {
    fs::read_to_string(file).map_err(|e| {
        let name = file.display().to_string();
        let detail = format!("the file cannot be read: {e}");
        Errors(vec![Error { file: name.into(), line: 0, key: String::new(), detail }])
    })
}

impl TryFrom<Source<'_>> for Settings {
    type Error = Errors;

    fn try_from(source: Source<'_>) -> Result<Settings, Errors> {
        let name = source.file.display().to_string();
        let mut document = Document::new(&name, source.text);
        let settings = settings(&mut document, source.file);
        if let Some(settings) = &settings {
            check::report_conflicts(settings, &mut document);
        }
        document.finish()?;
        // A section is absent only after an error was reported for it.
        settings.ok_or_else(|| Errors(Vec::new()))
    }
}

fn settings(document: &mut Document<'_>, file: &Path) -> Option<Settings> {
    let vm = Vm::read(document);
    let listen = Listen::read(document);
    let platform = Platform::read(document);
    let deployment = Deployment::read(document, file);
    let operators = Operators::read(document);
    let callers = Callers::read(document);
    let targets = Targets::read(document);
    let peers = Peers::read(document);
    let membership = Membership::read(document);
    let claims = Claims::read(document);
    let retry = Retry::read(document);
    let quarantine = Quarantine::read(document);
    let memory = Memory::read(document);
    let shutdown = Shutdown::read(document);
    let log = Log::read(document);
    Some(Settings {
        vm: vm?,
        listen: listen?,
        platform: platform?,
        deployment: deployment?,
        operators,
        callers,
        targets,
        peers,
        membership,
        claims,
        retry,
        quarantine,
        memory,
        shutdown,
        log,
    })
}
