//! Settings of the memory that a process may fill for others.

use laburnum_core::memory::limits::DEFAULT_VM_BYTES;

use super::document::Document;

/// The bytes of a megabyte.
const MEGABYTE: usize = 1_000_000;

/// The memory of the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// The memory of the VM in megabytes. A third of it is filled for callers,
    /// operators, targets and other VMs; see `docs/design/memory.md`.
    pub vm_mb: u32,
}

impl Memory {
    pub(super) fn read(document: &mut Document<'_>) -> Memory {
        let default = u32::try_from(DEFAULT_VM_BYTES / MEGABYTE).unwrap_or(u32::MAX);
        let mut section = document.section("memory");
        let vm_mb = section.count("vm_mb", default, 48..=1_000_000);
        section.finish();
        Memory { vm_mb }
    }

    /// Returns the memory of the VM in bytes.
    pub fn vm_bytes(&self) -> usize {
        usize::try_from(self.vm_mb).unwrap_or(usize::MAX).saturating_mul(MEGABYTE)
    }
}
