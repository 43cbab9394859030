//! Numbered log events. The catalogue is in docs/EVENTS.md.
