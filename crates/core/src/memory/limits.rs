//! Limits on what a process holds for others.

use std::time::Duration;

/// The part of a VM's memory that is held for others, as a divisor. The rest is for
/// the program, what the allocator cannot reuse, and copies that exist for a moment.
const MEMORY_DIVISOR: usize = 3;

/// The memory of the smallest VM that is supported without settings, in bytes.
pub const DEFAULT_VM_BYTES: usize = 112_000_000;

/// The part of the descriptors that connections of others may take, as a divisor. The rest
/// is for connections to targets, other VMs and the store.
const DESCRIPTOR_DIVISOR: usize = 2;

/// The length of a reply beyond which it leaves room for shorter ones.
const SHORT_REPLY_BYTES: usize = 128 << 10;

/// The age before which a transfer or an idle connection is not closed to make room, as its
/// rate says nothing yet.
const EVICTION_GRACE: Duration = Duration::from_millis(250);

/// The limits on what a process holds for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes that are held in all.
    pub bytes: usize,
    /// The most connections that others may have open in all.
    pub connections: usize,
    /// The age before which a transfer or an idle connection is not closed to make room.
    pub grace: Duration,
}

impl Limits {
    /// Returns the limits for a VM with this memory in bytes, and for a process with
    /// this number of descriptors.
    pub fn new(vm_bytes: usize, descriptors: usize) -> Limits {
        Limits {
            bytes: vm_bytes / MEMORY_DIVISOR,
            connections: (descriptors / DESCRIPTOR_DIVISOR).max(1),
            grace: EVICTION_GRACE,
        }
    }

    /// Returns the most bytes that connections may take by themselves.
    pub fn connection_bytes(&self) -> usize {
        self.bytes / 2
    }

    /// Returns the most bytes that connections and requests may take.
    pub fn request_bytes(&self) -> usize {
        self.bytes / 4 * 3
    }

    /// Returns the bytes of replies on their way in beyond which room for anything is made
    /// among them before a connection of others is closed.
    pub fn reply_bytes(&self) -> usize {
        self.bytes / 2
    }

    /// Returns by how many bytes a reply of this length, on its way in among many, may exceed
    /// the limit until those that were given up have ended. It is little, as many grow at the
    /// same time, and nothing for a long one, so that it leaves room for short ones.
    pub fn reply_closing_bytes(&self, length: usize) -> usize {
        if length > SHORT_REPLY_BYTES { 0 } else { self.bytes / 8 }
    }

    /// Returns the bytes of the total that a reply of this length, on its way in among many,
    /// leaves free for short ones.
    pub fn reply_spare_bytes(&self, length: usize) -> usize {
        self.bytes / 8 - self.reply_closing_bytes(length)
    }

    /// Returns by how many bytes the limit may be exceeded until connections that were told
    /// to close have ended.
    pub fn closing_bytes(&self) -> usize {
        self.bytes / 2
    }

    /// Returns the most bytes that are held for others and taken by connections to targets
    /// together, beyond which idle ones of these are closed and replies are given up.
    pub fn total_bytes(&self) -> usize {
        self.bytes / 2 * 3
    }

    /// Returns the bytes that both never exceed, also while some are being freed. Only
    /// connections that are being closed do not count.
    pub fn max_total_bytes(&self) -> usize {
        self.total_bytes() + self.bytes / 8
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::new(DEFAULT_VM_BYTES, usize::MAX)
    }
}
