//! Crowds of callers that do not behave, against processes of their own.
//!
//! The cases check nothing that depends on the speed of the machine: that the process
//! lives, that its memory and descriptors stay under those of the smallest machine in
//! force, and that an ordinary caller is answered afterwards. They run one at a time. See
//! `docs/design/memory.md`.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
// Shared with other tests, which use all of it.
#[allow(dead_code)]
#[path = "../process/child.rs"]
mod child;
#[allow(dead_code)]
#[path = "../process/part.rs"]
mod part;
#[path = "../process/port.rs"]
mod port;
#[allow(dead_code)]
#[path = "../relay/entry.rs"]
mod entry;
#[allow(dead_code)]
#[path = "../relay/harness.rs"]
mod harness;
#[allow(dead_code)]
#[path = "../relay/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;
mod alone;
mod caller;
mod process;
mod deployment;
mod relay;
mod ports;
mod vms;
mod product;
mod flood;
mod frames;
mod endless;
mod endless_body;
mod endless_entry;
