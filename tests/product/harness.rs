//! A deployment in the process of the test, and the command line against it.

use std::{
    fs,
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::{Arc, Mutex},
    time::Duration,
};

use laburnum_core::{name::Name, traffic::Policies};
use laburnumworks::{
    cli::exit::Exit,
    local::{self, Caller, Deployment, Endpoints, Index, Plan},
    settings::{Settings, Source},
    standin::target::settings::Raw,
    vm,
};
use reqwest::Method;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::runtime::Runtime;

/// The time within which a deployment must take requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Profiles of the team whose token the deployment has.
pub const PROFILES: &str = r#"
[profile.renewal]
team = "local"
index = "licences"
coverage_ppm = 1000000
deadline_ms = 2000
tail_ms = 300
extra_load_ppm = 50000
concurrency = 10
priority = 10
"#;

/// A writer whose clones share the bytes that were written.
#[derive(Clone, Default)]
pub struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Buffer {
    /// The text that was written so far.
    pub fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }

    /// The complete lines of a log in JSON.
    pub fn lines(&self) -> Vec<Value> {
        let text = self.text();
        let complete = &text[..text.rfind('\n').map_or(0, |end| end + 1)];
        complete.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A deployment with clients and a folder for files.
pub struct Harness {
    pub deployment: Deployment,
    /// The log of each VM, in the order in which they were started.
    pub logs: Vec<Buffer>,
    /// Holds the operator's token and the files that a case writes.
    pub folder: TempDir,
    /// Runs the requests of the caller.
    pub runtime: Runtime,
    pub caller: Caller,
}

/// Starts a deployment of `vms` VMs with two shards and waits until they take
/// requests.
pub fn start(vms: u32) -> Harness {
    start_with_shards(vms, 2)
}

/// Starts a deployment of `vms` VMs with `shards` shards and waits until they
/// take requests. Its VMs log all levels.
pub fn start_with_shards(vms: u32, shards: u32) -> Harness {
    let name = Name::try_from(local::DEMO_INDEX).unwrap();
    let index = Index { name, shards, replicas: 2, target: Raw::default() };
    let plan =
        Plan { vms: 0, indexes: vec![index], target_threads: 1, policies: Policies::default };
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("token"), format!("{}\n", local::OPERATOR_TOKEN)).unwrap();
    let mut harness = Harness {
        deployment: local::start(&plan).unwrap(),
        logs: Vec::new(),
        folder,
        runtime: tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap(),
        caller: Caller::new().unwrap(),
    };
    let all_endpoints: Vec<Endpoints> =
        (1..=vms).map(|number| local::endpoints::allocate(number).unwrap()).collect();
    all_endpoints.iter().for_each(|endpoints| harness.list_vm(endpoints));
    all_endpoints.into_iter().for_each(|endpoints| harness.start_vm(endpoints));
    assert!(
        harness.runtime.block_on(harness.deployment.ready(START_TIMEOUT)),
        "the VMs are not ready"
    );
    harness
}

/// Runs the binary in the folder of the crate.
pub fn run_cli(arguments: &[&str]) -> Output {
    let folder = env!("CARGO_MANIFEST_DIR");
    let binary = env!("CARGO_BIN_EXE_laburnumworks");
    Command::new(binary).args(arguments).current_dir(folder).output().unwrap()
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

#[track_caller]
pub fn assert_exit(output: &Output, exit: Exit) {
    let code = Some(i32::from(exit.code()));
    assert_eq!(output.status.code(), code, "{}{}", stdout(output), stderr(output));
}

impl Harness {
    /// Adds a VM to the platform's list.
    fn list_vm(&self, endpoints: &Endpoints) {
        let path = format!("/v1/list/vms/{}", endpoints.name);
        let row = serde_json::to_value(endpoints.list_entry()).unwrap();
        let sent = self.caller.send(Method::PUT, self.deployment.platform, &path, &[], &row);
        assert!(self.runtime.block_on(sent).unwrap().status.is_success());
    }

    /// Starts a VM that logs all levels and adds its log to `logs`.
    fn start_vm(&mut self, endpoints: Endpoints) {
        let settings = endpoints.settings(self.deployment.platform);
        let text = format!("{settings}\n[log]\nlevel = \"debug\"\n");
        let source = Source { file: Path::new("vm.toml"), text: &text };
        let log = Buffer::default();
        let settings = Settings::try_from(source).unwrap();
        let vm = vm::start(settings, Box::new(log.clone())).unwrap();
        self.deployment.vms.push((endpoints, vm));
        self.logs.push(log);
    }

    /// Sets the faults of every target.
    pub fn set_target_faults(&self, faults: &Value) {
        for target in &self.deployment.targets {
            let sent = self.caller.send(Method::PUT, target.admin, "/v1/faults", &[], faults);
            assert!(self.runtime.block_on(sent).unwrap().status.is_success());
        }
    }

    /// The address on which the VM with this index serves operators.
    pub fn operators(&self, vm: usize) -> SocketAddr {
        self.deployment.vms[vm].0.operators
    }

    /// The address on which the VM with this index serves callers.
    pub fn callers(&self, vm: usize) -> SocketAddr {
        self.deployment.vms[vm].0.callers
    }

    /// Writes a file into the folder and returns its path.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// The arguments of an operator's command against the first VM.
    pub fn operator_arguments(&self, words: &[&str]) -> Vec<String> {
        let mut arguments: Vec<String> = words.iter().map(|&word| word.to_owned()).collect();
        let token = self.folder.path().join("token");
        arguments.extend(["--operator".to_owned(), self.operators(0).to_string()]);
        arguments.extend(["--token-file".to_owned(), token.display().to_string()]);
        arguments
    }

    /// Runs an operator's command against the first VM.
    pub fn run_operator(&self, words: &[&str]) -> Output {
        let arguments = self.operator_arguments(words);
        run_cli(&arguments.iter().map(String::as_str).collect::<Vec<_>>())
    }

    /// Runs an operator's command that must succeed and returns what it prints.
    #[track_caller]
    pub fn operator_output(&self, words: &[&str]) -> String {
        let output = self.run_operator(words);
        assert_exit(&output, Exit::Done);
        stdout(&output)
    }

    /// Runs an operator's command with `--json`, which must succeed, and returns
    /// the document that it prints.
    #[track_caller]
    pub fn operator_json(&self, words: &[&str]) -> Value {
        let text = self.operator_output(&[words, &["--json"]].concat());
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"))
    }

    /// Publishes profiles by the command line and returns what it prints.
    #[track_caller]
    pub fn publish(&self, text: &str) -> String {
        let file = self.file("profiles.toml", text);
        self.operator_output(&["profile", "publish", file.to_str().unwrap()])
    }

    /// Sets the faults of the platform's stand-in.
    pub fn set_platform_faults(&self, faults: &Value) {
        let platform = self.deployment.platform;
        let sent = self.caller.send(Method::PUT, platform, "/v1/faults", &[], faults);
        let reply = self.runtime.block_on(sent).unwrap();
        assert!(reply.status.is_success(), "{reply:?}");
    }

    /// Reads a document of the platform's stand-in.
    pub fn read_platform(&self, path: &str) -> Value {
        self.runtime.block_on(self.caller.read(self.deployment.platform, path)).unwrap().body
    }

    /// The metrics of the VM with this index.
    pub fn metrics(&self, vm: usize) -> String {
        let url = format!("http://{}/metrics", self.callers(vm));
        let read = async { reqwest::get(url).await?.text().await };
        self.runtime.block_on(read).unwrap()
    }

    /// Waits until every VM knows the profile `name`.
    pub fn wait_for_profile(&self, name: &str) {
        for vm in 0..self.deployment.vms.len() {
            let known = (0..100).any(|_| {
                let sent = self.caller.search(self.callers(vm), name, "none");
                let body = self.runtime.block_on(sent).unwrap().body;
                let is_known = body["kind"] != json!("unknown_profile");
                if !is_known {
                    std::thread::sleep(Duration::from_millis(50));
                }
                is_known
            });
            assert!(known, "{name} is not in force on VM {vm}");
        }
    }
}
