//! A body while it arrives, which takes no more memory than there is room for.

use bytes::Bytes;

/// Room for a body while it arrives.
pub trait Room: Send {
    /// Takes `bytes` in all; returns false if there is no room for them.
    fn grow_to(&mut self, bytes: usize) -> bool;
}

/// Room for any body that is within the limits of its connection.
pub struct Unlimited;

impl Room for Unlimited {
    fn grow_to(&mut self, _: usize) -> bool {
        true
    }
}

/// Room beside which a number of bytes is taken by something else.
pub struct Beside<'a> {
    pub room: &'a mut dyn Room,
    pub bytes: usize,
}

impl Room for Beside<'_> {
    fn grow_to(&mut self, bytes: usize) -> bool {
        self.room.grow_to(self.bytes + bytes)
    }
}

/// A body of which some bytes have arrived.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// The length that was announced.
    expected: Option<usize>,
}

impl Buffer {
    /// Makes an empty buffer for a body whose length may be announced. An announcement
    /// takes no memory by itself.
    pub fn new(expected: Option<usize>) -> Buffer {
        Buffer { bytes: Vec::new(), expected }
    }

    /// Allocates the announced length at once, which spares copies. Returns false if there is
    /// no room for it. It is for peers that are trusted to send what they announce.
    pub fn allocate(&mut self, room: &mut dyn Room) -> bool {
        let expected = self.expected.unwrap_or_default();
        if !room.grow_to(expected) {
            return false;
        }
        self.bytes.reserve_exact(expected);
        true
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes; returns false if there is no room for what the buffer allocates.
    pub fn push(&mut self, data: &[u8], room: &mut dyn Room) -> bool {
        let length = self.len() + data.len();
        if length > self.bytes.capacity() {
            let capacity = self.next_capacity(length);
            if !room.grow_to(capacity) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Returns the capacity to allocate for `length` bytes: at least twice the last one, but
    /// no more than the body takes.
    fn next_capacity(&self, length: usize) -> usize {
        let doubled = length.max(self.bytes.capacity().saturating_mul(2));
        self.expected.map_or(doubled, |expected| doubled.min(expected.max(length)))
    }

    /// Returns the bytes.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from(self.bytes)
    }
}
