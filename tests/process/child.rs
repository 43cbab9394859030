//! A process of a deployment.

use std::{
    fs::File,
    path::Path,
    process::{Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};
use tokio::time::sleep;

/// The interval between checks of whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The binary under test.
pub const BINARY: &str = env!("CARGO_BIN_EXE_laburnumworks");

/// A process that is killed when it is dropped.
pub struct Child {
    name: String,
    process: std::process::Child,
}

impl Child {
    /// Starts the binary; its output is appended to `name`.log in `folder`.
    pub fn start(folder: &Path, name: &str, arguments: &[&str]) -> Child {
        Child::spawn(Command::new(BINARY), folder, name, arguments)
    }

    fn spawn(mut command: Command, folder: &Path, name: &str, arguments: &[&str]) -> Child {
        let log = folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let process = command
            .args(arguments)
            .current_dir(folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Child { name: name.to_owned(), process }
    }

    /// Returns the id of the process.
    #[allow(dead_code)]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Starts the binary with at most `limit` descriptors.
    #[allow(dead_code)]
    pub fn start_limited(folder: &Path, name: &str, arguments: &[&str], limit: u32) -> Child {
        let script = format!("ulimit -n {limit} && exec \"$0\" \"$@\"");
        let mut command = Command::new("sh");
        command.args(["-c", &script, BINARY]);
        Child::spawn(command, folder, name, arguments)
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.process);
        kill_process(pid, signal).unwrap_or_else(|e| panic!("{signal:?} to {}: {e}", self.name));
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().unwrap()
    }

    /// Waits until the process exits and panics if that takes longer than `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(since.elapsed() < limit, "{} did not exit within {limit:?}", self.name);
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // The process may have exited already, so that errors are expected.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
