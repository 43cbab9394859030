//! Hands each event to the system that it concerns.

use super::{call, list, member, probe, profiles, report, request};
use crate::claims;
use crate::control::{
    Event, Message,
    engine::Step,
    message::{Body, Item},
    request::Source,
    table::{Tables, news::Key, target::Word},
};

/// Hands each event to the system that it concerns, in the order of arrival.
pub fn run(tables: &mut Tables, step: &mut Step<'_>, events: Vec<Event>) {
    for event in events {
        match event {
            Event::Report { thread, report } => report::take(tables, step, thread, report),
            Event::Message(message) => hear(tables, step, message),
            Event::Reply { call, reply } => call::take(tables, step, call, reply),
            Event::Request { id, request } => request::take(tables, step, id, request),
            Event::Leave => leave(tables, step),
        }
    }
}

fn leave(tables: &mut Tables, step: &mut Step<'_>) {
    if tables.own.leaving() {
        return;
    }
    tables.own.vm.state = crate::view::State::Leaving;
    tables.own.in_flight.clear();
    tables.gossip.add(Key::Member(tables.own.vm.name.clone()));
    tables.vms.rerank = true;
    tables.changed = true;
    step.out.lines.push(crate::log::Line::new(crate::log::Event::Leaving, Vec::new()));
}

/// Takes the message of another VM. What it holds is compared last, because the
/// body may bring just that.
fn hear(tables: &mut Tables, step: &mut Step<'_>, message: Message) {
    if message.from == tables.own.vm.name {
        return;
    }
    tables.own.heard = step.now;
    tables.vms.heard = Some(message.from.clone());
    for item in message.items {
        learn(tables, step, item, &message.from);
    }
    member::speak(tables, step, &message.from, message.incarnation);
    profiles::rows(tables, step, message.rows);
    let from = &message.from;
    match message.body {
        Body::Ping { probe } => probe::ping(tables, step, from, probe),
        Body::Ack { probe } => probe::ack(tables, step, from, probe),
        Body::PingFor { probe, vm, address } => {
            probe::relay(tables, step, from, (probe, vm, address));
        }
        Body::Claims(message) => {
            let event = claims::Event::Message { from: from.clone(), message };
            tables.claims.events.push(event);
        }
        Body::News => {}
        Body::AskDocument => profiles::tell(tables, step, from),
        Body::Document(document) => profiles::apply(tables, step, document),
        Body::AskList => list::tell(tables, step, from),
        Body::List { vms, targets } => list::adopt(tables, step, vms, targets, &message.digest),
        Body::Compare { digest } => super::compare::answer(tables, step, from, digest),
        Body::State { items, back } => {
            items.into_iter().for_each(|item| learn(tables, step, item, from));
            super::compare::complete(tables, step, from, back);
        }
    }
    profiles::compare(tables, step, from, &message.digest);
    list::compare(tables, step, from, &message.digest);
}

fn learn(tables: &mut Tables, step: &mut Step<'_>, item: Item, from: &crate::name::Name) {
    match item {
        Item::Member(member) => member::learn(tables, step, member, from),
        Item::Word { target, incarnation, draining } => {
            let word = Word { incarnation, draining };
            list::word(tables, step, &target, word, Source::Peer(from.clone()));
        }
        Item::Suspect { fingerprint, target, origin, remaining } => {
            super::quarantine::suspect(tables, step, (fingerprint, target, origin), remaining);
        }
        Item::Condemned { fingerprint, origin, remaining } => {
            super::quarantine::condemn(tables, step, fingerprint, origin, remaining);
        }
    }
}
