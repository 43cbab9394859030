//! `slope`: measures the resource use of the tier at several sizes.

use argh::FromArgs;

use super::{failure::Outcome, output, value};
use crate::slope::{Part, Slope};

/// Measure the processor time, memory and bytes of the tier at several sizes.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "slope",
    example = "{command_name} --part entry",
    note = "docs/CAPACITY.md works the planned size out from these figures. Memory is measured\nbest with one part for each run."
)]
pub struct Arguments {
    /// entry, home, holding, wire or control; all of them if not given
    #[argh(option, from_str_fn(value::part))]
    pub part: Option<Part>,
    /// the largest fleet of control engines, of 5, 19, 60, 200 and 600 VMs
    #[argh(option, default = "200")]
    pub vms: usize,
    /// print the figures as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measures the requested parts and prints a table, or JSON lines with `--json`.
pub fn run(arguments: &Arguments) -> Outcome {
    let parts = arguments.part.map_or(Part::ALL.to_vec(), |part| vec![part]);
    let slopes: Vec<Slope> =
        parts.into_iter().flat_map(|part| part.measure(arguments.vms)).collect();
    if arguments.json {
        let lines = slopes.iter().filter_map(|slope| serde_json::to_string(slope).ok());
        lines.for_each(|line| output::line(&line));
    } else {
        output::line(table(&slopes).to_string().trim_end());
    }
    Ok(())
}

fn table(slopes: &[Slope]) -> output::Table {
    let mut table =
        output::Table::new(&["PART", "FIGURE", "SIZE", "MEDIAN", "LEAST", "MOST", "UNIT"]);
    for slope in slopes {
        table.row(vec![
            slope.part.to_string(),
            slope.figure.to_owned(),
            slope.size.clone(),
            format!("{:.2}", slope.sample.median),
            format!("{:.2}", slope.sample.least),
            format!("{:.2}", slope.sample.most),
            slope.unit.to_owned(),
        ]);
    }
    table
}
