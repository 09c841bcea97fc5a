//! Proposes a new roster, the set of entries that share the contracts' limits.

use std::collections::BTreeMap;

use crate::config::Entry;
use crate::name;
use crate::roster::Roster;
use crate::time::Instant;

use super::{Directory, Eligibility};

/// Returns the roster that should replace `roster`, or `None` if it should stay.
///
/// An entry is removed only when neither the host list nor direct observation shows it any more.
/// Regions that lose contact with each other therefore do not remove each other while the list
/// still shows both. An entry that the configuration names and that is alive is added. A roster
/// without entries is never proposed. A proposal takes effect only by compare-and-swap in the
/// key-value service, so concurrent proposals of two entries are safe.
pub fn propose_roster(
    now: Instant,
    directory: &Directory,
    entries: &BTreeMap<name::Host, Entry>,
    roster: &Roster,
) -> Option<Roster> {
    let mut next = BTreeMap::new();
    for (host, entry) in entries {
        let was_member = roster.entries.contains_key(host);
        let is_member = match directory.eligibility(now, host) {
            Eligibility::Open(_) => was_member || directory.is_settled(now, host),
            // An entry that is leaving keeps its quota until it is gone.
            Eligibility::Leaving | Eligibility::Unreachable => was_member,
            Eligibility::Gone => false,
        };
        if is_member {
            next.insert(host.clone(), entry.weight);
        }
    }
    if next.is_empty() || next == roster.entries {
        return None;
    }
    Some(roster.next(next))
}

impl Directory {
    /// Returns whether a host has been open for [`Settings::settle`](super::Settings::settle), and
    /// was listed or heard within that time.
    fn is_settled(&self, now: Instant, host: &name::Host) -> bool {
        let Some(record) = self.hosts.get(host) else { return false };
        let is_open = record.open_since.is_some_and(|at| now.since(at) >= self.settings.settle);
        let is_known = record.last_heard.is_some() || record.listing.is_some();
        let time_unseen = self.time_unseen(now, host).unwrap_or_default();
        is_open && is_known && time_unseen < self.settings.settle
    }
}
