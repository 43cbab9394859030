//! Measures the head of a request while it arrives, for the limit on its size.

/// The first bytes of the HTTP/2 connection preface.
const HTTP2_PREFACE: [u8; 4] = *b"PRI ";

/// Measures the head of one request: where it ends, and how it starts.
#[derive(Debug, Default)]
pub struct Head {
    start: Vec<u8>,
    size: usize,
    /// The length of the current line without its line break.
    line_len: usize,
    has_ended: bool,
}

impl Head {
    /// Adds the next bytes; those after the empty line do not count.
    pub fn push(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.has_ended {
                return;
            }
            self.push_byte(byte);
        }
    }

    fn push_byte(&mut self, byte: u8) {
        self.size += 1;
        match byte {
            b'\n' => {
                // Servers skip empty lines before the request line, so these do
                // not end the head.
                self.has_ended = self.line_len == 0 && !self.start.is_empty();
                self.line_len = 0;
            }
            b'\r' => {}
            _ => {
                self.line_len += 1;
                if self.start.len() < HTTP2_PREFACE.len() {
                    self.start.push(byte);
                }
            }
        }
    }

    /// Returns the size so far in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns whether the bytes begin as the HTTP/2 connection preface does.
    pub fn is_http2(&self) -> bool {
        self.start == HTTP2_PREFACE
    }
}
