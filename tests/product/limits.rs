//! Every key of a settings file has an effect on a part of the VM, and the docs
//! page lists the keys with their defaults.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

use laburnum_core::{claims, control, traffic};
use laburnumworks::{
    front::{body, limit},
    settings::{Settings, Source},
    vm::limits,
    wire,
};

use crate::page;

/// A settings file that sets only the keys without a default.
const MINIMAL_SETTINGS: &str = r#"
vm.name = "a"
vm.domain = "d"
listen.callers = "127.0.0.1:1"
listen.operators = "127.0.0.1:2"
listen.control = "127.0.0.1:3"
listen.traffic = ["127.0.0.1:4"]
platform.address = "127.0.0.1:6"
deployment.key = "0123456789abcdef"
"#;

/// Each key that is read, a value other than its default and a part that uses it.
const KEYS: &[(&str, &str, Part)] = &[
    ("vm.name", "\"b\"", Part::Vm),
    ("vm.domain", "\"e\"", Part::Vm),
    ("listen.callers", "\"127.0.0.1:11\"", Part::Sockets),
    ("listen.operators", "\"127.0.0.1:12\"", Part::Sockets),
    ("listen.control", "\"127.0.0.1:13\"", Part::Sockets),
    ("listen.traffic", "[\"127.0.0.1:14\", \"127.0.0.1:15\"]", Part::Sockets),
    ("platform.address", "\"127.0.0.1:16\"", Part::Platform),
    ("platform.call_limit_ms", "700", Part::Control),
    ("platform.call_limit_ms", "700", Part::Claims),
    ("platform.call_limit_ms", "700", Part::Platform),
    ("deployment.key", "\"another-key-of-16\"", Part::Key),
    ("deployment.key_file", "\"deployment.key\"", Part::Key),
    (
        "operators.tokens",
        "[{ name = \"n\", team = \"t\", roles = [\"read\"], \
         sha256 = \"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b\" }]",
        Part::Operators,
    ),
    ("callers.body_limit_bytes", "2048", Part::Bodies),
    ("callers.header_limit_bytes", "8192", Part::Connections),
    ("callers.header_read_ms", "7", Part::Connections),
    ("callers.body_read_ms", "7", Part::Bodies),
    ("callers.idle_ms", "7", Part::Connections),
    ("callers.open_requests", "7", Part::Traffic),
    ("callers.open_connections", "7", Part::Connections),
    ("targets.open_limit_ms", "7", Part::Traffic),
    ("targets.probe_interval_ms", "7", Part::Traffic),
    ("targets.silent_after_ms", "7", Part::Traffic),
    ("targets.connections", "7", Part::Traffic),
    ("peers.ping_interval_ms", "3000", Part::Wire),
    ("peers.ping_limit_ms", "7", Part::Wire),
    ("peers.frame_limit_bytes", "\"1 MiB\"", Part::Wire),
    ("peers.queue_limit_bytes", "\"1 MiB\"", Part::Wire),
    ("membership.probe_interval_ms", "700", Part::Control),
    ("membership.probe_limit_ms", "7", Part::Control),
    ("membership.indirect_probes", "7", Part::Control),
    ("membership.gone_after_ms", "7000", Part::Control),
    ("membership.list_interval_ms", "7", Part::Control),
    ("membership.watchers", "7", Part::Control),
    ("membership.stale_after_ms", "7", Part::Control),
    ("membership.unready_after_ms", "7000", Part::Control),
    ("membership.seeds", "[{ name = \"c\", control = \"127.0.0.1:17\" }]", Part::Seeds),
    ("memory.vm_mb", "70", Part::Memory),
    ("claims.window_ms", "70000", Part::Claims),
    ("claims.value_limit_bytes", "\"128 KiB\"", Part::Claims),
    ("claims.future_ms", "7", Part::Claims),
    ("claims.gather_ms", "7", Part::Claims),
    ("retry.burst", "7", Part::Traffic),
    ("quarantine.capacity", "7", Part::Control),
    ("quarantine.hold_ms", "7", Part::Control),
    ("quarantine.suspect_ms", "7", Part::Control),
    ("quarantine.suspect_ms", "7", Part::Traffic),
    ("quarantine.lost_targets", "1", Part::Traffic),
    ("quarantine.lost_targets", "1", Part::Control),
    ("shutdown.announce_ms", "7", Part::Shutdown),
    ("shutdown.limit_ms", "7000", Part::Shutdown),
    ("log.format", "\"text\"", Part::Log),
    ("log.level", "\"debug\"", Part::Log),
    ("log.queue", "70", Part::Log),
    ("log.rate", "7", Part::Log),
];

/// A part of the VM that is configured by settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    /// The name and failure domain that other VMs and the log are given.
    Vm,
    /// The sockets on which the VM listens.
    Sockets,
    /// The client of the platform.
    Platform,
    /// The key that the VMs share.
    Key,
    /// The tokens of operators.
    Operators,
    /// The reading of request bodies.
    Bodies,
    /// The connections of callers.
    Connections,
    /// The decision logic of a traffic thread.
    Traffic,
    /// The streams between VMs.
    Wire,
    /// The decision logic of the control thread.
    Control,
    /// The VMs that the VM contacts at its start.
    Seeds,
    /// The decision logic of claims.
    Claims,
    /// The shutdown of the VM.
    Shutdown,
    /// The memory that is filled for others.
    Memory,
    /// The log writer.
    Log,
}

/// The configuration of `part` under `settings`, as text to compare.
fn part_config(part: Part, settings: &Settings) -> String {
    match part {
        Part::Vm => format!("{:?}", settings.vm),
        Part::Sockets => format!("{:?}", settings.listen),
        Part::Platform => format!("{:?}", settings.platform),
        Part::Key => settings.deployment.key.expose().to_owned(),
        Part::Operators => format!("{:?}", settings.operators),
        Part::Bodies => format!("{:?}", body::Limits::from(&limits::callers(settings))),
        Part::Connections => format!("{:?}", limit::Limits::from(&limits::callers(settings))),
        Part::Traffic => format!("{:?}", limits::traffic(settings)),
        Part::Wire => format!("{:?}", limits::wire(settings)),
        Part::Control => format!("{:?}", limits::control(settings)),
        Part::Seeds => format!("{:?}", limits::seeds(settings)),
        Part::Claims => format!("{:?}", limits::claims(settings)),
        Part::Shutdown => format!("{:?}", settings.shutdown),
        Part::Memory => format!("{:?}", settings.memory),
        Part::Log => format!("{:?}", settings.log),
    }
}

/// Parses settings whose folder holds a key file.
fn parse(text: &str) -> Settings {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("deployment.key"), "a-key-in-a-file-16").unwrap();
    let file = folder.path().join("vm.toml");
    Settings::try_from(Source { file: &file, text }).unwrap_or_else(|e| panic!("{e}\n{text}"))
}

/// The minimal settings with `key` set to `value`. A key file replaces the key,
/// since only one of them may be given.
fn settings_with(key: &str, value: &str) -> String {
    let replaced = if key == "deployment.key_file" { "deployment.key" } else { key };
    let kept = MINIMAL_SETTINGS.lines().filter(|line| !line.starts_with(&format!("{replaced} =")));
    let kept: Vec<&str> = kept.collect();
    format!("{}\n{key} = {value}\n", kept.join("\n"))
}

/// The names that the error for a text with an unknown name lists as known.
fn known_names(text: &str) -> BTreeSet<String> {
    let source = Source { file: Path::new("vm.toml"), text };
    let errors = Settings::try_from(source).unwrap_err().to_string();
    let line = errors.lines().find(|line| line.contains("known are ")).unwrap();
    line.split("known are ").nth(1).unwrap().split(", ").map(str::to_owned).collect()
}

/// Every key that the code reads, by the errors for unknown sections and keys.
fn all_keys() -> BTreeSet<String> {
    let unknown = "ffffffffffffffffffffffffffffffff";
    let sections = known_names(&format!("{unknown} = {{}}"));
    let keys = sections.iter().flat_map(|section| {
        let keys = known_names(&format!("[{section}]\n{unknown} = 1"));
        keys.into_iter().map(move |key| format!("{section}.{key}"))
    });
    keys.collect()
}

cases! {
    the_table_names_every_key_that_is_read => {
        let named: BTreeSet<String> = KEYS.iter().map(|(key, ..)| (*key).to_owned()).collect();
        assert_eq!(named, all_keys());
    };
    every_key_changes_what_a_part_is_given => {
        let minimal = parse(MINIMAL_SETTINGS);
        for (key, value, part) in KEYS {
            let changed = parse(&settings_with(key, value));
            assert_ne!(
                part_config(*part, &changed),
                part_config(*part, &minimal),
                "{key} has no effect"
            );
        }
    };
    the_defaults_are_those_of_the_decisions => {
        let text = settings_with("platform.call_limit_ms", "3000");
        let settings = parse(&text);
        let control = control::Limits::default();
        assert_eq!(limits::traffic(&settings), traffic::Limits::default());
        assert_eq!(format!("{:?}", limits::control(&settings)), format!("{control:?}"));
        assert_eq!(limits::wire(&settings), wire::Limits::default());
        let claims = claims::Limits { call_timeout: settings.platform.call_timeout, ..Default::default() };
        assert_eq!(limits::claims(&settings), claims);
    };
    a_target_is_read_often_enough_to_notice_in_two_seconds_that_it_leaves => {
        let text = settings_with("targets.probe_interval_ms", "1001");
        let errors = Settings::try_from(Source { file: Path::new("vm.toml"), text: &text });
        assert!(errors.unwrap_err().to_string().contains("targets.probe_interval_ms"));
    };
    the_threads_share_what_a_vm_may_have_open => {
        let two = settings_with("listen.traffic", "[\"127.0.0.1:4\", \"127.0.0.1:5\"]");
        let settings = parse(&format!("{two}callers.open_requests = 5\ncallers.open_connections = 7\n"));
        assert_eq!(limits::traffic(&settings).open_requests, 3);
        assert_eq!(limits::callers(&settings).open_connections, 4);
    };
    the_operating_page_lists_every_key => {
        let rows = page::table("OPERATING.md", "### Keys");
        let listed: Vec<String> = rows.iter().map(|row| row[0].trim_matches('`').to_owned()).collect();
        assert_eq!(listed.iter().cloned().collect::<BTreeSet<_>>(), all_keys());
        assert_eq!(listed.len(), all_keys().len(), "a key is listed twice");
    };
    the_operating_page_states_the_defaults => {
        let minimal = parse(MINIMAL_SETTINGS);
        let parts: BTreeMap<&str, Part> = KEYS.iter().map(|(key, _, part)| (*key, *part)).collect();
        let mut stated = 0;
        for row in page::table("OPERATING.md", "### Keys") {
            let key = row[0].trim_matches('`');
            if row[1] == "none" {
                continue;
            }
            stated += 1;
            let part = parts[key];
            let settings = parse(&settings_with(key, row[1].trim_matches('`')));
            assert_eq!(part_config(part, &settings), part_config(part, &minimal), "{key}");
        }
        assert_eq!(stated, all_keys().len() - 9, "a key with a default is listed without it");
    };
}
