//! `load`: sends queries at seeded times and reports the results.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use argh::FromArgs;
use error_stack::{Report, ResultExt};
use laburnum_core::name::Name;
use serde::Serialize;

use super::{
    exit::Exit,
    failure::{Cause, Failure, Outcome},
    output, value,
};
use crate::{
    load::{
        arrival, check, cost, driver, measurement, report, sample,
        scenario::{self, Scenario},
        scene::{SCENES, Scene},
        scheme::{SCHEMES, Scheme},
    },
    local::Caller,
};

/// Send searches at seeded times, whatever the answers take, and print latency,
/// coverage, extra load and refusals. Without --entry it starts a platform, VMs
/// and targets in this process.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} --compare --check --out result.json",
    example = "{command_name} --scene steady-60 --scheme homes",
    example = "{command_name} --entry 127.0.0.1:8080 --profile renewal --rate 100 --seconds 10"
)]
pub struct Load {
    /// where a VM of a running deployment listens for callers; may be given more
    /// than once
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// the profile of the searches, with --entry
    #[argh(option, from_str_fn(value::name))]
    pub profile: Option<Name>,
    /// the searches a second, with --entry
    #[argh(option, default = "100")]
    pub rate: u32,
    /// the length of each measurement in seconds
    #[argh(option, default = "20")]
    pub seconds: u32,
    /// the seed of arrivals and texts
    #[argh(option, default = "1")]
    pub seed: u64,
    /// the searches in a hundred that ask for one of a few texts
    #[argh(option, default = "0")]
    pub identical: u32,
    /// the scenario file, in place of the sizes of Umgeni
    #[argh(option)]
    pub scenario: Option<PathBuf>,
    /// the load and fault to measure; may be given more than once; all if absent
    #[argh(option, from_str_fn(parse_scene))]
    pub scene: Vec<Scene>,
    /// the policies to measure; may be given more than once
    #[argh(option, from_str_fn(parse_scheme))]
    pub scheme: Vec<Scheme>,
    /// measure every set of policies, side by side
    #[argh(switch)]
    pub compare: bool,
    /// hold the results against the targets; fail if one is not met
    #[argh(switch)]
    pub check: bool,
    /// measure what queries of this many legs cost the engine, without sockets;
    /// may be given more than once
    #[argh(option)]
    pub cost: Vec<u32>,
    /// write the results as JSON to this file
    #[argh(option)]
    pub out: Option<PathBuf>,
}

fn parse_scene(text: &str) -> Result<Scene, String> {
    let names: Vec<&str> = SCENES.iter().map(|scene| scene.name).collect();
    Scene::named(text).ok_or_else(|| format!("allowed are {}", names.join(", ")))
}

fn parse_scheme(text: &str) -> Result<Scheme, String> {
    let names: Vec<&str> = SCHEMES.iter().map(|scheme| scheme.name).collect();
    Scheme::named(text).ok_or_else(|| format!("allowed are {}", names.join(", ")))
}

/// Runs `load`. Without `--entry` and `--cost` it measures a deployment that it
/// starts itself.
pub fn run(command: &Load) -> Outcome {
    if !command.cost.is_empty() {
        return measure_cost(command);
    }
    let runtime = value::runtime()?;
    if command.entry.is_empty() {
        runtime.block_on(measure(command))
    } else {
        runtime.block_on(measure_running(command))
    }
}

fn arrival_params(command: &Load) -> arrival::Params {
    arrival::Params {
        seed: command.seed,
        duration: Duration::from_secs(u64::from(command.seconds)),
        identical_percent: command.identical,
    }
}

fn read_scenario(command: &Load) -> Result<Scenario, Report<Failure>> {
    let text = match &command.scenario {
        Some(file) => fs::read_to_string(file).map_err(|e| {
            Failure::report(Exit::Usage, format!("{}: {e}", file.display()), "give a scenario file")
        })?,
        None => scenario::DEFAULT_TOML.to_owned(),
    };
    Scenario::try_from(text.as_str()).map_err(|e| {
        Failure::report(Exit::Invalid, format!("{e:?}"), "deploy/load-umgeni.toml is an example")
    })
}

/// Measures the engine alone, without sockets.
fn measure_cost(command: &Load) -> Outcome {
    output::line(cost::HEADING);
    let mut costs = Vec::new();
    for &legs in command.cost.iter().filter(|&&legs| legs > 0) {
        let cost = cost::measure(legs);
        output::line(&cost.line());
        costs.push(cost);
    }
    match &command.out {
        Some(file) => write_json(file, &costs),
        None => Ok(()),
    }
}

/// Writes results to a file as JSON.
fn write_json(file: &Path, results: &impl Serialize) -> Outcome {
    let failed = || Failure {
        exit: Exit::Failed,
        detail: format!("{} cannot be written", file.display()),
        hint: String::new(),
    };
    let json = serde_json::to_string_pretty(results).change_context_lazy(failed)?;
    fs::write(file, json).change_context_lazy(failed)
}

/// Measures every requested scheme under every requested scene. Without
/// `--scheme` it measures the first scheme, that of the product.
async fn measure(command: &Load) -> Outcome {
    let scenario = read_scenario(command)?;
    let scenes = if command.scene.is_empty() { SCENES } else { &command.scene };
    let default_schemes = SCHEMES.get(..1).unwrap_or_default();
    let schemes = match (command.compare, command.scheme.is_empty()) {
        (true, _) => SCHEMES,
        (false, true) => default_schemes,
        (false, false) => &command.scheme,
    };
    let mut document = report::Document {
        seed: command.seed,
        seconds: command.seconds,
        ..report::Document::default()
    };
    report::heading().iter().for_each(|line| output::line(line));
    for &scene in scenes {
        for &scheme in schemes {
            let spec = measurement::Spec {
                scenario: &scenario,
                scheme,
                scene,
                arrivals: arrival_params(command),
            };
            let rows = measurement::run(spec).await.map_err(|report| {
                let cause = Cause(format!("{report:?}"));
                Failure::report(Exit::Failed, report.to_string(), "").attach(cause)
            })?;
            rows.iter().for_each(|row| output::line(&row.line()));
            document.rows.extend(rows);
        }
    }
    document.rows.iter().flat_map(report::Row::notes).for_each(|note| output::line(&note));
    finish(command, document)
}

/// Checks the results with `--check`, prints the findings and writes the file.
/// It fails if a finding is not met.
fn finish(command: &Load, mut document: report::Document) -> Outcome {
    if command.check {
        document.findings = check::check(&document.rows);
        document.findings.iter().for_each(|finding| output::line(&finding.line()));
    }
    if let Some(file) = &command.out {
        write_json(file, &document)?;
    }
    let failed = document.findings.iter().filter(|finding| !finding.met).count();
    if failed > 0 {
        let detail = format!("{failed} of {} targets are not met", document.findings.len());
        return Err(Failure::report(Exit::Failed, detail, "docs/MEASUREMENTS.md says why"));
    }
    Ok(())
}

/// Sends searches to a running deployment and prints a summary of the answers.
async fn measure_running(command: &Load) -> Outcome {
    let Some(profile) = command.profile.clone() else {
        return Err(Failure::report(
            Exit::Usage,
            "--profile is missing",
            "--entry needs a profile",
        ));
    };
    let caller = Caller::new()
        .map_err(|e| Failure::report(Exit::Failed, format!("no HTTP client: {e}"), ""))?;
    let arrivals = arrival::draw_at_rate(f64::from(command.rate.max(1)), arrival_params(command));
    let entries = driver::Entries::new(command.entry.clone());
    let start = std::time::Instant::now();
    let samples = driver::send_all(arrivals, &[profile], &entries, &caller, start).await;
    let summary = sample::summary(samples.iter());
    let json = serde_json::to_string_pretty(&summary)
        .map_err(|e| Failure::report(Exit::Failed, e.to_string(), ""))?;
    output::line(&json);
    match &command.out {
        Some(file) => write_json(file, &summary),
        None => Ok(()),
    }
}
