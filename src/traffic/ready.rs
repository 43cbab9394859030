//! Whether all traffic threads of a VM can answer callers.

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
    waiting: Arc<Mutex<BTreeSet<u16>>>,
    sender: Arc<watch::Sender<bool>>,
}

impl Ready {
    /// Waits for `threads` threads; the receiver is true while all are ready.
    pub fn new(threads: u16) -> (Ready, watch::Receiver<bool>) {
        let (sender, receiver) = watch::channel(false);
        let waiting = Arc::new(Mutex::new((0..threads).collect()));
        (Ready { waiting, sender: Arc::new(sender) }, receiver)
    }

    /// Notes whether a thread can answer callers.
    pub fn set(&self, thread: u16, is_ready: bool) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if is_ready {
            waiting.remove(&thread);
        } else {
            waiting.insert(thread);
        }
        let all = waiting.is_empty();
        self.sender.send_if_modified(|ready| std::mem::replace(ready, all) != all);
    }
}
