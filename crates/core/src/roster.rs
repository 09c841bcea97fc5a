//! The entries that share the limits of contracts, and how a bound is divided among them.
//!
//! A roster is part of the configuration. It changes only when an entry joins or leaves for good,
//! and each one names its predecessor so that a process can tell whether it missed one.

use std::collections::BTreeMap;

use oriole_macros::data;
use sha2::{Digest, Sha256};

use crate::contract::Limits;
use crate::name;
use crate::share::Terms;

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

    /// The entries that own a part of a contract's bound, in the order of the division.
    ///
    /// A contract with a small burst is divided among few, since a part that is smaller than one
    /// request admits nothing. The workspace's name picks which, so that load spreads.
    pub fn holders(&self, workspace: &name::Workspace, limits: &Limits) -> Vec<(&name::Host, u32)> {
        let mut ring: Vec<_> =
            self.entries.iter().filter(|(_, w)| **w > 0).map(|(h, w)| (h, *w)).collect();
        if ring.is_empty() {
            return ring;
        }
        let start = spread(workspace) as usize % ring.len();
        ring.rotate_left(start);
        let tokens = limits.token_burst / HOLDER_TOKENS;
        let count = limits.request_burst.min(tokens).min(limits.concurrency).max(1);
        ring.truncate(usize::try_from(count).unwrap_or(usize::MAX));
        ring
    }

    /// What `host` owns of a contract's bound. Over all entries the parts sum to the whole.
    pub fn own(&self, host: &name::Host, workspace: &name::Workspace, limits: &Limits) -> Terms {
        let holders = self.holders(workspace, limits);
        let sum: u64 = holders.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut before = 0u64;
        for (holder, weight) in holders {
            let after = before + u64::from(weight);
            if holder == host {
                let parts = slice(WHOLE, before, after, sum);
                let slots = slice(limits.concurrency, before, after, sum);
                return Terms { requests: parts, tokens: parts, slots };
            }
            before = after;
        }
        Terms::default()
    }
}

/// The integers of `0..whole` that fall to the slice `before..after` of `sum`; slices that cover
/// `sum` without gap or overlap share out the whole exactly.
fn slice(whole: u32, before: u64, after: u64, sum: u64) -> u32 {
    let cut = |at: u64| u128::from(whole) * u128::from(at) / u128::from(sum.max(1));
    u32::try_from(cut(after) - cut(before)).unwrap_or(0)
}

/// A number that spreads workspaces evenly.
fn spread(workspace: &name::Workspace) -> u32 {
    let digest = Sha256::digest(workspace.as_str().as_bytes());
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]])
}
