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

/// The size of the parts of a long body, in bytes. Long bodies that grow and end at any length
/// would leave gaps between them that the allocator cannot use again; parts of one size leave
/// none.
const PART_BYTES: usize = 64 << 10;

/// The longest announced body that is one part, in bytes, which spares the copy at its end.
const MAX_SINGLE_BYTES: usize = 256 << 10;

/// A body of which some bytes have arrived.
#[derive(Debug, Default)]
pub struct Buffer {
    /// The parts that are full.
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    /// The length that was announced.
    expected: Option<usize>,
}

impl Buffer {
    /// Makes an empty buffer for a body whose length may be announced. An announcement
    /// takes no memory by itself.
    pub fn new(expected: Option<usize>) -> Buffer {
        Buffer { expected, ..Buffer::default() }
    }

    /// Returns the size of a part.
    fn part_bytes(&self) -> usize {
        self.expected
            .filter(|length| *length <= MAX_SINGLE_BYTES)
            .map_or(PART_BYTES, |length| length.max(PART_BYTES))
    }

    /// Takes room for the announced length at once, so that a body without room is not begun.
    /// Returns false if there is none. It is for peers that are trusted to send what they
    /// announce.
    pub fn reserve(&mut self, room: &mut dyn Room) -> bool {
        let expected = self.expected.unwrap_or_default();
        if !room.grow_to(expected) {
            return false;
        }
        if expected <= MAX_SINGLE_BYTES {
            self.last.reserve_exact(expected);
        }
        true
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.full.len() * self.part_bytes() + self.last.len()
    }

    /// Returns whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds bytes; returns false if there is no room for what the buffer allocates.
    pub fn push(&mut self, mut data: &[u8], room: &mut dyn Room) -> bool {
        while !data.is_empty() {
            if self.last.len() == self.part_bytes() {
                self.full.push(std::mem::take(&mut self.last));
            }
            let (now, later) = data.split_at(data.len().min(self.part_bytes() - self.last.len()));
            if !self.make_room(now.len(), room) {
                return false;
            }
            self.last.extend_from_slice(now);
            data = later;
        }
        true
    }

    /// Allocates what `more` bytes of the last part need; returns false if there is no room.
    fn make_room(&mut self, more: usize, room: &mut dyn Room) -> bool {
        let length = self.last.len() + more;
        if length <= self.last.capacity() {
            return true;
        }
        let before = self.full.len() * self.part_bytes();
        let capacity = self.next_capacity(length, before);
        if !room.grow_to(before + capacity) {
            return false;
        }
        self.last.reserve_exact(capacity - self.last.len());
        true
    }

    /// Returns the capacity to allocate for `length` bytes of the last part, which has `before`
    /// bytes before it: at least twice the last one, but no more than the body takes.
    fn next_capacity(&self, length: usize, before: usize) -> usize {
        let doubled = length.max(self.last.capacity().saturating_mul(2)).min(self.part_bytes());
        let expected = self.expected.map(|expected| expected.saturating_sub(before).max(length));
        expected.map_or(doubled, |expected| doubled.min(expected))
    }

    /// Returns the bytes. Each part is dropped as soon as it is copied, but the allocator keeps it
    /// for the next body: for a moment, a body of several parts is resident twice.
    pub fn into_bytes(self) -> Bytes {
        if self.full.is_empty() {
            return Bytes::from(self.last);
        }
        let mut bytes = Vec::with_capacity(self.len());
        for part in self.full {
            bytes.extend_from_slice(&part);
        }
        bytes.extend_from_slice(&self.last);
        Bytes::from(bytes)
    }
}
