//! Slopes of cost: the CPU time, memory and bytes of the tables and systems at
//! several sizes, measured without a deployment.
//!
//! `docs/CAPACITY.md` derives the planned size from these slopes. CPU time is that of
//! the measuring thread, so that other load on the machine affects the spread and
//! hardly the median.

pub mod control;
pub mod entry;
pub mod fixture;
pub mod fleet;
pub mod holding;
pub mod home;
pub mod meter;
pub mod wire;

use std::fmt;

use serde::Serialize;

pub use self::meter::Sample;

/// A figure that was measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    pub part: Part,
    /// What was measured.
    pub figure: &'static str,
    /// The description of the size, such as `19 VMs, at rest`.
    pub size: String,
    pub unit: &'static str,
    #[serde(flatten)]
    pub sample: Sample,
}

/// A part of the tier that is measured separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    /// A traffic thread as entry.
    Entry,
    /// A traffic thread as home.
    Home,
    /// An entry that takes changes of holdings and of the view.
    Holding,
    /// Frames between VMs.
    Wire,
    /// The control thread.
    Control,
}

impl Part {
    /// All parts.
    pub const ALL: [Part; 5] = [Part::Entry, Part::Home, Part::Holding, Part::Wire, Part::Control];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Part::Entry => "entry",
            Part::Home => "home",
            Part::Holding => "holding",
            Part::Wire => "wire",
            Part::Control => "control",
        }
    }

    /// Measures the part. Fleets of control engines have at most `max_vms` VMs.
    pub fn measure(self, max_vms: usize) -> Vec<Slope> {
        match self {
            Part::Entry => entry::measure(),
            Part::Home => home::measure(),
            Part::Holding => holding::measure(),
            Part::Wire => wire::measure(),
            Part::Control => control::measure(max_vms),
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The error for a text that names no part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown {
    pub text: String,
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = Part::ALL.into_iter().map(Part::name).collect();
        write!(f, "{:?} is no part; allowed are {}", self.text, names.join(", "))
    }
}

impl TryFrom<&str> for Part {
    type Error = Unknown;

    fn try_from(text: &str) -> Result<Part, Unknown> {
        let found = Part::ALL.into_iter().find(|part| part.name() == text);
        found.ok_or_else(|| Unknown { text: text.to_owned() })
    }
}
