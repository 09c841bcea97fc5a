//! Proposals of a new roster: which entries share the limits.

use std::collections::BTreeMap;

use crate::config::Entry;
use crate::name;
use crate::roster::Roster;
use crate::time::Instant;

use super::{Directory, Standing};

/// Proposes the roster that should replace `roster`, if another one should.
///
/// An entry is left out only when it is gone by the host list and by what is seen, so that regions
/// that lose each other, while the list still says live, do not put each other out. One that the
/// configuration names and that is alive is taken in. A roster without any entry is never
/// proposed. The proposal takes effect only by compare-and-swap in the key-value service, so two
/// entries that propose at once do no harm.
pub fn propose(
    now: Instant,
    directory: &Directory,
    entries: &BTreeMap<name::Host, Entry>,
    roster: &Roster,
) -> Option<Roster> {
    let mut next = BTreeMap::new();
    for (host, entry) in entries {
        let listed = roster.entries.contains_key(host);
        let takes_part = match directory.standing(now, host) {
            Standing::Open(_) => listed || directory.is_settled(now, host),
            // One that is leaving goes on with what it holds until it is gone.
            Standing::Leaving | Standing::Unreachable => listed,
            Standing::Gone => false,
        };
        if takes_part {
            next.insert(host.clone(), entry.weight);
        }
    }
    if next.is_empty() || next == roster.entries {
        return None;
    }
    Some(roster.next(next))
}

impl Directory {
    /// Whether a host has been open, and known to one of the sources, for long enough to count on.
    fn is_settled(&self, now: Instant, host: &name::Host) -> bool {
        let Some(record) = self.hosts.get(host) else { return false };
        let open = record.open_since.is_some_and(|at| now.since(at) >= self.settings.settle);
        let seen = record.heard.is_some() || record.listing.is_some();
        let absent = self.absent(now, host).unwrap_or_default();
        open && seen && absent < self.settings.settle
    }
}
