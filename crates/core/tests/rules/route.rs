//! The choice of the VMs that serve a shard.

use std::collections::BTreeMap;

use laburnum_core::{
    name::Name,
    rank,
    traffic::{policy::Route, policy::route::Home, table::shard},
    view::{Lane, State, View, Vm},
};

use crate::world::name;

const VMS: u64 = 25;

const SHARDS: u64 = 200;

fn vm(number: u64) -> Vm {
    let address = "127.0.0.1:1".parse().unwrap();
    Vm {
        name: name(&format!("vm-{number}")),
        domain: name("domain-1"),
        incarnation: 1,
        state: [State::Live, State::Suspect, State::Live, State::Leaving][number as usize % 4],
        control: address,
        traffic: vec![address; 2],
    }
}

fn view() -> View {
    let mut view = View::starting(name("vm-0"), name("domain-1"));
    let vms: BTreeMap<Name, Vm> = (0..VMS).map(vm).map(|vm| (vm.name.clone(), vm)).collect();
    view.vms = vms;
    view
}

/// The first VMs of a full sort: live VMs first, then suspect and then leaving
/// ones, each by weight.
fn expected(view: &View, key: &shard::Key, max: usize) -> Vec<Name> {
    let seed = rank::seed(&[key.index.as_str(), key.shard.as_str()]);
    let mut all = rank::order(seed, view.vms.keys());
    all.sort_by_key(|name| match view.vms[*name].state {
        State::Live => 0,
        State::Suspect => 1,
        State::Leaving => 2,
    });
    all.into_iter().take(max).cloned().collect()
}

fn compare(max: usize) {
    let view = view();
    let own = Lane { vm: name("vm-0"), thread: 0 };
    for shard in 0..SHARDS {
        let key = shard::Key { index: name("register"), shard: name(&format!("shard-{shard}")) };
        let lanes = Home.lanes(&view, &own, &key, max);
        let found: Vec<Name> = lanes.into_iter().map(|lane| lane.vm).collect();
        assert_eq!(found, expected(&view, &key, max), "{key:?}");
    }
}

cases! {
    the_first_homes_are_those_of_the_whole_order => compare(3);
    more_homes_than_vms_are_all_of_them => compare(100);
    a_limit_of_zero_homes_gives_none => compare(0);
}
