//! Sends control messages over the wire.

use std::{collections::BTreeMap, net::SocketAddr};

use laburnum_core::{control::Message, name::Name, view::Lane};

use super::CONTROL_THREAD;
use crate::{
    control::Messenger,
    wire::{Body, Dialer},
};

/// Sends control messages to the lanes of the control threads of other VMs.
pub struct Wire {
    dialer: Dialer,
    addresses: BTreeMap<Lane, SocketAddr>,
}

impl Wire {
    /// Makes a messenger that sends through `dialer`.
    pub fn new(dialer: Dialer) -> Wire {
        Wire { dialer, addresses: BTreeMap::new() }
    }
}

impl Messenger for Wire {
    fn send(&mut self, vm: &Name, address: SocketAddr, message: Message) {
        let lane = Lane { vm: vm.clone(), thread: CONTROL_THREAD };
        if self.addresses.get(&lane) != Some(&address) {
            self.addresses.insert(lane.clone(), address);
            self.dialer.update(self.addresses.clone());
        }
        self.dialer.send_body(&lane, &Body::Control(Box::new(message)));
    }
}
