//! Reads the floor for claims that are stored.
//!
//! A claim is granted only if a read of the floor that began after the claim
//! was stored shows that its slot is not below it. Then the slot had not been
//! removed when the claim was stored, and the value that it went into held
//! every earlier claim of the slot.

use crate::store::Call;

use super::{
    Outbox, Scope, call,
    layout::FLOOR_KEY,
    table::{Purpose, Tables},
};

/// Runs the system.
pub fn run(tables: &mut Tables, scope: &Scope<'_>, out: &mut Outbox) {
    if tables.grants.is_empty() || tables.confirm > scope.now {
        return;
    }
    let grants = std::mem::take(&mut tables.grants);
    let get = Call::Get { key: FLOOR_KEY.to_owned() };
    call(tables, scope, out, Purpose::Confirm { grants }, get);
}
