//! Applies a newer view from the control thread.

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

/// Period over which VMs spread their first connections to a new target, because
/// each connection occupies a slot of the target for a moment.
const WARM_UP_SPREAD: Duration = Duration::from_millis(1500);

/// Replaces the view and updates the targets to match it.
pub fn apply_view(tables: &mut Tables, view: Arc<View>, cx: &mut Context<'_>) {
    let before = hop::own_state(tables);
    tables.view = view;
    if hop::own_state(tables) != before {
        hop::send_state(tables, cx);
    }
    let view = Arc::clone(&tables.view);
    let named = named_services(&view);
    for (id, entry) in &view.targets {
        update(tables, id, entry, cx);
    }
    let known: Vec<Name> = tables.targets.keys().cloned().collect();
    for id in known {
        if !view.targets.contains_key(&id) {
            retire(tables, &id, cx);
        }
    }
    prune_unnamed(tables, &named, cx);
    index_by_service(tables);
    for (id, entry) in &view.targets {
        if named.contains(&entry.service) {
            schedule_first_connection(tables, id, cx);
        }
    }
}

/// Returns the services that the routes of the configuration name.
fn named_services(view: &View) -> BTreeSet<Name> {
    let routes = view.config.iter().flat_map(|config| config.hosts.values()).flatten();
    routes.flat_map(|route| route.services()).cloned().collect()
}

fn update(tables: &mut Tables, id: &Name, entry: &Arc<view::Target>, cx: &mut Context<'_>) {
    match tables.targets.get_mut(id) {
        Some(target) if is_same_incarnation(&target.entry, entry) => {
            if std::mem::replace(&mut target.is_unlisted, false) {
                target.is_usable = !target.entry.draining;
            }
            if entry.draining && target.is_usable {
                log_target(id, Event::TargetDraining, cx);
                target.is_usable = false;
            }
            target.entry = Arc::clone(entry);
            if !target.is_usable {
                connect::close_idle(tables, id, cx);
            }
        }
        Some(_) => {
            // The target restarted, so all that was recorded about it is obsolete.
            connect::discard_all(tables, id, cx);
            add(tables, id, entry, cx.now);
        }
        None => add(tables, id, entry, cx.now),
    }
}

fn is_same_incarnation(old: &view::Target, new: &view::Target) -> bool {
    (old.address, old.born, &old.service) == (new.address, new.born, &new.service)
}

fn add(tables: &mut Tables, id: &Name, entry: &Arc<view::Target>, now: Instant) {
    let mut target = Target::new(Arc::clone(entry), now);
    target.is_usable = !entry.draining;
    target.leaving_since = tables.leaving.get(&(id.clone(), entry.born)).copied();
    tables.targets.insert(id.clone(), target);
}

/// Stops sending to a target that is no longer registered. Its row stays until
/// the attempts that it still runs have ended.
fn retire(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) {
    let Some(target) = tables.targets.get_mut(id) else { return };
    target.is_usable = false;
    target.is_unlisted = true;
    connect::close_idle(tables, id, cx);
    connect::prune(tables, id);
}

/// Removes the rows of routes and services that the configuration no longer
/// names. The budget of a service stays until the attempts that it counts have
/// left its window.
fn prune_unnamed(tables: &mut Tables, named: &BTreeSet<Name>, cx: &Context<'_>) {
    let config = tables.view.config.clone();
    let routes = config.iter().flat_map(|config| config.hosts.values()).flatten();
    let routes: BTreeSet<&Name> = routes.map(|route| &route.name).collect();
    tables.route_stats.retain(|route, _| routes.contains(route));
    tables.round_robins.retain(|route, _| routes.contains(route));
    let (now, window) = (cx.now, cx.limits.retry_window);
    tables.budgets.retain(|service, row| named.contains(service) || row.is_used(now, window));
    tables.waiting.retain(|_, queue| !queue.is_empty());
}

/// Rebuilds the index of usable targets by service.
fn index_by_service(tables: &mut Tables) {
    tables.services.clear();
    for (id, target) in &tables.targets {
        if target.is_usable {
            let service = target.entry.service.clone();
            tables.services.entry(service).or_default().insert(id.clone());
        }
    }
}

/// Schedules the first connection to a target that has none, after a random delay.
fn schedule_first_connection(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) {
    let Some(target) = tables.targets.get_mut(id) else { return };
    let is_wanted = target.is_usable && !target.is_leaving();
    if !is_wanted || target.is_warmed || !target.connections.is_empty() {
        return;
    }
    target.is_warmed = true;
    let delay = WARM_UP_SPREAD.mul_f64(cx.random.random::<f64>());
    tables.timers.set(cx.now + delay, Timer::Warm(id.clone()));
}

fn log_target(id: &Name, event: Event, cx: &mut Context<'_>) {
    let fields = vec![("target", id.to_string()), ("source", "list".to_owned())];
    cx.out.lines.push(Line::new(event, fields));
}
