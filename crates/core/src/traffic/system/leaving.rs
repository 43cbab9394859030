//! Reports how much is still in flight while the VM is leaving.

use crate::{
    notice::Report,
    traffic::{Context, Outbox, Tables},
};

/// Reports the number of rows in flight whenever it has changed.
pub fn run(tables: &mut Tables, cx: &Context, out: &mut Outbox) {
    if !cx.view.leaving {
        tables.reported_in_flight = None;
        return;
    }
    let count = tables.in_flight();
    if tables.reported_in_flight != Some(count) {
        tables.reported_in_flight = Some(count);
        out.reports.push(Report::InFlight { count });
    }
}
