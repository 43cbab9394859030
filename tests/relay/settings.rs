//! Tests of the settings of a relay and of the errors in them.

use std::path::Path;

use laburnumworks::settings::{Source, relay::Settings};

use crate::harness;

/// Returns valid settings.
fn text() -> String {
    let address: Vec<_> = (1..=4).map(|n| format!("10.0.0.1:{n}").parse().unwrap()).collect();
    harness::settings("vm-1", 0.17, &address, "10.0.0.9:80".parse().unwrap())
}

/// Returns the error in settings, which must have one.
fn error(text: &str) -> String {
    let source = Source { file: Path::new("relay.toml"), text };
    Settings::try_from(source).unwrap_err().to_string()
}

/// Returns the platform's template with every placeholder filled in.
fn rendered() -> String {
    let template = include_str!("../../platform/settings.toml");
    let values = [
        ("{{node|json}}", "\"front-1\""),
        ("{{zone|json}}", "\"jhb-north\""),
        ("{{limits.cpu_quota|json}}", "0.17"),
        ("{{limits.memory_mb|json}}", "182"),
        ("{{listen.front|json}}", "\"10.1.0.9:8104\""),
        ("{{listen.ready|json}}", "\"10.1.0.9:8108\""),
        ("{{ip_addr}}", "10.1.0.9"),
        ("{{port_range.0}}", "7380"),
        ("{{platform.addr|json}}", "\"10.200.1.7:8102\""),
        ("{{bounds.retry_ratio|json}}", "0.2"),
        ("{{bounds.retry_slack|json}}", "122"),
        ("{{bounds.retry_window_s|json}}", "10"),
    ];
    values.iter().fold(template.to_owned(), |text, (from, to)| text.replace(from, to))
}

cases! {
    the_rendered_template_is_valid => {
        let text = rendered();
        assert!(!text.contains("{{"), "{text}");
        let source = Source { file: Path::new("relay.toml"), text: &text };
        let settings = Settings::try_from(source).unwrap();
        assert_eq!(settings.vm.millicores, 170);
        assert_eq!(settings.memory.vm_mb, 182);
        assert_eq!(settings.listen.peers.to_string(), "10.1.0.9:7380");
        assert_eq!(settings.retry.window.as_secs(), 10);
    };
    a_missing_key_is_named => {
        for key in ["name", "domain", "cores", "callers", "peers", "ratio", "window_s"] {
            let lines: Vec<String> =
                text().lines().filter(|l| !l.starts_with(&format!("{key} ="))).map(str::to_owned).collect();
            assert!(error(&lines.join("\n")).contains(key), "{key}");
        }
    };
    a_value_of_a_wrong_type_is_named => {
        assert!(error(&text().replace("ratio = 0.2", "ratio = \"much\"")).contains("retry.ratio"));
        assert!(error(&text().replace("cores = 0.17", "cores = true")).contains("vm.cores"));
        assert!(error(&text().replace("\"10.0.0.9:80\"", "80")).contains("store.address"));
    };
    a_key_that_is_not_known_is_named => {
        assert!(error(&text().replace("[vm]", "[vm]\nnickname = \"x\"")).contains("nickname"));
    };
}
