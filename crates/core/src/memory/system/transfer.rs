//! Follows the requests that arrive and the answers that are taken.

use crate::{
    memory::{Holder, Tables, Transfer},
    time::Instant,
};

/// Records that bytes of a request arrived.
pub fn receive(tables: &mut Tables, id: Holder, bytes: usize, now: Instant) {
    let Some(row) = tables.rows.get_mut(&id) else { return };
    row.receiving.get_or_insert(Transfer::new(now)).advance(bytes, now);
}

/// Records that a request has arrived whole and is worked on.
pub fn begin_work(tables: &mut Tables, id: Holder) {
    let Some(row) = tables.rows.get_mut(&id) else { return };
    row.receiving = None;
    row.is_working = true;
}

/// Records that a request was answered, so that the answer is on its way out. Of its bytes
/// `attributed` count already, and are dropped with the connection.
pub fn begin_answer(tables: &mut Tables, id: Holder, attributed: usize, now: Instant) {
    tables.attribute(id, attributed);
    let Some(row) = tables.rows.get_mut(&id) else { return };
    row.receiving = None;
    row.is_working = false;
    row.answered += 1;
    row.sending.get_or_insert(Transfer::new(now));
}

/// Records that the network takes no more of an answer at once. The reader is measured from
/// here: what the network took before only filled its buffers.
pub fn wait_for_reader(tables: &mut Tables, id: Holder, now: Instant) {
    let Some(row) = tables.rows.get_mut(&id) else { return };
    row.sending = Some(Transfer::new(now));
}

/// Records that the other side took bytes of an answer.
pub fn send(tables: &mut Tables, id: Holder, bytes: usize, now: Instant) {
    let sending = tables.rows.get_mut(&id).and_then(|row| row.sending.as_mut());
    if let Some(transfer) = sending {
        transfer.advance(bytes, now);
    }
}

/// Records that the other side took the whole answer.
pub fn end_answer(tables: &mut Tables, id: Holder, now: Instant) {
    let Some(row) = tables.rows.get_mut(&id) else { return };
    if row.sending.take().is_some() {
        row.idle_since = now;
        tables.clear_attributed(id);
    }
}
