//! The parts of a deployment, each a process with its own settings.

use std::{fs, net::SocketAddr, path::Path};

use laburnum_core::name::Name;
use laburnumworks::local::{DEMO_INDEX, Endpoints};
use serde_json::{Value, json};

use super::{child::Child, port};

/// The size of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The number of VMs in the platform's list.
    pub vms: u32,
    /// How many of the listed VMs are started, counted from the first.
    pub started: u32,
    pub shards: u32,
    /// The number of targets per shard.
    pub replicas: u32,
    /// The number of traffic threads per VM.
    pub threads: u32,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan { vms: 3, started: 3, shards: 4, replicas: 2, threads: 1 }
    }
}

/// The process of the platform's stand-in.
pub struct Platform {
    pub address: SocketAddr,
    _child: Child,
}

impl Platform {
    /// Starts the platform with these VMs and targets in its list.
    pub fn start(folder: &Path, vms: &[Vm], targets: &[Target]) -> Platform {
        let listed: Vec<Value> = targets.iter().map(|target| target.listed.clone()).collect();
        Platform::start_with(folder, vms, &listed)
    }

    /// Starts the platform with these VMs, and with targets that have these fields in its
    /// list.
    pub fn start_with(folder: &Path, vms: &[Vm], targets: &[Value]) -> Platform {
        let mut list: String = vms.iter().map(Vm::row).collect();
        list.extend(targets.iter().map(target_row));
        fs::write(folder.join("list.toml"), list).unwrap();
        let address = port::unused_address();
        let listen = address.to_string();
        let arguments = ["stand-in", "platform", "--listen", &listen, "--list", "list.toml"];
        Platform { address, _child: Child::start(folder, "platform", &arguments) }
    }
}

/// A VM, whose process may not have been started.
pub struct Vm {
    pub endpoints: Endpoints,
    /// The address on which each traffic thread listens for other VMs.
    traffic: Vec<SocketAddr>,
    /// `None` until the first start.
    pub child: Option<Child>,
}

impl Vm {
    /// Chooses the addresses of a VM without starting it.
    pub fn new(number: u32, threads: u32) -> Vm {
        let traffic: Vec<SocketAddr> = (0..threads).map(|_| port::unused_address()).collect();
        let endpoints = Endpoints {
            name: Name::try_from(format!("vm-{number}")).unwrap(),
            domain: Name::try_from(format!("domain-{number}")).unwrap(),
            callers: port::unused_address(),
            operators: port::unused_address(),
            control: port::unused_address(),
            traffic: traffic[0],
        };
        Vm { endpoints, traffic, child: None }
    }

    /// Starts the process, also after an earlier one was killed.
    pub fn start(&mut self, folder: &Path, platform: SocketAddr) {
        let name = self.endpoints.name.to_string();
        let file = format!("{name}.toml");
        fs::write(folder.join(&file), self.settings(platform)).unwrap();
        self.child = Some(Child::start(folder, &name, &["entry", "--settings", &file]));
    }

    fn settings(&self, platform: SocketAddr) -> String {
        let single = format!("traffic = [\"{}\"]", self.endpoints.traffic);
        let text = self.endpoints.settings(platform);
        assert!(text.contains(&single), "{text}");
        text.replace(&single, &format!("traffic = {}", self.traffic_toml()))
    }

    /// The addresses of the traffic threads as a TOML array.
    fn traffic_toml(&self) -> String {
        let quoted: Vec<String> = self.traffic.iter().map(|own| format!("\"{own}\"")).collect();
        format!("[{}]", quoted.join(", "))
    }

    /// The row of this VM in the platform's list, as TOML.
    fn row(&self) -> String {
        let Endpoints { name, domain, control, .. } = &self.endpoints;
        format!(
            "[[vms]]\nname = \"{name}\"\ndomain = \"{domain}\"\nincarnation = 0\n\
             state = \"live\"\ncontrol = \"{control}\"\ntraffic = {}\n",
            self.traffic_toml()
        )
    }

    /// Returns the process and panics if the VM was never started.
    pub fn child(&mut self) -> &mut Child {
        self.child.as_mut().expect("the VM was started")
    }
}

/// The process of a target's stand-in.
pub struct Target {
    pub name: String,
    /// The address at which tests set its faults and read its counts.
    pub admin: SocketAddr,
    pub child: Child,
    /// The fields of its row in the platform's list.
    pub listed: Value,
}

impl Target {
    /// Starts every target of a plan, ordered by shard and replica.
    pub fn start_all(folder: &Path, plan: &Plan) -> Vec<Target> {
        (0..plan.shards)
            .flat_map(|shard| (0..plan.replicas).map(move |replica| (shard, replica)))
            .map(|(shard, replica)| Target::start(folder, plan, shard, replica))
            .collect()
    }

    fn start(folder: &Path, plan: &Plan, shard: u32, replica: u32) -> Target {
        let name = format!("target-{shard}-{replica}");
        let noise = shard * plan.replicas + replica;
        let shards = plan.shards;
        let settings = format!("shard = {shard}\nshards = {shards}\nnoise = {noise}\n");
        let place = json!({
            "shard": format!("shard-{shard}"),
            "domain": format!("domain-{}", replica + 1),
        });
        Target::launch(folder, &name, &settings, &place)
    }

    /// Launches a target with these settings, and lists it with its shard and domain.
    pub fn launch(folder: &Path, name: &str, settings: &str, place: &Value) -> Target {
        let (address, admin) = (port::unused_address(), port::unused_address());
        let file = format!("{name}.toml");
        fs::write(folder.join(&file), settings).unwrap();
        let (listen, admin_text) = (address.to_string(), admin.to_string());
        let arguments = [
            "stand-in",
            "target",
            "--listen",
            &listen,
            "--admin",
            &admin_text,
            "--settings",
            &file,
        ];
        let child = Child::start(folder, name, &arguments);
        let listed = target_fields(name, address, place);
        Target { name: name.to_owned(), admin, child, listed }
    }
}

/// Returns the fields of a target in the platform's list, with its shard and domain.
pub fn target_fields(name: &str, address: SocketAddr, place: &Value) -> Value {
    let mut listed = json!({
        "name": name,
        "index": DEMO_INDEX,
        "address": address,
        "slots": 2,
        "connections": 55,
        "state": "live",
    });
    listed.as_object_mut().unwrap().extend(place.as_object().unwrap().clone());
    listed
}

/// The row of a target in the platform's list, as TOML.
fn target_row(fields: &Value) -> String {
    let fields = fields.as_object().unwrap().iter();
    // JSON strings and numbers are valid TOML values as well.
    let lines = fields.map(|(key, value)| format!("{key} = {value}\n"));
    std::iter::once("[[targets]]\n".to_owned()).chain(lines).collect()
}
