//! Passes each event to the system that handles it.

use super::{call, list, member, probe, profiles, report, request};
use crate::claims;
use crate::control::{
    Event, Message,
    engine::Context,
    message::{Body, Item},
    request::Source,
    table::{Tables, gossip::Key, target::Announcement},
};

/// Passes each event to the system that handles it, in the order of arrival.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>, events: Vec<Event>) {
    for event in events {
        match event {
            Event::Report { thread, report } => report::handle(tables, cx, thread, report),
            Event::Message(message) => handle_message(tables, cx, message),
            Event::Store(outcome) => call::handle(tables, cx, outcome),
            Event::Request { id, request } => request::handle(tables, cx, id, request),
            Event::Leave => leave(tables, cx),
        }
    }
}

fn leave(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.own.leaving() {
        return;
    }
    tables.own.vm.state = crate::view::State::Leaving;
    tables.own.in_flight.clear();
    tables.gossip.add(Key::Member(tables.own.vm.name.clone()));
    tables.vms.rerank = true;
    tables.view_changed = true;
    cx.out.lines.push(crate::log::Line::new(crate::log::Event::Leaving, Vec::new()));
}

/// Handles a message of another VM. The digest is compared last, because the
/// body may carry the very document or list that the digest announces.
fn handle_message(tables: &mut Tables, cx: &mut Context<'_>, message: Message) {
    if message.from == tables.own.vm.name {
        return;
    }
    tables.own.last_received = cx.now;
    tables.vms.last_sender = Some(message.from.clone());
    for item in message.items {
        apply_item(tables, cx, item, &message.from);
    }
    member::confirm_running(tables, cx, &message.from, message.incarnation);
    profiles::merge_revisions(tables, cx, message.revisions);
    let from = &message.from;
    match message.body {
        Body::Ping { probe } => probe::answer_ping(tables, cx, from, probe),
        Body::Ack { probe } => probe::handle_ack(tables, cx, from, probe),
        Body::PingFor { probe, vm, address } => {
            probe::ping_for(tables, cx, from, (probe, vm, address));
        }
        Body::Claims(message) => {
            let event = claims::Event::Message { from: from.clone(), message };
            tables.claims.events.push(event);
        }
        Body::Gossip => {}
        Body::AskDocument => profiles::send(tables, cx, from),
        Body::Document(document) => profiles::apply(tables, cx, document),
        Body::AskList => list::send(tables, cx, from),
        Body::List { vms, targets } => list::adopt(tables, cx, vms, targets, &message.digest),
        Body::Compare { digest } => super::sync::answer_digest(tables, cx, from, digest),
        Body::State { items, wants_reply } => {
            items.into_iter().for_each(|item| apply_item(tables, cx, item, from));
            super::sync::answer_state(tables, cx, from, wants_reply);
        }
    }
    profiles::compare(tables, cx, from, &message.digest);
    list::compare(tables, cx, from, &message.digest);
}

fn apply_item(tables: &mut Tables, cx: &mut Context<'_>, item: Item, from: &crate::name::Name) {
    match item {
        Item::Member(member) => member::apply(tables, cx, member, from),
        Item::Announcement { target, incarnation, draining } => {
            let announcement = Announcement { incarnation, draining };
            list::apply_announcement(tables, cx, &target, announcement, Source::Peer(from.clone()));
        }
        Item::Suspect { fingerprint, target, origin, remaining } => {
            super::quarantine::record_loss(tables, cx, (fingerprint, target, origin), remaining);
        }
        Item::Quarantined { fingerprint, origin, remaining } => {
            super::quarantine::add(tables, cx, fingerprint, origin, remaining);
        }
    }
}
