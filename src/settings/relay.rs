//! Settings of a VM that forwards requests by route.

use std::{net::SocketAddr, path::Path, time::Duration};

use laburnum_core::name::Name;

use super::{
    Source,
    control::Log,
    document::Document,
    error::Errors,
    read,
    section::up_to,
    size::{KIB, MIB},
};

/// The default of [`Callers::idle_timeout`]: above what the routes allow callers.
const IDLE: Duration = Duration::from_secs(75);
/// The default of [`Callers::header_read_timeout`].
const HEAD_TIME: Duration = Duration::from_secs(5);
/// The default of [`Callers::body_read_timeout`].
const BODY_TIME: Duration = Duration::from_secs(5);
/// The default of [`Shutdown::announce`]: two probes of the balancer a second
/// apart, and the time for the second to be missed.
const ANNOUNCE: Duration = Duration::from_millis(2500);

/// The checked settings of a VM that forwards requests by route.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Which VM this is.
    pub vm: Vm,
    /// Where it listens.
    pub listen: Listen,
    /// The store of the platform.
    pub store: SocketAddr,
    /// Limits on callers.
    pub callers: Callers,
    /// What retries and hedges may cost all VMs together.
    pub retry: Retry,
    /// How the VM shuts down.
    pub shutdown: Shutdown,
    /// How the log is written.
    pub log: Log,
}

/// Which VM this is.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its processor time in thousandths of a core.
    pub millicores: u32,
}

/// Where the VM listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's probes.
    pub ready: SocketAddr,
    /// For the collector of metrics.
    pub metrics: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

/// Limits on callers. Those on sizes and times hold until a configuration is
/// known, which has its own; the time for a body holds always.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// The connections that are open at a time.
    pub open_connections: u32,
    /// The largest head of a request in bytes.
    pub header_limit_bytes: u64,
    /// The largest body of a request in bytes.
    pub body_limit_bytes: u64,
    /// The time for a head to arrive.
    pub header_read_timeout: Duration,
    /// The time for a body to arrive.
    pub body_read_timeout: Duration,
    /// The time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// What retries and hedges may cost all VMs together.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// The extra attempts for each first one.
    pub ratio: f64,
    /// The extra attempts in a window beyond these.
    pub slack: f64,
    /// The window.
    pub window: Duration,
    /// The VMs that share the slack and the connections of targets, while their
    /// number is not known.
    pub vms: u32,
}

/// How the VM shuts down.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// The time in which the balancer learns that the VM leaves.
    pub announce: Duration,
    /// The time after which the VM ends with requests open.
    pub limit: Duration,
}

impl Settings {
    /// Reads and checks the settings in `file`.
    pub fn load(file: &Path) -> Result<Settings, Errors> {
        let text = read(file)?;
        Settings::try_from(Source { file, text: &text })
    }
}

impl TryFrom<Source<'_>> for Settings {
    type Error = Errors;

    fn try_from(source: Source<'_>) -> Result<Settings, Errors> {
        let name = source.file.display().to_string();
        let mut document = Document::new(&name, source.text);
        let settings = settings(&mut document);
        document.finish()?;
        // A section is absent only after an error was reported for it.
        settings.ok_or_else(|| Errors(Vec::new()))
    }
}

fn settings(document: &mut Document<'_>) -> Option<Settings> {
    let vm = vm(document);
    let listen = listen(document);
    let store = store(document);
    let callers = callers(document);
    let retry = retry(document);
    let shutdown = shutdown(document);
    let log = Log::read(document);
    let (vm, listen, store) = (vm?, listen?, store?);
    Some(Settings { vm, listen, store, callers, retry: retry?, shutdown, log })
}

fn vm(document: &mut Document<'_>) -> Option<Vm> {
    let mut section = document.section("vm");
    let (name, domain) = (section.name("name"), section.name("domain"));
    let cores = section.value::<f64>("cores", "a number of cores");
    section.finish();
    Some(Vm { name: name?, domain: domain?, millicores: thousandths(cores?) })
}

/// Counts cores in thousandths, at least one.
fn thousandths(cores: f64) -> u32 {
    // Above 4 million cores it does not matter how many.
    (cores * 1000.0).clamp(1.0, f64::from(u32::MAX)) as u32
}

fn listen(document: &mut Document<'_>) -> Option<Listen> {
    let mut section = document.section("listen");
    let callers = section.address("callers");
    let ready = section.address("ready");
    let metrics = section.address("metrics");
    let peers = section.address("peers");
    section.finish();
    Some(Listen { callers: callers?, ready: ready?, metrics: metrics?, peers: peers? })
}

fn store(document: &mut Document<'_>) -> Option<SocketAddr> {
    let mut section = document.section("store");
    let address = section.address("address");
    section.finish();
    address
}

fn callers(document: &mut Document<'_>) -> Callers {
    let mut section = document.section("callers");
    let callers = Callers {
        open_connections: section.count("open_connections", 512, 1..=1_000_000),
        header_limit_bytes: section.size("header_limit_bytes", 32 * KIB, KIB..=MIB),
        body_limit_bytes: section.size("body_limit_bytes", MIB, KIB..=64 * MIB),
        header_read_timeout: section.millis("header_read_ms", HEAD_TIME, up_to(600)),
        body_read_timeout: section.millis("body_read_ms", BODY_TIME, up_to(600)),
        idle_timeout: section.millis("idle_ms", IDLE, up_to(3600)),
    };
    section.finish();
    callers
}

fn retry(document: &mut Document<'_>) -> Option<Retry> {
    let mut section = document.section("retry");
    let ratio = section.value::<f64>("ratio", "a number");
    let slack = section.value::<f64>("slack", "a number");
    let window = section.value::<f64>("window_s", "a number of seconds");
    let vms = section.count("vms", 32, 1..=100_000);
    section.finish();
    let window = Duration::try_from_secs_f64(window?).ok()?;
    Some(Retry { ratio: ratio?, slack: slack?, window, vms })
}

fn shutdown(document: &mut Document<'_>) -> Shutdown {
    let mut section = document.section("shutdown");
    let shutdown = Shutdown {
        announce: section.millis("announce_ms", ANNOUNCE, up_to(600)),
        limit: section.millis("limit_ms", Duration::from_millis(5500), up_to(600)),
    };
    section.finish();
    shutdown
}
