//! Reads the floor to confirm claims that are stored.
//!
//! A claim is granted only if a read of the floor that began after the claim
//! was stored shows that its slot is not below the floor. The slot had then not
//! been removed when the claim was stored, so the value that the claim was
//! added to held every earlier claim of its bucket.

use crate::store::Call;

use super::{
    Context, Outbox,
    layout::FLOOR_KEY,
    start_call,
    table::{Purpose, Tables},
};

/// Starts one read of the floor for all claims that wait for it.
pub fn run(tables: &mut Tables, context: &Context<'_>, out: &mut Outbox) {
    if tables.grants.is_empty() || tables.next_confirm > context.now {
        return;
    }
    let grants = std::mem::take(&mut tables.grants);
    let get = Call::Get { key: FLOOR_KEY.to_owned() };
    start_call(tables, context, out, Purpose::Confirm { grants }, get);
}
