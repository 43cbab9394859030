//! A relay as a process that signals disturb.

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

/// The time for which a VM is disturbed beyond the disturbance itself: it has to
/// come up, or to find out what it missed.
pub const SETTLE: Duration = Duration::from_millis(3000);

/// The time after its start in which a process listens to signals.
const STARTING: Duration = Duration::from_millis(1000);

/// The limit of an orderly end, in milliseconds.
pub const LIMIT_MS: u64 = 4000;

/// A relay.
pub struct Relay {
    pub number: usize,
    pub callers: SocketAddr,
    ready: SocketAddr,
    name: String,
    folder: PathBuf,
    ledger: Ledger,
    child: Option<Child>,
    launched: Instant,
}

impl Relay {
    /// Starts a relay with a number of cores, whose store is at `store`.
    pub fn start(
        number: usize,
        cores: f64,
        store: SocketAddr,
        folder: &Path,
        ledger: &Ledger,
    ) -> Relay {
        let address: Vec<SocketAddr> = (0..4).map(|_| port::unused_address()).collect();
        let name = format!("vm-{number}");
        let text = settings(&name, cores, &address, store);
        fs::write(folder.join(format!("{name}.toml")), text).unwrap();
        let mut relay = Relay {
            number,
            callers: address[0],
            ready: address[1],
            name,
            folder: folder.to_owned(),
            ledger: ledger.clone(),
            child: None,
            launched: Instant::now(),
        };
        relay.launch();
        relay
    }

    fn launch(&mut self) {
        let file = format!("{}.toml", self.name);
        let arguments = ["relay", "--settings", &file];
        self.child = Some(Child::start(&self.folder, &self.name, &arguments));
        self.launched = Instant::now();
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self, client: &reqwest::Client) -> bool {
        let url = format!("http://{}/v1/ready", self.ready);
        let response = client.get(url).timeout(Duration::from_millis(500)).send().await;
        response.is_ok_and(|response| response.status() == 200)
    }

    fn signal(&self, signal: Signal) {
        self.child.as_ref().unwrap().signal(signal);
    }

    /// Kills it and starts it again after a while.
    pub async fn kill(&mut self, down: Duration) {
        let from = Instant::now();
        self.child = None;
        sleep(down).await;
        self.launch();
        self.ledger.spell(Subject::Relay(self.number), from, Instant::now() + SETTLE);
    }

    /// Stops its process for a while.
    pub async fn freeze(&mut self, span: Duration) {
        let from = Instant::now();
        self.signal(Signal::STOP);
        sleep(span).await;
        self.signal(Signal::CONT);
        self.ledger.spell(Subject::Relay(self.number), from, Instant::now() + SETTLE);
    }

    /// Tells it to end, waits for that and starts it again.
    pub async fn restart(&mut self) {
        // A process that has not begun to listen ends by the signal itself.
        sleep(STARTING.saturating_sub(self.launched.elapsed())).await;
        let from = Instant::now();
        self.signal(Signal::TERM);
        let limit = Duration::from_millis(LIMIT_MS) + Duration::from_secs(1);
        let status = self.child.as_mut().unwrap().wait_exit(limit).await;
        if !status.success() {
            let breach = format!("{}: its orderly end gave {status}", self.name);
            self.ledger.rows().breaches.push(breach);
        }
        let to = Instant::now();
        self.launch();
        self.ledger.spell(Subject::Leaving(self.number), from, to + SETTLE);
    }

    /// Tells it that its settings may have changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Notes if the process ended by itself.
    pub fn look(&mut self) {
        let name = self.name.clone();
        if let Some(status) = self.child.as_mut().and_then(Child::exit_status) {
            self.ledger.rows().breaches.push(format!("{name}: ended by itself: {status}"));
        }
    }
}

fn settings(name: &str, cores: f64, address: &[SocketAddr], store: SocketAddr) -> String {
    let [callers, ready, metrics, peers] = address else { panic!("four addresses") };
    format!(
        "[vm]\nname = \"{name}\"\ndomain = \"near\"\ncores = {cores}\n\
         [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\n\
         peers = \"{peers}\"\n[store]\naddress = \"{store}\"\n\
         [retry]\nratio = {}\nslack = {}\nwindow_s = {}\n\
         [shutdown]\nannounce_ms = 800\nlimit_ms = {LIMIT_MS}\n\
         [log]\nlevel = \"debug\"\nrate = 500\n",
        crate::bed::RETRY_RATIO,
        crate::bed::RETRY_SLACK,
        crate::bed::RETRY_WINDOW.as_secs()
    )
}
