//! Slopes of cost: what the tables and systems take in processor time, memory
//! and bytes at several sizes, measured without a deployment.
//!
//! `docs/CAPACITY.md` works the planned size out from these slopes. Processor
//! time is that of the measuring thread, so that other load on the machine
//! changes the spread and hardly the median.

pub mod bed;
pub mod control;
pub mod entry;
pub mod fleet;
pub mod holding;
pub mod home;
pub mod meter;
pub mod wire;

use std::fmt;

use serde::Serialize;

pub use self::meter::Sample;

/// A measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// The part that was measured.
    pub part: Part,
    /// What was measured.
    pub figure: &'static str,
    /// The size at which it was measured.
    pub size: String,
    /// The unit of the values.
    pub unit: &'static str,
    /// The median and the spread.
    #[serde(flatten)]
    pub sample: Sample,
}

/// A part of the tier that is measured by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    /// A traffic thread as entry.
    Entry,
    /// A traffic thread as home.
    Home,
    /// Changes of holdings and of the view.
    Holding,
    /// Frames between VMs.
    Wire,
    /// The control thread.
    Control,
}

impl Part {
    /// Every part.
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

    /// Measures the part, with fleets of at most `most` VMs.
    pub fn measure(self, most: usize) -> Vec<Slope> {
        match self {
            Part::Entry => entry::measure(),
            Part::Home => home::measure(),
            Part::Holding => holding::measure(),
            Part::Wire => wire::measure(),
            Part::Control => control::measure(most),
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A name that is no part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// What was given.
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
