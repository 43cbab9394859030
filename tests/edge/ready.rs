//! Readiness of a VM with several traffic threads.

use laburnumworks::traffic::Ready;

cases! {
    a_vm_is_ready_when_each_of_its_threads_is => async {
        let (ready, seen) = Ready::new(2);
        ready.set(1, true);
        assert!(!*seen.borrow(), "thread 0 cannot answer yet");
        ready.set(0, true);
        assert!(*seen.borrow());
        ready.set(1, false);
        ready.set(0, true);
        assert!(!*seen.borrow(), "thread 1 cannot answer any more");
    };
}
