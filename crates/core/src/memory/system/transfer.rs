//! Follows the requests that arrive and the answers that are taken.

use std::time::Duration;

use crate::{
    memory::{Holder, Tables, Transfer},
    time::Instant,
};

/// Records that bytes of a request arrived.
pub fn receive(tables: &mut Tables, id: Holder, bytes: usize, now: Instant) {
    let Some(row) = tables.rows.get_mut(&id) else { return };
    row.receiving.get_or_insert(Transfer::new(now)).moved += bytes;
}

/// Records that a request has arrived whole and is worked on.
pub fn begin_work(tables: &mut Tables, id: Holder) {
    let Some(row) = tables.rows.get_mut(&id) else { return };
    row.receiving = None;
    row.is_working = true;
}

/// Records that a request was answered, so that the answer is on its way out. Of its bytes
/// `lent` count already, and are dropped with the connection.
pub fn begin_answer(tables: &mut Tables, id: Holder, lent: usize, now: Instant) {
    tables.lend(id, lent);
    let Some(row) = tables.rows.get_mut(&id) else { return };
    row.receiving = None;
    row.is_working = false;
    row.answered += 1;
    row.sending.get_or_insert(Transfer::new(now));
}

/// Records that the network takes no more of an answer at once. The reader is measured from
/// here: what the network took before only filled its buffers.
pub fn wait_for_reader(tables: &mut Tables, id: Holder, now: Instant) {
    let sending = tables.rows.get_mut(&id).and_then(|row| row.sending.as_mut());
    if let Some(transfer) = sending {
        *transfer = Transfer::new(now);
    }
}

/// Records that the other side took bytes of an answer.
pub fn send(tables: &mut Tables, id: Holder, bytes: usize) {
    let sending = tables.rows.get_mut(&id).and_then(|row| row.sending.as_mut());
    if let Some(transfer) = sending {
        transfer.moved += bytes;
    }
}

/// Records that the other side took the whole answer.
pub fn end_answer(tables: &mut Tables, id: Holder, now: Instant) {
    let Some(row) = tables.rows.get_mut(&id) else { return };
    if row.sending.take().is_some() {
        row.idle_since = now;
        tables.take_back(id);
    }
}

/// Returns the time from the start of a transfer after which a reader is too slow: a reader
/// that takes nothing has `patience`, and each byte that it takes gives it as much time as
/// `min_rate` allows, in bytes a second. A byte now and then buys next to no time.
pub fn allowed_time(moved: usize, patience: Duration, min_rate: usize) -> Duration {
    let micros = (moved as u64).saturating_mul(1_000_000) / min_rate.max(1) as u64;
    patience.saturating_add(Duration::from_micros(micros))
}
