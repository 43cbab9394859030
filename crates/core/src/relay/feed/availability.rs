//! Whether the store answers this VM.

use std::time::Duration;

use rand::RngExt;

use super::{
    context::Context,
    entry, probe, progress, report,
    table::{Store, Tables},
};
use crate::log::{Event, Line};

/// Sets whether the view is current, that is, has the newest state of the store.
pub fn set_current(tables: &mut Tables, is_current: bool) {
    tables.is_changed |= std::mem::replace(&mut tables.view.is_current, is_current) != is_current;
}

/// Records that the store answers.
pub fn mark_store_up(tables: &mut Tables, cx: &mut Context<'_>) {
    tables.probe = None;
    if let Store::Down { failures } = std::mem::take(&mut tables.store) {
        entry::extend_missing(tables, cx);
        report::write_again(tables, cx);
        let fields = vec![("failures", failures.to_string())];
        cx.out.lines.push(Line::new(Event::StoreUp, fields));
    }
}

/// Records that a call failed or was not answered, and probes the store until it
/// answers. What to read then depends on the changes that this VM has missed.
pub fn mark_store_down(tables: &mut Tables, detail: &str, cx: &mut Context<'_>) {
    tables.abandon_call();
    set_current(tables, false);
    match &mut tables.store {
        Store::Down { failures } => *failures = failures.saturating_add(1),
        Store::Up => {
            let fields = vec![("detail", detail.to_owned())];
            cx.out.lines.push(Line::new(Event::StoreDown, fields));
            tables.store = Store::Down { failures: 1 };
            progress::announce_doubt(tables, cx);
        }
    }
    if tables.probe.is_none() {
        let at = cx.now + retry_pause(tables, cx);
        probe::start(tables, at);
    }
}

/// Returns the pause after the failures in a row so far. It doubles with each failure
/// up to the limit, and half of it is random.
pub fn retry_pause(tables: &Tables, cx: &mut Context<'_>) -> Duration {
    let failures = if let Store::Down { failures } = tables.store { failures } else { 0 };
    let doublings = failures.saturating_sub(1).min(16);
    let span = cx.limits.first_pause.saturating_mul(1 << doublings).min(cx.limits.longest_pause);
    span.mul_f64(0.5 + 0.5 * cx.random.random::<f64>())
}
