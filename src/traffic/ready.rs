//! Tracks whether all traffic threads of a VM can answer callers.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::sync::watch;

/// The traffic threads that cannot answer callers yet.
///
/// The threads share the callers' address and the system spreads connections
/// over them, so the VM is ready only when each of them is.
#[derive(Clone, Debug)]
pub struct Ready {
    not_ready: Arc<Mutex<BTreeSet<u16>>>,
    sender: Arc<watch::Sender<bool>>,
}

impl Ready {
    /// Makes the set of the threads 0 to `threads - 1`, none of which is ready
    /// yet. The receiver is true while all are ready.
    pub fn new(threads: u16) -> (Ready, watch::Receiver<bool>) {
        let (sender, receiver) = watch::channel(false);
        let not_ready = Arc::new(Mutex::new((0..threads).collect()));
        (Ready { not_ready, sender: Arc::new(sender) }, receiver)
    }

    /// Records whether a thread can answer callers.
    pub fn set(&self, thread: u16, is_ready: bool) {
        let mut not_ready = self.not_ready.lock().unwrap_or_else(PoisonError::into_inner);
        if is_ready {
            not_ready.remove(&thread);
        } else {
            not_ready.insert(thread);
        }
        let all = not_ready.is_empty();
        self.sender.send_if_modified(|ready| std::mem::replace(ready, all) != all);
    }
}
