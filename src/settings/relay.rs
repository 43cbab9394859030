//! Settings of a relay, a VM that forwards requests by route.

use std::{net::SocketAddr, path::Path, time::Duration};

use laburnum_core::name::Name;

use super::{
    Source,
    control::Log,
    document::Document,
    error::Errors,
    memory::Memory,
    read,
    section::up_to_secs,
    size::{KIB, MIB},
};

/// The default of [`Callers::idle_timeout`], longer than the idle time that
/// routes allow callers.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// The default of [`Callers::header_read_timeout`].
const DEFAULT_HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The default of [`Callers::body_read_timeout`].
const DEFAULT_BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The default of [`Shutdown::announce`]: time for two probes of the balancer,
/// one second apart, and for the second one to fail.
const DEFAULT_SHUTDOWN_ANNOUNCE: Duration = Duration::from_millis(2500);

/// The checked settings of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The identity and size of the VM.
    pub vm: Vm,
    /// The addresses on which the VM listens.
    pub listen: Listen,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Limits on callers.
    pub callers: Callers,
    /// The budget for retries and hedges of all VMs together.
    pub retry: Retry,
    /// The memory that is filled for others.
    pub memory: Memory,
    /// How the VM shuts down.
    pub shutdown: Shutdown,
    /// The format, level and limits of the log.
    pub log: Log,
}

/// The identity and size of a VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// The name, unique in the deployment.
    pub name: Name,
    /// The failure domain in which the VM runs.
    pub domain: Name,
    /// The processor time of the VM in thousandths of a core.
    pub millicores: u32,
}

/// The addresses on which the VM listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for the readiness probes of the balancer.
    pub ready: SocketAddr,
    /// HTTP for the collector of metrics.
    pub metrics: SocketAddr,
    /// Datagrams from other VMs.
    pub peers: SocketAddr,
}

/// Limits on callers. Those on sizes and times apply until the VM has read a
/// configuration, which has its own; `body_read_timeout` applies after that
/// too.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// The most connections that may be open at a time.
    pub open_connections: u32,
    /// The largest total size of the headers of a request in bytes.
    pub header_limit_bytes: u64,
    /// The largest request body in bytes.
    pub body_limit_bytes: u64,
    /// The time within which all headers of a request must arrive.
    pub header_read_timeout: Duration,
    /// The time within which the whole body of a request must arrive.
    pub body_read_timeout: Duration,
    /// The time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

/// The budget for retries and hedges of all VMs together.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// The extra attempts allowed for each first attempt.
    pub ratio: f64,
    /// The extra attempts allowed in each window beyond those of `ratio`.
    pub slack: f64,
    /// The window over which attempts are counted.
    pub window: Duration,
    /// The assumed number of VMs that share `slack` and the connections of
    /// targets, until the actual number is known.
    pub vms: u32,
}

/// How the VM shuts down.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// The time for which the VM reports that it is not ready and still takes
    /// requests, so that the balancer can stop sending to it.
    pub announce: Duration,
    /// The time after which the VM exits even if requests are open.
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
    let memory = Memory::read(document);
    let shutdown = shutdown(document);
    let log = Log::read(document);
    let (vm, listen, store) = (vm?, listen?, store?);
    Some(Settings { vm, listen, store, callers, retry: retry?, memory, shutdown, log })
}

fn vm(document: &mut Document<'_>) -> Option<Vm> {
    let mut section = document.section("vm");
    let (name, domain) = (section.name("name"), section.name("domain"));
    let cores = section.value::<f64>("cores", "a number of cores");
    section.finish();
    Some(Vm { name: name?, domain: domain?, millicores: millicores(cores?) })
}

/// Converts cores to thousandths of a core, at least one.
fn millicores(cores: f64) -> u32 {
    // The upper bound only keeps the conversion in range; it is 4 million
    // cores.
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
        body_limit_bytes: section.size("body_limit_bytes", 16 * MIB, KIB..=64 * MIB),
        header_read_timeout: section.millis(
            "header_read_ms",
            DEFAULT_HEADER_READ_TIMEOUT,
            up_to_secs(600),
        ),
        body_read_timeout: section.millis(
            "body_read_ms",
            DEFAULT_BODY_READ_TIMEOUT,
            up_to_secs(600),
        ),
        idle_timeout: section.millis("idle_ms", DEFAULT_IDLE_TIMEOUT, up_to_secs(3600)),
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
        announce: section.millis("announce_ms", DEFAULT_SHUTDOWN_ANNOUNCE, up_to_secs(600)),
        limit: section.millis("limit_ms", Duration::from_millis(5500), up_to_secs(600)),
    };
    section.finish();
    shutdown
}
