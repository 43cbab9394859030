//! Runs the cases one at a time.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::{runtime::Builder, time::timeout};

/// The time limit of a case. It ends a case that hangs and is far above what any takes.
const CASE_LIMIT: Duration = Duration::from_secs(240);

static TURN: Mutex<()> = Mutex::new(());

/// Runs a case while no other one runs.
pub fn alone(case: impl AsyncFnOnce()) {
    // A case that failed leaves nothing behind that the next one could meet.
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let limited = async { timeout(CASE_LIMIT, case()).await };
    runtime.block_on(limited).expect("the case takes too long");
}
