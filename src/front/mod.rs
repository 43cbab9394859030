//! The callers' interface over HTTP. It turns bytes into events and answers into bytes.
