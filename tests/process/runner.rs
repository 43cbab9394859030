//! Runs a case: limits how many deployments run at once, starts the deployment,
//! limits the time, and prints the logs of the processes when the case fails.

use std::{
    fs,
    panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
    path::Path,
    time::Duration,
};

use tokio::{runtime::Builder, sync::Semaphore, time::timeout};

use super::{deployment::Deployment, part::Plan};

/// The number of deployments that run at once; each has about ten processes.
const MAX_DEPLOYMENTS: usize = 3;

/// The time limit of a case, including the start of its deployment.
const CASE_LIMIT: Duration = Duration::from_secs(40);

/// The number of log lines printed per process when a case fails.
const MAX_LINES_SHOWN: usize = 40;

static PERMITS: Semaphore = Semaphore::const_new(MAX_DEPLOYMENTS);

/// Runs a case on a deployment of the default size.
pub fn with_deployment(body: impl AsyncFnOnce(Deployment)) {
    with_plan(Plan::default(), body);
}

/// Runs a case on a deployment of the given size.
pub fn with_plan(plan: Plan, body: impl AsyncFnOnce(Deployment)) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let _permit = runtime.block_on(PERMITS.acquire()).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let case = async {
        let deployment = Deployment::start(folder.path(), plan).await;
        body(deployment).await;
    };
    let limited = async { timeout(CASE_LIMIT, case).await };
    let outcome = catch_unwind(AssertUnwindSafe(|| runtime.block_on(limited)));
    if !matches!(outcome, Ok(Ok(()))) {
        print_logs(folder.path());
    }
    match outcome {
        Ok(result) => result.expect("the case takes too long"),
        Err(panic) => resume_unwind(panic),
    }
}

/// Prints the last lines of each log file in `folder`.
fn print_logs(folder: &Path) {
    let mut files: Vec<_> = fs::read_dir(folder).unwrap().map(|file| file.unwrap()).collect();
    files.sort_by_key(fs::DirEntry::file_name);
    for file in files {
        if !file.file_name().to_string_lossy().ends_with(".log") {
            continue;
        }
        let text = fs::read(file.path()).unwrap();
        let text = String::from_utf8_lossy(&text);
        let count = text.lines().count();
        println!("{} ({count} lines)", file.file_name().display());
        for line in text.lines().skip(count.saturating_sub(MAX_LINES_SHOWN)) {
            println!("  {line}");
        }
    }
}
