//! Parses the values of flags and loads the files that they name.

use std::{fs, path::Path};

use error_stack::Report;
use laburnum_core::name::Name;

use super::{exit::Exit, failure::Failure};
use crate::{
    settings::{Settings, error::Errors, identity::Secret, profiles::Profiles, relay},
    slope::Part,
};

/// Parses a flag whose value is a name.
pub fn name(text: &str) -> Result<Name, String> {
    Name::try_from(text).map_err(|e| e.to_string())
}

/// Parses a flag whose value is a part of the tier to measure.
pub fn part(text: &str) -> Result<Part, String> {
    Part::try_from(text).map_err(|e| e.to_string())
}

/// Loads and checks a settings file.
pub fn settings(file: &Path) -> Result<Settings, Report<Failure>> {
    Settings::load(file).map_err(|errors| invalid(&errors))
}

/// The environment variable that names the settings file of a relay.
const SETTINGS_VARIABLE: &str = "LABURNUMWORKS_CONFIG";

/// Loads the settings of a relay from `file`, or else from the file that the
/// environment variable names.
pub fn relay(file: Option<&Path>) -> Result<relay::Settings, Report<Failure>> {
    let named = std::env::var_os(SETTINGS_VARIABLE).map(std::path::PathBuf::from);
    let Some(file) = file.map(Path::to_path_buf).or(named) else {
        let hint = format!("give --settings, or set {SETTINGS_VARIABLE}");
        return Err(Failure::report(Exit::Usage, "no settings file was named", hint));
    };
    relay::Settings::load(&file).map_err(|errors| invalid(&errors))
}

/// Loads and checks a profiles file.
pub fn profiles(file: &Path) -> Result<Profiles, Report<Failure>> {
    Profiles::load(file).map_err(|errors| invalid(&errors))
}

/// Reads the token of an operator from `file`. The token may be surrounded by
/// white space.
pub fn token(file: &Path) -> Result<Secret, Report<Failure>> {
    let hint = "the file holds the token alone, on one line";
    let failed = |detail: String| {
        Failure::report(Exit::Usage, format!("--token-file {}: {detail}", file.display()), hint)
    };
    let text = fs::read_to_string(file).map_err(|e| failed(e.to_string()))?;
    Secret::try_from(text.trim()).map_err(failed)
}

fn invalid(errors: &Errors) -> Report<Failure> {
    Failure::report(Exit::Invalid, errors.to_string(), "correct the file and run `check` on it")
}

/// Makes the single-threaded runtime on which a command runs.
pub fn runtime() -> Result<tokio::runtime::Runtime, Report<Failure>> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| {
        Failure::report(Exit::Failed, format!("the async runtime could not be started: {e}"), "")
    })
}
