//! The settings and profiles in `deploy` for the two deployments.

use std::{fs, path::Path};

use laburnumworks::settings::{Settings, profiles::Profiles};

const DEPLOYMENT_KEY: &str = "a-key-for-tests-only";

/// Reads a settings file of `deploy` from a folder that also holds the
/// deployment key file.
fn settings(name: &str) -> Settings {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join(name);
    fs::copy(deploy(name), &file).unwrap();
    fs::write(folder.path().join("deployment.key"), format!("{DEPLOYMENT_KEY}\n")).unwrap();
    Settings::load(&file).unwrap_or_else(|errors| panic!("{errors}"))
}

fn deploy(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy").join(name)
}

fn profiles(name: &str) -> Profiles {
    Profiles::load(&deploy(name)).unwrap_or_else(|errors| panic!("{errors}"))
}

/// Asserts that the team of each profile has an operator's token.
fn assert_teams_have_tokens(settings_name: &str, profiles_name: &str) {
    let settings = settings(settings_name);
    for (name, profile) in profiles(profiles_name).0 {
        let has_token = settings.operators.tokens.iter().any(|token| token.team == profile.team);
        assert!(has_token, "no token publishes {name} of {}", profile.team);
    }
}

cases! {
    the_settings_of_umgeni_are_sound => {
        let settings = settings("umgeni.toml");
        assert_eq!(settings.vm.domain.as_str(), "gauteng-1");
        assert_eq!(settings.deployment.key.expose(), DEPLOYMENT_KEY);
    };
    the_settings_of_swanbourne_are_sound => {
        assert_eq!(settings("swanbourne.toml").vm.domain.as_str(), "perth-1");
    };
    every_team_of_umgeni_has_a_token => {
        assert_teams_have_tokens("umgeni.toml", "umgeni-profiles.toml");
    };
    every_team_of_swanbourne_has_a_token => {
        assert_teams_have_tokens("swanbourne.toml", "swanbourne-profiles.toml");
    };
    clearances_ask_for_whole_coverage => {
        let profiles = profiles("umgeni-profiles.toml").0;
        let clearance = profiles.iter().find(|(name, _)| name.as_str() == "clearance").unwrap().1;
        assert_eq!(clearance.coverage, laburnum_core::profile::WHOLE_PPM);
    };
}
