//! Quarantines requests that crash the targets that run them.
//!
//! Without this, a request that crashes every target that runs it, repeated by
//! its callers at any VM, would take down one target of its service each time.

use std::time::Duration;

use super::{Context, leg};
use crate::{
    digest::Fingerprint,
    log::{Event, Line},
    name::Name,
    relay::{
        Loss, Suspicion, Tables,
        message::{Call, CallerRequest},
        table::{attempt::Attempt, suspect},
    },
};

/// Time for which a request is quarantined. Afterwards it is let through, and one
/// more loss quarantines it again.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(60);

/// The longest time that a suspicion is assumed to take to the receiver. A request that
/// another VM sent counts as sent earlier by it, so that it does not seem to follow a loss
/// that it did not follow.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Records an attempt that was lost because its target ended the connection.
pub fn record_loss(
    tables: &mut Tables,
    call: Call,
    attempt: &Attempt,
    loss: &Loss,
    cx: &Context<'_>,
) {
    if !(loss.sent && loss.gone) {
        return;
    }
    let Some(request) = tables.requests.get(&call) else { return };
    let fingerprint = request.caller_request.fingerprint();
    let row = suspect::Loss { sent: attempt.sent, lost: cx.now };
    tables.suspects.record_loss(fingerprint, &attempt.target, row);
}

/// Records that a target refuses connections, tells the other VMs which requests it ran,
/// and quarantines those that this proves to crash targets.
pub fn confirm_crash(tables: &mut Tables, target: &Name, cx: &mut Context<'_>) {
    let now = cx.now;
    let lost = tables.suspects.unconfirmed_on(target).into_iter();
    cx.out.suspicions.extend(lost.map(|(request, loss)| Suspicion::Lost {
        request,
        target: target.clone(),
        sent: now.since(loss.sent),
        lost: now.since(loss.lost),
    }));
    for fingerprint in tables.suspects.confirm_down(target) {
        if quarantine(tables, fingerprint, cx) {
            cx.out.quarantined.push(fingerprint);
        }
    }
}

/// Records what another VM found out. A request that this proves to crash targets is
/// quarantined here too; the VM that lost the second target reports it to the store.
pub fn receive(tables: &mut Tables, suspicions: Vec<Suspicion>, cx: &mut Context<'_>) {
    for suspicion in suspicions {
        match suspicion {
            Suspicion::Lost { request, target, sent, lost } => {
                let row = suspect::Loss {
                    sent: cx.now.before(sent.saturating_add(MAX_DELAY)),
                    lost: cx.now.before(lost),
                };
                if tables.suspects.record_down(request, target, row) {
                    quarantine(tables, request, cx);
                }
            }
            Suspicion::Cleared { request } => {
                tables.suspects.clear_request(request);
            }
        }
    }
}

/// Records that a target answered a request, and tells the VMs that suspect it too.
pub fn clear_request(tables: &mut Tables, request: Fingerprint, cx: &mut Context<'_>) {
    if tables.suspects.clear_request(request) {
        cx.out.suspicions.push(Suspicion::Cleared { request });
    }
}

/// Quarantines a request. Returns false if it is quarantined already.
fn quarantine(tables: &mut Tables, fingerprint: Fingerprint, cx: &mut Context<'_>) -> bool {
    if tables.suspects.is_quarantined(fingerprint, cx.now) {
        return false;
    }
    tables.suspects.quarantined.retain(|_, until| *until > cx.now);
    tables.suspects.quarantined.insert(fingerprint, cx.now + QUARANTINE_DURATION);
    tables.suspects.is_news = true;
    log_quarantine(tables, fingerprint, cx);
    true
}

fn log_quarantine(tables: &Tables, fingerprint: Fingerprint, cx: &mut Context<'_>) {
    let row = tables.suspects.rows.get(&fingerprint);
    let targets = row.map(|row| row.down.keys().map(Name::as_str).collect::<Vec<_>>().join(" "));
    let same = |caller_request: &CallerRequest| caller_request.fingerprint() == fingerprint;
    let request = tables.requests.values().find(|request| same(&request.caller_request));
    let fields = vec![
        ("id", request.map(|request| request.caller_request.id.to_string()).unwrap_or_default()),
        ("fingerprint", fingerprint.to_string()),
        ("targets", targets.unwrap_or_default()),
        ("hold_ms", QUARANTINE_DURATION.as_millis().to_string()),
    ];
    cx.out.lines.push(Line::new(Event::RequestQuarantined, fields));
}

/// Whether a request is quarantined, by this VM or by another one.
pub fn is_quarantined(tables: &Tables, caller_request: &CallerRequest, cx: &Context<'_>) -> bool {
    let (own, others) = (&tables.suspects, &tables.view.quarantined);
    if own.quarantined.is_empty() && others.is_empty() {
        return false;
    }
    let fingerprint = caller_request.fingerprint();
    own.is_quarantined(fingerprint, cx.now) || others.contains(&fingerprint)
}

/// Whether a leg belongs to a quarantined request.
pub fn is_leg_quarantined(
    tables: &Tables,
    key: &crate::relay::table::leg::Key,
    cx: &Context<'_>,
) -> bool {
    let request = tables.requests.get(&key.call);
    request.is_some_and(|request| is_quarantined(tables, &request.caller_request, cx))
}

/// Ends the queued legs of requests that were quarantined since they were queued.
pub fn end_quarantined_legs(tables: &mut Tables, cx: &mut Context<'_>) {
    if !std::mem::take(&mut tables.suspects.is_news) {
        return;
    }
    let queued = tables.legs.iter().filter(|(_, leg)| leg.queued).map(|(key, _)| *key);
    let queued: Vec<_> = queued.collect();
    for key in queued {
        if is_leg_quarantined(tables, &key, cx) {
            leg::give_up(tables, key, cx);
        }
    }
}
