//! Takes a newer view of the control thread.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::RngExt;

use super::{Context, connect, hop};
use crate::{
    log::{Event, Line},
    name::Name,
    relay::{
        Tables, View,
        table::{target::Target, timer::Timer},
        view,
    },
    time::Instant,
};

/// The time over which VMs spread their first connections to a new target,
/// each of which holds a slot for a moment.
const WARM_UP: Duration = Duration::from_millis(1500);

/// Replaces the view and brings the targets in line with it.
pub fn run(tables: &mut Tables, view: Arc<View>, cx: &mut Context<'_>) {
    let was_current = tables.view.is_current;
    tables.view = view;
    if tables.view.is_current != was_current {
        hop::tell(tables, cx);
    }
    let view = Arc::clone(&tables.view);
    let named = services(&view);
    for (id, entry) in &view.targets {
        update(tables, id, entry, cx);
    }
    let known: Vec<Name> = tables.targets.keys().cloned().collect();
    for id in known {
        if !view.targets.contains_key(&id) {
            retire(tables, &id, cx);
        }
    }
    forget(tables, &named, cx);
    file(tables);
    for (id, entry) in &view.targets {
        if named.contains(&entry.service) {
            warm(tables, id, cx);
        }
    }
}

/// The services that the routes of the configuration name.
fn services(view: &View) -> BTreeSet<Name> {
    let routes = view.config.iter().flat_map(|config| config.hosts.values()).flatten();
    routes.flat_map(|route| route.services()).cloned().collect()
}

fn update(tables: &mut Tables, id: &Name, entry: &Arc<view::Target>, cx: &mut Context<'_>) {
    match tables.targets.get_mut(id) {
        Some(target) if is_same(&target.entry, entry) => {
            if entry.draining && target.is_usable {
                log(id, Event::TargetDraining, cx);
                target.is_usable = false;
            }
            target.entry = Arc::clone(entry);
            if !target.is_usable {
                connect::close_idle(tables, id, cx);
            }
        }
        Some(_) => {
            // It started anew: nothing that was known of it holds.
            connect::forget(tables, id, cx);
            add(tables, id, entry, cx.now);
        }
        None => add(tables, id, entry, cx.now),
    }
}

fn is_same(old: &view::Target, new: &view::Target) -> bool {
    (old.address, old.born, &old.service) == (new.address, new.born, &new.service)
}

fn add(tables: &mut Tables, id: &Name, entry: &Arc<view::Target>, now: Instant) {
    let mut target = Target::new(Arc::clone(entry), now);
    target.is_usable = !entry.draining;
    tables.targets.insert(id.clone(), target);
}

/// Takes a target out that is listed no more; what it runs is waited for.
fn retire(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) {
    let Some(target) = tables.targets.get_mut(id) else { return };
    target.is_usable = false;
    connect::close_idle(tables, id, cx);
    connect::prune(tables, id);
}

/// Drops what is known of routes and services that are named no more. What a
/// service was sent counts until the window of its budget is over.
fn forget(tables: &mut Tables, named: &BTreeSet<Name>, cx: &Context<'_>) {
    let config = tables.view.config.clone();
    let routes = config.iter().flat_map(|config| config.hosts.values()).flatten();
    let routes: BTreeSet<&Name> = routes.map(|route| &route.name).collect();
    tables.route_stats.retain(|route, _| routes.contains(route));
    tables.round_robins.retain(|route, _| routes.contains(route));
    let (now, window) = (cx.now, cx.limits.retry_window);
    tables.budgets.retain(|service, row| named.contains(service) || row.is_used(now, window));
    tables.waiting.retain(|_, queue| !queue.is_empty());
}

/// Files the usable targets under their services.
fn file(tables: &mut Tables) {
    tables.services.clear();
    for (id, target) in &tables.targets {
        if target.is_usable {
            let service = target.entry.service.clone();
            tables.services.entry(service).or_default().insert(id.clone());
        }
    }
}

/// Plans the first connection to a target that has none.
fn warm(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) {
    let Some(target) = tables.targets.get_mut(id) else { return };
    if !target.is_usable || target.is_warmed || !target.connections.is_empty() {
        return;
    }
    target.is_warmed = true;
    let delay = WARM_UP.mul_f64(cx.random.random::<f64>());
    tables.timers.set(cx.now + delay, Timer::Warm(id.clone()));
}

fn log(id: &Name, event: Event, cx: &mut Context<'_>) {
    let fields = vec![("target", id.to_string()), ("source", "list".to_owned())];
    cx.out.lines.push(Line::new(event, fields));
}
