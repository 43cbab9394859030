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
        Loss, Quarantine, Suspicion, Tables,
        message::{Call, CallerRequest},
        table::{
            attempt::Attempt,
            suspect::{self, FIRST_HOLD},
        },
    },
};

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
        if let Some(hold) = quarantine(tables, fingerprint, cx) {
            cx.out.quarantined.push(Quarantine { request: fingerprint, hold });
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

/// Quarantines a request and returns how long, unless it is quarantined already.
fn quarantine(
    tables: &mut Tables,
    fingerprint: Fingerprint,
    cx: &mut Context<'_>,
) -> Option<Duration> {
    if tables.suspects.is_quarantined(fingerprint, cx.now) {
        return None;
    }
    let targets = down_targets(tables, fingerprint);
    let hold = tables.suspects.quarantine(fingerprint, cx.now);
    log_quarantine(tables, fingerprint, targets, hold, cx);
    Some(hold)
}

/// Formats the targets that a request is known to have crashed for a log line.
fn down_targets(tables: &Tables, fingerprint: Fingerprint) -> String {
    let row = tables.suspects.rows.get(&fingerprint);
    let names = row.map(|row| row.down.keys().map(Name::as_str).collect::<Vec<_>>());
    names.unwrap_or_default().join(" ")
}

fn log_quarantine(
    tables: &Tables,
    fingerprint: Fingerprint,
    targets: String,
    hold: Duration,
    cx: &mut Context<'_>,
) {
    let same = |caller_request: &CallerRequest| caller_request.fingerprint() == fingerprint;
    let request = tables.requests.values().find(|request| same(&request.caller_request));
    let fields = vec![
        ("id", request.map(|request| request.caller_request.id.to_string()).unwrap_or_default()),
        ("fingerprint", fingerprint.to_string()),
        ("targets", targets),
        ("hold_ms", hold.as_millis().to_string()),
    ];
    cx.out.lines.push(Line::new(Event::RequestQuarantined, fields));
}

/// Returns how much longer a request is quarantined, by this VM or by another one. The
/// entry of another VM does not state its end.
pub fn quarantine_left(
    tables: &Tables,
    caller_request: &CallerRequest,
    cx: &Context<'_>,
) -> Option<Duration> {
    let (own, others) = (&tables.suspects, &tables.view.quarantined);
    if own.quarantined.is_empty() && others.is_empty() {
        return None;
    }
    let fingerprint = caller_request.fingerprint();
    let by_others = others.contains(&fingerprint).then_some(FIRST_HOLD);
    own.time_left(fingerprint, cx.now).or(by_others)
}

/// Whether a leg belongs to a quarantined request.
pub fn is_leg_quarantined(
    tables: &Tables,
    key: &crate::relay::table::leg::Key,
    cx: &Context<'_>,
) -> bool {
    let request = tables.requests.get(&key.call);
    request.is_some_and(|request| quarantine_left(tables, &request.caller_request, cx).is_some())
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
