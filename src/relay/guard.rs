//! Tells that a thread of the VM ended before it was told to.
//!
//! A VM without one of its threads serves nothing but looks alive, so its process must
//! end and be started again.

use std::{io, sync::Arc, thread};

use tokio::sync::Notify;

/// The stack size of a thread; the deepest chain of calls needs less than half of it.
const STACK_BYTES: usize = 512 << 10;

/// Tells when any of the threads has ended. Clones share what they tell.
#[derive(Clone, Debug, Default)]
pub struct Ended(Arc<Notify>);

impl Ended {
    /// Waits until a thread has ended.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}

/// Notifies when it is dropped, also by a panic.
struct Guard(Ended);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.notify_one();
    }
}

/// Starts a thread that makes a task and runs it on a runtime of its own.
pub fn spawn<T: Future<Output = ()>>(
    name: &str,
    ended: &Ended,
    task: impl FnOnce() -> T + Send + 'static,
) -> io::Result<thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let guard = Guard(ended.clone());
    thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES).spawn(move || {
        let _guard = guard;
        runtime.block_on(task());
    })
}
