//! The entries that share the limits of contracts, and how a bound is divided among them.
//!
//! A roster is part of the configuration. It changes only when an entry joins or leaves for good,
//! and each one names its predecessor so that a process can tell whether it missed one.

use std::collections::BTreeMap;

use oriole_macros::data;
use sha2::{Digest, Sha256};

use crate::contract::Limits;
use crate::name;
use crate::share::Quota;

/// Parts that make up the whole of a rate or burst.
pub const WHOLE: u32 = 1_000_000;

/// Token burst below which a holder's part could not admit one ordinary request.
const HOLDER_TOKENS: u32 = 4096;

/// The entries among which limits are divided.
#[data]
#[derive(Default)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Roster {
    /// Number of the roster; it only grows.
    pub number: u64,
    /// Number of the roster that this one replaced, 0 if it is the first.
    pub previous: u64,
    /// Weights by host; an entry of weight 0 takes part but owns nothing.
    pub entries: BTreeMap<name::Host, u32>,
}

impl Roster {
    /// The first roster.
    pub fn first(entries: BTreeMap<name::Host, u32>) -> Self {
        Self { number: 1, previous: 0, entries }
    }

    /// The roster that replaces this one.
    pub fn next(&self, entries: BTreeMap<name::Host, u32>) -> Self {
        Self { number: self.number.saturating_add(1), previous: self.number, entries }
    }

    /// The entries of some weight, in the order in which a workspace's bounds are divided.
    ///
    /// The order is by rendezvous hashing: it differs between workspaces, so that what is not
    /// divided among all is spread over all, and an entry that joins or leaves moves no other.
    pub fn ring(&self, workspace: &name::Workspace) -> Vec<(&name::Host, u32)> {
        let mut ring: Vec<_> =
            self.entries.iter().filter(|(_, w)| **w > 0).map(|(h, w)| (h, *w)).collect();
        ring.sort_by_cached_key(|(host, _)| score(workspace, host));
        ring
    }

    /// The entries of a ring that own a part of the rates and bursts.
    ///
    /// A contract with a small burst is divided among few, since a part that is smaller than one
    /// request admits nothing.
    pub fn holders<'r, 'h>(
        &self,
        ring: &'r [(&'h name::Host, u32)],
        limits: &Limits,
    ) -> &'r [(&'h name::Host, u32)] {
        let count = limits.request_burst.min(limits.token_burst / HOLDER_TOKENS).max(1);
        let count = usize::try_from(count).unwrap_or(usize::MAX).min(ring.len());
        ring.get(..count).unwrap_or(ring)
    }

    /// What `host` owns of a contract's bounds. Over all entries the parts sum to the whole.
    pub fn own(&self, host: &name::Host, workspace: &name::Workspace, limits: &Limits) -> Quota {
        let ring = self.ring(workspace);
        let parts = slice(WHOLE, host, self.holders(&ring, limits));
        Quota { requests: parts, tokens: parts, slots: slice(limits.concurrency, host, &ring) }
    }
}

/// The part of `whole` that falls to `host`. The parts of a ring sum to the whole exactly.
fn slice(whole: u32, host: &name::Host, ring: &[(&name::Host, u32)]) -> u32 {
    let sum: u64 = ring.iter().map(|(_, w)| u64::from(*w)).sum();
    let before = ring.iter().take_while(|(h, _)| *h != host).map(|(_, w)| u64::from(*w)).sum();
    let weight = ring.iter().find(|(h, _)| *h == host).map_or(0, |(_, w)| u64::from(*w));
    let cut = |at: u64| u128::from(whole) * u128::from(at) / u128::from(sum.max(1));
    u32::try_from(cut(before + weight) - cut(before)).unwrap_or(0)
}

/// The place of a host in the order of a workspace.
fn score(workspace: &name::Workspace, host: &name::Host) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(workspace.as_str().as_bytes());
    hash.update([0]);
    hash.update(host.as_str().as_bytes());
    hash.finalize().into()
}
