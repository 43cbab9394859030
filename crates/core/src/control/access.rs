//! Access control: which team may change which profile.

use std::collections::BTreeMap;

use crate::{
    fault::{Fault, Kind},
    name::Name,
    profile::Profile,
};

/// Checks that every profile that differs between `before` and `after` belongs
/// to `team` in both, where it exists. Otherwise the change is refused as
/// forbidden.
pub fn check(
    team: &Name,
    before: &BTreeMap<Name, Profile>,
    after: &BTreeMap<Name, Profile>,
) -> Result<(), Fault> {
    for name in before.keys().chain(after.keys()) {
        let (old, new) = (before.get(name), after.get(name));
        let is_own = |profile: Option<&Profile>| profile.is_none_or(|p| &p.team == team);
        if old != new && !(is_own(old) && is_own(new)) {
            let detail =
                format!("profiles.{name}: team {team} may change only profiles of its own");
            return Err(Fault::not_run(Kind::Forbidden, detail));
        }
    }
    Ok(())
}
