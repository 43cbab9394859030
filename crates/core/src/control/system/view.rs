//! Builds the view for the traffic threads.

use std::sync::Arc;

use crate::{
    control::{Recipient, engine::Context, table::Tables},
    log::{Event, Line},
    notice::Notice,
    view::View,
};

/// Sends a new view to the traffic threads if something that it shows has
/// changed.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    if !std::mem::take(&mut tables.view_changed) {
        return;
    }
    let ready = is_ready(tables);
    if ready && !tables.own.ready {
        cx.out.lines.push(Line::new(Event::Ready, Vec::new()));
    }
    tables.own.ready = ready;
    tables.view = Arc::new(make(tables));
    let notice = Notice::View(Arc::clone(&tables.view));
    cx.out.notices.push((Recipient::All, notice));
}

fn is_ready(tables: &Tables) -> bool {
    tables.own.learnt && tables.targets.list_age.is_some() && !tables.own.leaving()
}

fn make(tables: &Tables) -> View {
    let own = &tables.own.vm;
    let others = tables.vms.rows.iter();
    let shown = others.filter_map(|(name, row)| Some((name.clone(), row.to_view()?)));
    let quarantined = tables.quarantine.quarantined.iter();
    let suspects = tables.quarantine.suspects.iter();
    View {
        vm: own.name.clone(),
        domain: own.domain.clone(),
        vms: shown.chain([(own.name.clone(), own.clone())]).collect(),
        targets: tables.targets.to_view(),
        document: Arc::clone(&tables.in_force.document),
        suspects: suspects.map(|(&key, row)| (key, row.targets.clone())).collect(),
        quarantine: quarantined.map(|(&key, row)| (key, row.origin)).collect(),
        ready: tables.own.ready,
        leaving: tables.own.leaving(),
    }
}
