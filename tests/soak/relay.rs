//! Runs a relay as a process and disturbs it by signals.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    child::{Child, Signal},
    ledger::{Ledger, Subject},
    port,
};

/// How long a VM counts as disturbed after a disturbance has ended. It has to start, or
/// to catch up with the changes that it missed.
pub const SETTLE_PERIOD: Duration = Duration::from_millis(3000);

/// How long after its launch a process may take until it handles signals.
const STARTUP_PERIOD: Duration = Duration::from_millis(1000);

/// The limit of an orderly shutdown.
pub const SHUTDOWN_LIMIT_MS: u64 = 4000;

/// A relay, whose process can be killed and launched again under the same settings.
pub struct Relay {
    pub number: usize,
    pub callers_address: SocketAddr,
    ready_address: SocketAddr,
    name: String,
    folder: PathBuf,
    ledger: Ledger,
    child: Option<Child>,
    launched_at: Instant,
}

impl Relay {
    /// Writes the settings of a relay that announces `cores` processor cores, and
    /// launches it. It reaches the store at the address `store`.
    pub fn start(
        number: usize,
        cores: f64,
        store: SocketAddr,
        folder: &Path,
        ledger: &Ledger,
    ) -> Relay {
        let addresses: Vec<SocketAddr> = (0..4).map(|_| port::unused_address()).collect();
        let name = format!("vm-{number}");
        let text = settings(&name, cores, &addresses, store);
        fs::write(folder.join(format!("{name}.toml")), text).unwrap();
        let mut relay = Relay {
            number,
            callers_address: addresses[0],
            ready_address: addresses[1],
            name,
            folder: folder.to_owned(),
            ledger: ledger.clone(),
            child: None,
            launched_at: Instant::now(),
        };
        relay.launch();
        relay
    }

    fn launch(&mut self) {
        let file = format!("{}.toml", self.name);
        let arguments = ["relay", "--settings", &file];
        self.child = Some(Child::start(&self.folder, &self.name, &arguments));
        self.launched_at = Instant::now();
    }

    /// Returns whether the relay reports that it is ready.
    pub async fn is_ready(&self, client: &reqwest::Client) -> bool {
        let url = format!("http://{}/v1/ready", self.ready_address);
        let response = client.get(url).timeout(Duration::from_millis(500)).send().await;
        response.is_ok_and(|response| response.status() == 200)
    }

    fn signal(&self, signal: Signal) {
        self.child.as_ref().unwrap().signal(signal);
    }

    /// Kills the process and launches it again after the time `down`.
    pub async fn kill(&mut self, down: Duration) {
        let from = Instant::now();
        self.child = None;
        sleep(down).await;
        self.launch();
        self.ledger.record_disturbance(
            Subject::Relay(self.number),
            from,
            Instant::now() + SETTLE_PERIOD,
        );
    }

    /// Stops the process for the time `span` (SIGSTOP, then SIGCONT).
    pub async fn freeze(&mut self, span: Duration) {
        let from = Instant::now();
        self.signal(Signal::STOP);
        sleep(span).await;
        self.signal(Signal::CONT);
        self.ledger.record_disturbance(
            Subject::Relay(self.number),
            from,
            Instant::now() + SETTLE_PERIOD,
        );
    }

    /// Requests an orderly shutdown (SIGTERM), waits until the process exits and launches
    /// it again.
    pub async fn restart(&mut self) {
        self.wait_started().await;
        let from = Instant::now();
        self.signal(Signal::TERM);
        let limit = Duration::from_millis(SHUTDOWN_LIMIT_MS) + Duration::from_secs(1);
        let status = self.child.as_mut().unwrap().wait_exit(limit).await;
        if !status.success() {
            let violation = format!("{}: orderly shutdown ended with {status}", self.name);
            self.ledger.rows().violations.push(violation);
        }
        let to = Instant::now();
        self.launch();
        self.ledger.record_disturbance(Subject::Leaving(self.number), from, to + SETTLE_PERIOD);
    }

    /// Waits until a process that was just launched handles signals; one that does not yet is
    /// killed by them.
    async fn wait_started(&self) {
        sleep(STARTUP_PERIOD.saturating_sub(self.launched_at.elapsed())).await;
    }

    /// Makes the process read its settings again (SIGHUP).
    pub async fn reload(&self) {
        self.wait_started().await;
        self.signal(Signal::HUP);
    }

    /// Records a violation if the process exited by itself.
    pub fn check_running(&mut self) {
        let name = self.name.clone();
        if let Some(status) = self.child.as_mut().and_then(Child::exit_status) {
            self.ledger.rows().violations.push(format!("{name}: exited by itself: {status}"));
        }
    }
}

fn settings(name: &str, cores: f64, addresses: &[SocketAddr], store: SocketAddr) -> String {
    let [callers, ready, metrics, peers] = addresses else { panic!("expected four addresses") };
    format!(
        "[vm]\nname = \"{name}\"\ndomain = \"near\"\ncores = {cores}\n\
         [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\n\
         peers = \"{peers}\"\n[store]\naddress = \"{store}\"\n\
         [retry]\nratio = {}\nslack = {}\nwindow_s = {}\n\
         [shutdown]\nannounce_ms = 800\nlimit_ms = {SHUTDOWN_LIMIT_MS}\n\
         [log]\nlevel = \"debug\"\nrate = 500\n",
        crate::deployment::RETRY_RATIO,
        crate::deployment::RETRY_SLACK,
        crate::deployment::RETRY_WINDOW.as_secs()
    )
}
