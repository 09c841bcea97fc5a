//! The roster: the entries that share the limits of contracts, and each entry's part of a limit.
//!
//! The roster is part of the configuration. It changes only when an entry joins or leaves
//! permanently. Each roster names its predecessor, so that a process can detect a missed one.

use std::collections::BTreeMap;

use oriole_macros::data;
use sha2::{Digest, Sha256};

use crate::contract::Limits;
use crate::name;
use crate::share::Quota;

/// Quota of an entry that owns the whole rate or burst of a contract. Quotas are parts of this.
pub const FULL_QUOTA: u32 = 1_000_000;

/// Minimum token burst of each holder. With less, a holder could not admit one typical request.
const MIN_HOLDER_BURST_TOKENS: u32 = 4096;

/// The entries among which limits are divided.
#[data]
#[derive(Default)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Roster {
    /// Number of the roster. Later rosters have higher numbers.
    pub number: u64,
    /// Number of the roster that this one replaces, 0 for the first.
    pub previous: u64,
    /// Weights by host. An entry with weight 0 is a member but has no quota of its own.
    pub entries: BTreeMap<name::Host, u32>,
}

impl Roster {
    /// Creates the first roster.
    pub fn first(entries: BTreeMap<name::Host, u32>) -> Self {
        Self { number: 1, previous: 0, entries }
    }

    /// Returns the roster that replaces this one.
    pub fn next(&self, entries: BTreeMap<name::Host, u32>) -> Self {
        Self { number: self.number.saturating_add(1), previous: self.number, entries }
    }

    /// Returns the entries with a weight above 0, in the order in which a workspace's limits are
    /// divided among them.
    ///
    /// The order comes from rendezvous hashing. It differs between workspaces, so that limits with
    /// few holders spread over all entries, and an entry that joins or leaves does not change the
    /// order of the others.
    pub fn ring(&self, workspace: &name::Workspace) -> Vec<(&name::Host, u32)> {
        let mut ring: Vec<_> =
            self.entries.iter().filter(|(_, w)| **w > 0).map(|(h, w)| (h, *w)).collect();
        ring.sort_by_cached_key(|(host, _)| rendezvous_score(workspace, host));
        ring
    }

    /// Returns the holders: the first entries of `ring`, which own a part of the rates and bursts.
    ///
    /// A contract with a small burst has few holders, since a part that is smaller than one request
    /// admits nothing.
    pub fn holders<'r, 'h>(
        &self,
        ring: &'r [(&'h name::Host, u32)],
        limits: &Limits,
    ) -> &'r [(&'h name::Host, u32)] {
        let count = limits.request_burst.min(limits.token_burst / MIN_HOLDER_BURST_TOKENS).max(1);
        let count = usize::try_from(count).unwrap_or(usize::MAX).min(ring.len());
        ring.get(..count).unwrap_or(ring)
    }

    /// Returns the part of a contract's limits that `host` owns. The parts of all entries add up to
    /// the whole limits.
    pub fn quota(&self, host: &name::Host, workspace: &name::Workspace, limits: &Limits) -> Quota {
        let ring = self.ring(workspace);
        let parts = portion(FULL_QUOTA, host, self.holders(&ring, limits));
        Quota { requests: parts, tokens: parts, slots: portion(limits.concurrency, host, &ring) }
    }
}

/// Returns the portion of `whole` that belongs to `host`, in proportion to its weight. Rounding
/// loses nothing: the portions of a ring add up to `whole`.
fn portion(whole: u32, host: &name::Host, ring: &[(&name::Host, u32)]) -> u32 {
    let sum: u64 = ring.iter().map(|(_, w)| u64::from(*w)).sum();
    let before = ring.iter().take_while(|(h, _)| *h != host).map(|(_, w)| u64::from(*w)).sum();
    let weight = ring.iter().find(|(h, _)| *h == host).map_or(0, |(_, w)| u64::from(*w));
    let boundary = |at: u64| u128::from(whole) * u128::from(at) / u128::from(sum.max(1));
    u32::try_from(boundary(before + weight) - boundary(before)).unwrap_or(0)
}

/// Returns the value by which a host is sorted in the order of a workspace.
fn rendezvous_score(workspace: &name::Workspace, host: &name::Host) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(workspace.as_str().as_bytes());
    hash.update([0]);
    hash.update(host.as_str().as_bytes());
    hash.finalize().into()
}
