//! The extent of the head of a request, for the limit on its size.

/// How the preface of HTTP/2 begins.
const HTTP2: [u8; 4] = *b"PRI ";

/// The part of a head that has arrived.
#[derive(Debug, Default)]
pub struct Head {
    start: Vec<u8>,
    size: usize,
    line: usize,
    has_ended: bool,
}

impl Head {
    /// Takes the next bytes; those after the empty line do not count.
    pub fn take(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.has_ended {
                return;
            }
            self.push(byte);
        }
    }

    fn push(&mut self, byte: u8) {
        self.size += 1;
        match byte {
            b'\n' => {
                // Empty lines before the first one are skipped by servers.
                self.has_ended = self.line == 0 && !self.start.is_empty();
                self.line = 0;
            }
            b'\r' => {}
            _ => {
                self.line += 1;
                if self.start.len() < HTTP2.len() {
                    self.start.push(byte);
                }
            }
        }
    }

    /// The size so far in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Whether the head is that of HTTP/2.
    pub fn is_http2(&self) -> bool {
        self.start == HTTP2
    }
}
