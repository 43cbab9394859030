//! Settings and profiles: which files are accepted and what the errors say.

use std::{path::Path, time::Duration};

use laburnumworks::settings::{
    Settings, Source,
    identity::{Hash, Role},
    profiles::Profiles,
    traffic,
};

/// A settings file that sets only the keys without a default. Text after it starts
/// at line 14.
const MINIMAL_SETTINGS: &str = r#"
[vm]
name = "a"
domain = "d"
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
control = "127.0.0.1:3"
traffic = ["127.0.0.1:4", "127.0.0.1:5"]
[platform]
address = "127.0.0.1:6"
[deployment]
key = "0123456789abcdef"
"#;

fn parse(text: &str) -> Result<Settings, String> {
    let source = Source { file: Path::new("vm.toml"), text };
    Settings::try_from(source).map_err(|errors| errors.to_string())
}

/// The errors for [`MINIMAL_SETTINGS`] followed by `more`.
fn errors(more: &str) -> Vec<String> {
    let text = format!("{MINIMAL_SETTINGS}{more}");
    parse(&text).unwrap_err().lines().map(str::to_owned).collect()
}

fn profile_errors(text: &str) -> String {
    let source = Source { file: Path::new("p.toml"), text };
    Profiles::try_from(source).unwrap_err().to_string()
}

const PROFILE: &str = r#"[profile.portal]
team = "t"
index = "i"
coverage_ppm = 900000
deadline_ms = 1000
tail_ms = 300
extra_load_ppm = 20000
concurrency = 10
priority = 10
"#;

cases! {
    names_and_addresses_are_enough => {
        let settings = parse(MINIMAL_SETTINGS).unwrap();
        assert_eq!(settings.listen.traffic.len(), 2);
        assert_eq!(settings.callers.body_limit_bytes, traffic::DEFAULT_BODY_LIMIT_BYTES);
    };
    an_empty_file_misses_every_key_without_a_default => {
        let text = parse("").unwrap_err();
        let missing = text.lines().filter(|line| line.contains("missing")).count();
        assert_eq!(missing, 7, "{text}");
        assert!(text.contains("give either key or key_file"), "{text}");
    };
    a_size_is_a_number_or_has_a_unit => {
        let text = format!("{MINIMAL_SETTINGS}[callers]\nbody_limit_bytes = \"2 KiB\"\n");
        assert_eq!(parse(&text).unwrap().callers.body_limit_bytes, 2048);
        let text = format!("{MINIMAL_SETTINGS}[callers]\nbody_limit_bytes = 3000\n");
        assert_eq!(parse(&text).unwrap().callers.body_limit_bytes, 3000);
    };
    a_time_is_in_milliseconds => {
        let text = format!("{MINIMAL_SETTINGS}[claims]\ngather_ms = 7\n");
        assert_eq!(parse(&text).unwrap().claims.batch_delay, Duration::from_millis(7));
    };
    an_error_names_file_line_key_found_and_allowed => {
        assert_eq!(
            errors("[membership]\nwatchers = 17\n"),
            ["vm.toml:15: membership.watchers: found 17, allowed is a whole number from 1 to 16"]
        );
    };
    a_wrong_type_is_reported_like_a_wrong_value => {
        assert_eq!(
            errors("[membership]\nwatchers = \"many\"\n"),
            ["vm.toml:15: membership.watchers: found \"many\", allowed is a whole number from 1 to 16"]
        );
    };
    an_unknown_key_offers_the_nearest => {
        assert_eq!(
            errors("[membership]\nwatcher = 2\n"),
            ["vm.toml:15: membership.watcher: unknown key; the nearest known one is \"watchers\""]
        );
    };
    an_unknown_section_offers_the_nearest => {
        assert_eq!(
            errors("[retries]\nburst = 2\n"),
            ["vm.toml:14: retries: unknown section; the nearest known one is \"retry\""]
        );
    };
    a_key_unlike_any_other_lists_the_known => {
        let found = errors("[shutdown]\ncolour = 2\n");
        assert_eq!(
            found,
            ["vm.toml:15: shutdown.colour: unknown key; known are announce_ms, limit_ms"]
        );
    };
    all_errors_of_a_file_are_reported_at_once => {
        let found = errors("[retry]\nburst = -1\n[callers]\nidle_ms = -1\nbody = 1\n[log]\nlevel = \"loud\"\n");
        assert_eq!(found.len(), 4, "{found:?}");
    };
    text_that_is_not_toml_is_reported_with_its_line => {
        let found = errors("[retry]\nburst = = 2\n");
        assert!(found[0].starts_with("vm.toml:15: "), "{found:?}");
    };
    a_limit_must_be_shorter_than_its_interval => {
        assert_eq!(
            errors("[peers]\nping_limit_ms = 2000\n"),
            [
                "vm.toml:15: peers.ping_limit_ms: found 2000, allowed is less than \
                 peers.ping_interval_ms = 2000"
            ]
        );
    };
    two_listeners_on_one_address_are_refused => {
        let text = MINIMAL_SETTINGS.replace("127.0.0.1:5", "127.0.0.1:3");
        assert_eq!(
            parse(&text).unwrap_err(),
            "vm.toml:9: listen.traffic: found 127.0.0.1:3, which listen.control has as well"
        );
    };
    an_address_that_others_cannot_reach_is_refused => {
        let text = MINIMAL_SETTINGS.replace("127.0.0.1:3", "0.0.0.0:3");
        assert!(parse(&text).unwrap_err().contains("listen.control: found 0.0.0.0:3"));
    };
    a_key_beside_a_key_file_is_refused => {
        let text = format!("{MINIMAL_SETTINGS}key_file = \"missing.key\"\n");
        let found = parse(&text).unwrap_err();
        assert!(found.contains("deployment.key_file"), "{found}");
    };
    a_short_key_is_refused_and_not_shown => {
        let text = MINIMAL_SETTINGS.replace("0123456789abcdef", "hunter2");
        let found = parse(&text).unwrap_err();
        assert!(found.contains("deployment.key"), "{found}");
        assert!(!found.contains("hunter2"), "{found}");
    };
    debug_output_shows_no_secret => {
        let shown = format!("{:?}", parse(MINIMAL_SETTINGS).unwrap());
        assert!(!shown.contains("0123456789abcdef"), "{shown}");
    };
    a_token_is_found_by_its_text => {
        // The SHA-256 hash of "secret".
        let hash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
        let token = format!(
            "[operators]\ntokens = [{{ name = \"n\", team = \"t\", roles = [\"read\"], sha256 = \"{hash}\" }}]\n"
        );
        let settings = parse(&format!("{MINIMAL_SETTINGS}{token}")).unwrap();
        let token = settings.operators.token("secret").unwrap();
        assert!(token.allows(Role::Read) && !token.allows(Role::Publish));
        assert!(settings.operators.token("Secret").is_none());
    };
    a_hash_matches_only_its_secret => {
        let hash = Hash::of(b"one");
        assert!(hash.matches(b"one") && !hash.matches(b"two"));
    };
    a_fault_of_a_token_names_its_place => {
        let found = errors("[operators]\ntokens = [{ name = \"n\", team = \"t\", roles = [\"read\"], sha256 = \"12\" }]\n");
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].starts_with("vm.toml:15: operators.tokens[0].sha256: "), "{found:?}");
        assert!(!found[0].contains("\"12\""), "{found:?}");
    };
    a_profile_is_read => {
        let source = Source { file: Path::new("p.toml"), text: PROFILE };
        let profiles = Profiles::try_from(source).unwrap().0;
        assert_eq!(profiles.values().next().unwrap().deadline, Duration::from_secs(1));
    };
    all_faults_of_a_profile_are_reported_at_once => {
        let text = PROFILE.replace("concurrency = 10", "concurrency = 0")
            .replace("900000", "2000000")
            .replace("priority = 10", "priority = 0");
        let found = profile_errors(&text);
        assert_eq!(found.lines().count(), 3, "{found}");
        assert!(found.contains("p.toml:4: profile.portal.coverage_ppm: found 2000000"), "{found}");
    };
    an_unknown_key_of_a_profile_offers_the_nearest => {
        let found = profile_errors(&PROFILE.replace("tail_ms", "tial_ms"));
        assert!(found.contains("nearest known one is \"tail_ms\""), "{found}");
        assert!(found.contains("profile.portal.tail_ms: the key is missing"), "{found}");
    };
}
