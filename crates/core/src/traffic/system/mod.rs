//! The systems of a traffic thread, in the order in which a tick runs them.

pub mod refresh;
pub mod collect;
pub mod receive;
pub mod expire;
pub mod intake;
pub mod claim;
pub mod merge;
pub mod plan;
pub mod ready;
pub mod dispatch;
pub mod advertise;
pub mod answer;
pub mod leaving;
pub mod connect;
pub mod job;
pub mod coalesce;
pub mod leg;

use super::{Context, Inbox, Outbox, Tables};

/// Runs every system once.
///
/// Systems that can end a wait run before those that start work, so that a slot
/// that is freed in a tick is used in the same tick and a row whose deadline
/// has passed is never sent.
pub fn run(tables: &mut Tables, cx: &mut Context, inbox: Inbox, out: &mut Outbox) {
    refresh::run(tables, cx, inbox.view, out);
    collect::run(tables, cx, inbox.targets, out);
    receive::run(tables, cx, inbox.peers, out);
    expire::run(tables, cx, out);
    intake::run(tables, cx, inbox.calls, out);
    claim::run(tables, cx, inbox.claims, out);
    merge::run(tables, cx, out);
    plan::run(tables, cx, out);
    ready::run(tables, cx);
    dispatch::run(tables, cx, out);
    advertise::run(tables, cx, out);
    answer::run(tables, cx, out);
    leaving::run(tables, cx, out);
}
