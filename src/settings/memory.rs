//! Settings of the memory that a process may fill for others.

use laburnum_core::memory::limits::DEFAULT_MACHINE_BYTES;

use super::document::Document;

/// The bytes of a megabyte.
const MEGABYTE: usize = 1_000_000;

/// The memory of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    /// The memory of the machine in megabytes. A third of it is filled for callers,
    /// operators, targets and other VMs; see `docs/design/memory.md`.
    pub machine_mb: u32,
}

impl Memory {
    pub(super) fn read(document: &mut Document<'_>) -> Memory {
        let default = u32::try_from(DEFAULT_MACHINE_BYTES / MEGABYTE).unwrap_or(u32::MAX);
        let mut section = document.section("memory");
        let machine_mb = section.count("machine_mb", default, 48..=1_000_000);
        section.finish();
        Memory { machine_mb }
    }

    /// Returns the memory of the machine in bytes.
    pub fn machine_bytes(&self) -> usize {
        usize::try_from(self.machine_mb).unwrap_or(usize::MAX).saturating_mul(MEGABYTE)
    }
}
