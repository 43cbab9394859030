//! Shared immutable names.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The maximum length of a name in bytes.
pub const MAX_LENGTH: usize = 96;

/// The name of a VM, failure domain, target, index, shard, team or profile.
///
/// Names are compared and cloned far more often than they are created, so each
/// is a shared immutable allocation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}

/// The error for a text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_LENGTH`] bytes.
    TooLong { text: String },
    /// The text contains a character other than `a-z 0-9 . _ -`.
    Character { text: String, found: char },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Empty => f.write_str("a name must not be empty"),
            Error::TooLong { text } => {
                write!(f, "name {text:?} is longer than {MAX_LENGTH} bytes")
            }
            Error::Character { text, found } => {
                write!(f, "name {text:?} holds {found:?}; allowed are a-z, 0-9, '.', '_' and '-'")
            }
        }
    }
}

impl std::error::Error for Error {}

impl TryFrom<&str> for Name {
    type Error = Error;

    fn try_from(text: &str) -> Result<Name, Error> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_LENGTH {
            return Err(Error::TooLong { text: text.to_owned() });
        }
        match text.chars().find(|&c| !is_allowed(c)) {
            Some(found) => Err(Error::Character { text: text.to_owned(), found }),
            None => Ok(Name(Arc::from(text))),
        }
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Name, Error> {
        Name::try_from(text.as_str())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.to_string()
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '.' | '_' | '-')
}
