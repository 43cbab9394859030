//! Messages between VMs: h2 streams that carry bincode.
