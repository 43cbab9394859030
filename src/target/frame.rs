//! Counts the frames of HTTP/2 in the bytes that a peer sends.

/// The length of the header of a frame, in bytes (RFC 9113, 4.1).
const HEADER_BYTES: usize = 9;

/// The place in a header before which the length of the payload stands.
const LENGTH_END: usize = 3;

/// The type of frames that bring the body of a reply (RFC 9113, 6.1).
const DATA: u8 = 0;

/// The payload of a frame other than data that is processed at the cost of a further frame,
/// in bytes. Data is only passed on, but heads are decoded byte by byte.
const COSTLY_BYTES: usize = 1 << 10;

/// The place in the frames of a connection at which the last read ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    /// The bytes of a header that have arrived.
    header: usize,
    /// The bytes of the payload that are still to come, as far as they are known.
    payload: usize,
}

impl Position {
    /// Returns the number of bytes that may be read so that at most `frames` frames begin in
    /// them.
    pub fn bytes(&self, frames: usize) -> usize {
        let rest = if self.header == HEADER_BYTES { self.payload } else { 0 };
        rest + frames * HEADER_BYTES
    }

    /// Moves past `bytes` and returns the number of frames that begin in them. A long frame
    /// other than data counts as several.
    pub fn advance(&mut self, mut bytes: &[u8]) -> usize {
        let mut frames = 0;
        while let Some(&next) = bytes.first() {
            let taken = if self.header < LENGTH_END {
                self.payload = self.payload << 8 | usize::from(next);
                self.take_header(1)
            } else if self.header == LENGTH_END {
                frames += self.cost(next);
                self.take_header(1)
            } else if self.header < HEADER_BYTES {
                self.take_header(bytes.len())
            } else {
                self.take_payload(bytes.len())
            };
            bytes = &bytes[taken..];
        }
        frames
    }

    /// Returns as how many frames one of this type counts.
    fn cost(&self, kind: u8) -> usize {
        if kind == DATA { 1 } else { 1 + self.payload / COSTLY_BYTES }
    }

    fn take_header(&mut self, available: usize) -> usize {
        let taken = available.min(HEADER_BYTES - self.header);
        self.header += taken;
        self.end_frame();
        taken
    }

    fn take_payload(&mut self, available: usize) -> usize {
        let taken = available.min(self.payload);
        self.payload -= taken;
        self.end_frame();
        taken
    }

    /// Goes to the next header if the frame is complete.
    fn end_frame(&mut self) {
        if self.header == HEADER_BYTES && self.payload == 0 {
            self.header = 0;
        }
    }
}
