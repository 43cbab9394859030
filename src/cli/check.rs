//! `check`: checks settings and profiles files without running anything.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde::Serialize;

use super::{
    exit::Exit,
    failure::{Failure, Outcome},
    output,
};
use crate::settings::{Settings, error::Errors, profiles::Profiles};

/// Check settings and profiles files and show all that is wrong with them.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --settings deploy/umgeni.toml --profiles deploy/umgeni-profiles.toml"
)]
pub struct Check {
    /// a settings file; may be given more than once
    #[argh(option)]
    pub settings: Vec<PathBuf>,
    /// a profiles file; may be given more than once
    #[argh(option)]
    pub profiles: Vec<PathBuf>,
    /// print the errors as JSON, one list for all files
    #[argh(switch)]
    pub json: bool,
}

/// One error as `--json` prints it.
#[derive(Serialize)]
struct Line<'a> {
    file: &'a str,
    line: usize,
    key: &'a str,
    detail: &'a str,
}

/// Runs `check`. It fails if a file has an error.
pub fn run(command: &Check) -> Outcome {
    let count = command.settings.len() + command.profiles.len();
    if count == 0 {
        return Err(Failure::report(
            Exit::Usage,
            "check was given no file",
            "give --settings FILE or --profiles FILE",
        ));
    }
    let errors = errors(command);
    if command.json {
        print_json(&errors);
    } else if errors.0.is_empty() {
        let files = if count == 1 { "file is" } else { "files are" };
        output::line(&format!("{count} {files} sound"));
    }
    match errors.0.len() {
        0 => Ok(()),
        found if command.json => Err(Failure::report(Exit::Invalid, summary(found), "")),
        found => {
            let detail = format!("{}\n{errors}", summary(found));
            Err(Failure::report(Exit::Invalid, detail, "correct them and run check again"))
        }
    }
}

fn summary(found: usize) -> String {
    if found == 1 { "1 error was found".to_owned() } else { format!("{found} errors were found") }
}

fn errors(command: &Check) -> Errors {
    let settings = |file: &PathBuf| Settings::load(file).err();
    let profiles = |file: &PathBuf| profile_errors(file);
    let of_settings = command.settings.iter().filter_map(settings);
    let of_profiles = command.profiles.iter().filter_map(profiles);
    Errors(of_settings.chain(of_profiles).flat_map(|errors| errors.0).collect())
}

fn profile_errors(file: &Path) -> Option<Errors> {
    Profiles::load(file).err()
}

fn print_json(errors: &Errors) {
    let lines = errors.0.iter().map(|error| Line {
        file: &error.file,
        line: error.line,
        key: &error.key,
        detail: &error.detail,
    });
    let lines: Vec<Line<'_>> = lines.collect();
    // A list of texts and numbers always has a JSON form.
    output::line(&serde_json::to_string(&lines).unwrap_or_default());
}
