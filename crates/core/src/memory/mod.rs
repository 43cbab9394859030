//! What a process holds for others, in one table, and who has to go when it is too much.
//!
//! Each connection that others opened is a row. A row counts the bytes that the process
//! holds for it: the request on its way in, and the answer on its way out. Bytes that
//! outlive their connection, such as the body of a request that another VM has, count until
//! they are dropped. Each reply of a target on its way in is a row of its own. The systems
//! admit connections and bytes, and choose the connections that are closed and the replies
//! that are given up to make room. See `docs/design/memory.md`.
//!
//! The threads of a process share one [`Tables`]; each call is a tick of its own.

pub mod limits;
pub mod system;
pub mod table;

pub use self::{
    limits::Limits,
    table::{Holder, Link, Party, Port, Reply, Row, Tables, Transfer},
};

/// What bytes are held for, which decides how much of the limit they may fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A request on its way in, or one that waits.
    Request,
    /// A reply of a target, or an answer on its way out. The work for it is done, so it
    /// may fill what requests leave free.
    Answer,
}

/// There is no room, and no connection that could be closed to make some.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl std::fmt::Display for Full {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the VM holds as much for others as it has room for")
    }
}

impl std::error::Error for Full {}
