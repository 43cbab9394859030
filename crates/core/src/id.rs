//! Typed ids, the keys of the tables' rows.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one start of one thread of a VM.
///
/// It is drawn at random at each start, so that ids which contain it are never
/// reused, not even by a VM that restarts under the same name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Origin(pub u64);

macro_rules! sequenced {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name {
            /// The start of the thread that created the id.
            pub origin: Origin,
            /// The number of the id within the origin, from one.
            pub sequence: u64,
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}-{:x}", self.origin.0, self.sequence)
            }
        }
    };
}

sequenced! {
    /// Identifies a caller's request at the entry VM that received it. It is the
    /// request id in the logs of every VM.
    Query
}
sequenced! {
    /// Identifies the part of a query for one shard.
    Leg
}
sequenced! {
    /// Identifies one attempt of a leg at a target. The target echoes it in the
    /// reply, so that a late, misdirected or repeated reply matches no other
    /// attempt.
    Attempt
}
sequenced! {
    /// Identifies a connection to a target.
    Connection
}

/// Generates the ids of one origin.
#[derive(Clone, Debug)]
pub struct Source {
    origin: Origin,
    last: u64,
}

impl Source {
    pub fn new(origin: Origin) -> Source {
        Source { origin, last: 0 }
    }

    /// Returns the origin of every id that this source generates.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    fn next_sequence(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    pub fn query(&mut self) -> Query {
        Query { origin: self.origin, sequence: self.next_sequence() }
    }

    pub fn leg(&mut self) -> Leg {
        Leg { origin: self.origin, sequence: self.next_sequence() }
    }

    pub fn attempt(&mut self) -> Attempt {
        Attempt { origin: self.origin, sequence: self.next_sequence() }
    }

    pub fn connection(&mut self) -> Connection {
        Connection { origin: self.origin, sequence: self.next_sequence() }
    }
}
