//! Runs a case: it waits for its turn, starts a deployment, limits the time and
//! shows the output of the processes when the case fails.

use std::{
    fs,
    panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
    path::Path,
    time::Duration,
};

use tokio::{runtime::Builder, sync::Semaphore, time::timeout};

use super::{bed::Bed, part::Plan};

/// The deployments that run at once; each has about ten processes.
const MAX_DEPLOYMENTS: usize = 3;

/// The time of one case.
const LIMIT: Duration = Duration::from_secs(40);

/// The lines of each process that are shown when a case fails.
const MAX_LINES: usize = 40;

static PLACES: Semaphore = Semaphore::const_new(MAX_DEPLOYMENTS);

/// Runs a case on a deployment of the usual size.
pub fn case(body: impl AsyncFnOnce(Bed)) {
    case_of(Plan::default(), body);
}

/// Runs a case on a deployment of its own plan.
pub fn case_of(plan: Plan, body: impl AsyncFnOnce(Bed)) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let _place = runtime.block_on(PLACES.acquire()).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let whole = async {
        let bed = Bed::start(folder.path(), plan).await;
        body(bed).await;
    };
    let limited = async { timeout(LIMIT, whole).await };
    let ended = catch_unwind(AssertUnwindSafe(|| runtime.block_on(limited)));
    if !matches!(ended, Ok(Ok(()))) {
        show(folder.path());
    }
    match ended {
        Ok(result) => result.expect("the case takes too long"),
        Err(panic) => resume_unwind(panic),
    }
}

/// Prints the last lines of each process.
fn show(folder: &Path) {
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
        for line in text.lines().skip(count.saturating_sub(MAX_LINES)) {
            println!("  {line}");
        }
    }
}
