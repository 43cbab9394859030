//! Holds back requests that crash the targets that run them.
//!
//! The load pattern that it answers: a request that no target survives comes
//! again and again, at any VM, and takes a target of its service away each time.

use std::time::Duration;

use super::{Context, leg};
use crate::{
    digest::Fingerprint,
    log::{Event, Line},
    name::Name,
    relay::{
        Loss, Tables,
        message::{Call, Inquiry},
        table::{attempt::Attempt, suspect},
    },
};

/// The time for which a request is held back. After it the next one is a trial:
/// one more loss holds it back again.
pub const HOLD: Duration = Duration::from_secs(60);

/// Notes an attempt whose target ended the connection.
pub fn note(tables: &mut Tables, call: Call, attempt: &Attempt, loss: &Loss, cx: &Context<'_>) {
    if !(loss.sent && loss.gone) {
        return;
    }
    let Some(request) = tables.requests.get(&call) else { return };
    let fingerprint = request.inquiry.fingerprint();
    let row = suspect::Loss { sent: attempt.sent, lost: cx.now };
    tables.suspects.note(fingerprint, &attempt.target, row);
}

/// Notes that a target refuses connections, and holds back the requests that
/// are proven by it to crash targets.
pub fn confirm(tables: &mut Tables, target: &Name, cx: &mut Context<'_>) {
    for fingerprint in tables.suspects.confirm(target) {
        if tables.suspects.is_held(fingerprint, cx.now) {
            continue;
        }
        tables.suspects.held.retain(|_, until| *until > cx.now);
        tables.suspects.held.insert(fingerprint, cx.now + HOLD);
        log(tables, fingerprint, cx);
        cx.out.held.push(fingerprint);
    }
}

fn log(tables: &Tables, fingerprint: Fingerprint, cx: &mut Context<'_>) {
    let row = tables.suspects.rows.get(&fingerprint);
    let targets = row.map(|row| row.down.keys().map(Name::as_str).collect::<Vec<_>>().join(" "));
    let same = |inquiry: &Inquiry| inquiry.fingerprint() == fingerprint;
    let request = tables.requests.values().find(|request| same(&request.inquiry));
    let fields = vec![
        ("id", request.map(|request| request.inquiry.id.to_string()).unwrap_or_default()),
        ("fingerprint", fingerprint.to_string()),
        ("targets", targets.unwrap_or_default()),
        ("hold_ms", HOLD.as_millis().to_string()),
    ];
    cx.out.lines.push(Line::new(Event::RequestQuarantined, fields));
}

/// Whether a request is held back, by this VM or by another one.
pub fn is_held(tables: &Tables, inquiry: &Inquiry, cx: &Context<'_>) -> bool {
    let (own, others) = (&tables.suspects, &tables.view.held);
    if own.held.is_empty() && others.is_empty() {
        return false;
    }
    let fingerprint = inquiry.fingerprint();
    own.is_held(fingerprint, cx.now) || others.contains(&fingerprint)
}

/// Whether a leg belongs to a request that is held back.
pub fn holds(tables: &Tables, key: &crate::relay::table::leg::Key, cx: &Context<'_>) -> bool {
    let request = tables.requests.get(&key.call);
    request.is_some_and(|request| is_held(tables, &request.inquiry, cx))
}

/// Ends the legs that wait although their request is held back by now.
pub fn stop(tables: &mut Tables, cx: &mut Context<'_>) {
    if cx.out.held.is_empty() {
        return;
    }
    let queued = tables.legs.iter().filter(|(_, leg)| leg.queued).map(|(key, _)| *key);
    let queued: Vec<_> = queued.collect();
    for key in queued {
        if holds(tables, &key, cx) {
            leg::give_up(tables, key, cx);
        }
    }
}
