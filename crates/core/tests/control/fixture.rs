//! Names, rows and profiles that the tests share.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use laburnum_core::{
    control::{Codec, Record},
    name::Name,
    profile::{Profile, Raw},
    view::{State, Target, Vm},
};

/// Encodes stored documents as JSON.
pub struct Json;

impl Codec for Json {
    fn encode(&self, record: &Record) -> Vec<u8> {
        serde_json::to_vec(record).unwrap()
    }

    fn decode(&self, value: &[u8]) -> Result<Record, String> {
        serde_json::from_slice(value).map_err(|e| e.to_string())
    }
}

/// The name of the VM with this number.
pub fn vm(number: usize) -> Name {
    Name::try_from(format!("vm-{number:03}")).unwrap()
}

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// The address at `port` of the VM with this name.
pub fn address(vm: &Name, port: u16) -> SocketAddr {
    let number: u16 = vm.as_str().trim_start_matches("vm-").parse().unwrap();
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], port))
}

/// A VM as the platform lists it.
pub fn row(vm: &Name) -> Vm {
    Vm {
        name: vm.clone(),
        domain: name("zone-a"),
        incarnation: 0,
        state: State::Live,
        control: address(vm, 7000),
        traffic: vec![address(vm, 7001), address(vm, 7002)],
    }
}

/// A target as the platform lists it.
pub fn target(text: &str) -> Target {
    Target {
        name: name(text),
        index: name("licences"),
        shard: name("s1"),
        domain: name("zone-a"),
        address: "10.1.0.1:80".parse().unwrap(),
        slots: 2,
        connections: 55,
        state: State::Live,
    }
}

/// The team that owns the profiles of [`profiles`].
pub fn team() -> Name {
    name("field")
}

/// Profiles with the concurrency limit `mark`, which tells publications apart.
pub fn profiles(mark: u32) -> BTreeMap<Name, Profile> {
    let raw = Raw {
        team: "field".to_owned(),
        index: "licences".to_owned(),
        coverage_ppm: 1_000_000,
        deadline: Duration::from_millis(500),
        tail: Duration::from_millis(100),
        extra_load_ppm: 50_000,
        concurrency: mark,
        priority: 10,
        canary: true,
    };
    BTreeMap::from([(name("clearance"), Profile::try_from(raw).unwrap())])
}
