//! Small typed ids that key the rows of the tables.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One start of one thread of one VM.
///
/// It is drawn at random at each start, so that ids which carry it are never
/// used twice, not even by a VM that restarts under the same name.
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
            /// The start of the thread that made the id.
            pub origin: Origin,
            /// Counts up from one within the origin.
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
    /// A caller's request at the entry VM that took it. It is the request id in
    /// the logs of every VM.
    Query
}
sequenced! {
    /// The part of a query that goes to one shard.
    Leg
}
sequenced! {
    /// One try of a leg at one target. The target echoes it in the reply, so
    /// that a late, crossed or doubled reply matches no other try.
    Attempt
}
sequenced! {
    /// A connection to a target.
    Connection
}

/// Hands out the sequence numbers of one origin.
#[derive(Clone, Debug)]
pub struct Source {
    origin: Origin,
    last: u64,
}

impl Source {
    /// Starts counting for `origin`.
    pub fn new(origin: Origin) -> Source {
        Source { origin, last: 0 }
    }

    /// The origin that every id of this source carries.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    fn step(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Makes the id of a new query.
    pub fn query(&mut self) -> Query {
        Query { origin: self.origin, sequence: self.step() }
    }

    /// Makes the id of a new leg.
    pub fn leg(&mut self) -> Leg {
        Leg { origin: self.origin, sequence: self.step() }
    }

    /// Makes the id of a new attempt.
    pub fn attempt(&mut self) -> Attempt {
        Attempt { origin: self.origin, sequence: self.step() }
    }

    /// Makes the id of a new connection.
    pub fn connection(&mut self) -> Connection {
        Connection { origin: self.origin, sequence: self.step() }
    }
}
