//! Formats profiles, changes and revisions as text.

use std::collections::BTreeMap;

use laburnum_core::{
    control::request::Difference,
    name::Name,
    profile::{Profile, Raw, Revision},
};
use serde::Deserialize;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::cli::output::{self, Table};

/// The answer to `profile show`: the profiles in force.
#[derive(Clone, Debug, Deserialize)]
pub struct Show {
    revision: Revision,
    confirmed: bool,
    profiles: BTreeMap<Name, Profile>,
}

/// The answer to `profile diff`: the changes that a document would make.
#[derive(Clone, Debug, Deserialize)]
pub struct Changes {
    revision: Revision,
    changes: Vec<Difference>,
}

/// The answer to `profile history`: the audit trail.
#[derive(Clone, Debug, Deserialize)]
pub struct History {
    records: Vec<Record>,
}

#[derive(Clone, Debug, Deserialize)]
struct Record {
    revision: Revision,
    who: String,
    at_ms: u64,
    note: String,
    changes: Option<Vec<Difference>>,
}

/// The answer to `profile status`: on which VMs a revision is in force.
#[derive(Clone, Debug, Deserialize)]
pub struct Status {
    revision: Revision,
    in_force: usize,
    vms: Vec<VmStatus>,
}

#[derive(Clone, Debug, Deserialize)]
struct VmStatus {
    vm: Name,
    revision: Option<Revision>,
    heard_ms: Option<u64>,
    confirmed_ms: Option<u64>,
    silent: bool,
}

/// Describes the profiles as a file that can be published.
pub fn show(show: &Show) -> String {
    let Revision(revision) = show.revision;
    let confirmation = if show.confirmed {
        "confirmed by the platform's service"
    } else {
        "as this VM knows it; the platform's service did not confirm it"
    };
    let tables = show.profiles.iter().map(|(name, profile)| table(name, profile));
    format!("# revision {revision}, {confirmation}\n{}", tables.collect::<String>())
}

fn table(name: &Name, profile: &Profile) -> String {
    let raw = Raw::from(profile.clone());
    format!(
        "\n[profile.\"{name}\"]\nteam = \"{}\"\nindex = \"{}\"\ncoverage_ppm = {}\n\
         deadline_ms = {}\ntail_ms = {}\nextra_load_ppm = {}\nconcurrency = {}\npriority = {}\n\
         canary = {}\n",
        raw.team,
        raw.index,
        raw.coverage_ppm,
        raw.deadline.as_millis(),
        raw.tail.as_millis(),
        raw.extra_load_ppm,
        raw.concurrency,
        raw.priority,
        raw.canary,
    )
}

/// Describes the changes that a document would make.
pub fn changes(changes: &Changes) -> String {
    let Revision(revision) = changes.revision;
    let heading = format!("compared with revision {revision}:");
    format!("{heading}\n{}", differences(&changes.changes))
}

/// Describes changes, one on each line.
pub fn differences(changes: &[Difference]) -> String {
    if changes.is_empty() {
        return "no changes\n".to_owned();
    }
    changes.iter().map(|change| format!("  {}\n", difference(change))).collect()
}

fn difference(change: &Difference) -> String {
    let Difference { profile, field, before, after } = change;
    match (field, before, after) {
        (Some(field), Some(before), Some(after)) => {
            format!("{profile}.{field}: {before} -> {after}")
        }
        (_, None, _) => format!("{profile}: added"),
        (_, _, None) => format!("{profile}: removed"),
        (None, _, _) => format!("{profile}: changed"),
    }
}

/// Describes the audit trail, oldest first.
pub fn history(history: &History) -> String {
    if history.records.is_empty() {
        return "nothing was published yet".to_owned();
    }
    history.records.iter().map(record).collect()
}

fn record(record: &Record) -> String {
    let at = timestamp(record.at_ms);
    let mut text = format!("revision {} by {} at {at}", record.revision.0, record.who);
    if !record.note.is_empty() {
        text.push_str(&format!(" ({})", record.note));
    }
    text.push('\n');
    match &record.changes {
        Some(changes) => text.push_str(&differences(changes)),
        None => text.push_str("  no record before it is kept\n"),
    }
    text
}

/// Formats milliseconds since the Unix epoch in RFC 3339.
fn timestamp(millis: u64) -> String {
    let nanos = i128::from(millis) * 1_000_000;
    let at = OffsetDateTime::from_unix_timestamp_nanos(nanos).ok();
    at.and_then(|at| at.format(&Rfc3339).ok()).unwrap_or_else(|| format!("{millis} ms"))
}

/// Describes on which VMs a revision is in force.
pub fn status(status: &Status) -> String {
    let silent: Vec<&str> =
        status.vms.iter().filter(|row| row.silent).map(|row| row.vm.as_str()).collect();
    let mut table = Table::new(&["vm", "revision", "heard", "confirmed", "silent"]);
    for row in &status.vms {
        table.row(vec![
            row.vm.to_string(),
            row.revision.map_or("unknown".to_owned(), |revision| revision.0.to_string()),
            row.heard_ms.map_or("never".to_owned(), output::ago),
            row.confirmed_ms.map_or("never".to_owned(), output::ago),
            if row.silent { "yes" } else { "no" }.to_owned(),
        ]);
    }
    let silent = if silent.is_empty() { "none".to_owned() } else { silent.join(", ") };
    format!(
        "revision {} is in force on {} of {} VMs; silent: {silent}\n{table}",
        status.revision.0,
        status.in_force,
        status.vms.len(),
    )
}
