//! `target list` and `vm list`: the state of each, since when, and its source.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use laburnum_core::view::State;
use serde::Deserialize;

use super::{
    answer::Problem,
    failure::Outcome,
    operator::{self, Operator},
    output::{self, Table},
};

/// Show what a VM knows of the targets.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "target",
    example = "{command_name} list --operator 127.0.0.1:8081 --token-file token"
)]
pub struct Target {
    #[argh(subcommand)]
    list: List,
}

/// Show what a VM knows of the VMs.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "vm",
    example = "{command_name} list --operator 127.0.0.1:8081 --token-file token"
)]
pub struct Vm {
    #[argh(subcommand)]
    list: List,
}

/// List the state of each, since when, and who said so.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "list",
    example = "{command_name} --operator 127.0.0.1:8081 --token-file token"
)]
pub struct List {
    /// where a VM listens for operators
    #[argh(option)]
    pub operator: SocketAddr,
    /// the file that holds the token
    #[argh(option)]
    pub token_file: PathBuf,
    /// print the answer of the VM as JSON
    #[argh(switch)]
    pub json: bool,
}

#[derive(Deserialize)]
struct Targets {
    targets: Vec<TargetRow>,
}

#[derive(Deserialize)]
struct TargetRow {
    name: String,
    index: String,
    shard: String,
    domain: String,
    address: SocketAddr,
    state: State,
    since_ms: u64,
    source: String,
}

#[derive(Deserialize)]
struct Vms {
    vms: Vec<VmRow>,
}

#[derive(Deserialize)]
struct VmRow {
    name: String,
    domain: String,
    state: State,
    gone: bool,
    since_ms: u64,
    source: String,
}

/// Runs `target list`.
pub fn targets(command: &Target) -> Outcome {
    let request = operator::get("/v1/targets");
    command.list.operator()?.run(&request, describe_targets, Problem::hint)
}

/// Runs `vm list`.
pub fn vms(command: &Vm) -> Outcome {
    let request = operator::get("/v1/vms");
    command.list.operator()?.run(&request, describe_vms, Problem::hint)
}

impl List {
    fn operator(&self) -> Result<Operator, error_stack::Report<super::failure::Failure>> {
        Operator::new(self.operator, &self.token_file, self.json)
    }
}

fn state_text(state: State) -> &'static str {
    match state {
        State::Live => "live",
        State::Suspect => "suspect",
        State::Leaving => "leaving",
    }
}

fn describe_targets(list: &Targets) -> String {
    let columns = ["target", "index", "shard", "domain", "address", "state", "since", "said by"];
    let mut table = Table::new(&columns);
    for row in &list.targets {
        table.row(vec![
            row.name.clone(),
            row.index.clone(),
            row.shard.clone(),
            row.domain.clone(),
            row.address.to_string(),
            state_text(row.state).to_owned(),
            output::ago(row.since_ms),
            row.source.clone(),
        ]);
    }
    table.to_string()
}

fn describe_vms(list: &Vms) -> String {
    let mut table = Table::new(&["vm", "domain", "state", "since", "said by"]);
    for row in &list.vms {
        table.row(vec![
            row.name.clone(),
            row.domain.clone(),
            if row.gone { "gone" } else { state_text(row.state) }.to_owned(),
            output::ago(row.since_ms),
            row.source.clone(),
        ]);
    }
    table.to_string()
}
