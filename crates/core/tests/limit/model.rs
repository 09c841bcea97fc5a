//! Checks of a simulated [`World`] against the bounds of its contracts.

use std::collections::{BTreeMap, BTreeSet};

use oriole_core::contract::{Contract, Limits};
use oriole_core::name::Workspace;
use oriole_core::roster::FULL_QUOTA;
use oriole_core::share::Quota;

use super::world::World;

/// Returns the limits by workspace, with the largest bursts that any revision allows.
fn loosest_limits<'c>(
    contracts: impl Iterator<Item = &'c Contract>,
) -> BTreeMap<Workspace, Limits> {
    let mut all: BTreeMap<Workspace, Limits> = BTreeMap::new();
    for contract in contracts {
        let limits = all.entry(contract.workspace.clone()).or_insert(contract.limits.clone());
        limits.request_burst = limits.request_burst.max(contract.limits.request_burst);
        limits.token_burst = limits.token_burst.max(contract.limits.token_burst);
    }
    all
}

impl World {
    /// Returns the share that a node may use or lend now.
    pub fn own(&mut self, node: usize, workspace: &Workspace) -> Quota {
        let entry = &mut self.nodes[node];
        let now = entry.clock(self.now);
        let view = entry.limiter.as_mut().and_then(|l| l.view(now, workspace));
        view.map(|v| v.own).unwrap_or_default()
    }

    /// Checks that the sum of what the entries hold now does not exceed the whole bound.
    pub fn check_sums(&mut self) -> Result<(), String> {
        let current = self.rosters[self.in_force()].1.number;
        let loosest = loosest_limits(self.contracts.iter().flat_map(|(_, c)| c.values()));
        for (workspace, limits) in &loosest {
            let running = self.running.get(workspace).map_or(0, BTreeSet::len);
            let mut sum = Quota { slots: running as u32, ..Quota::default() };
            let mut levels = [0, 0];
            for node in &mut self.nodes {
                let now = node.clock(self.now);
                if node.is_stalled(self.now, &self.settings) {
                    continue;
                }
                let limiter = node.limiter.as_mut().filter(|l| l.roster() >= current);
                let Some(view) = limiter.and_then(|l| l.view(now, workspace)) else {
                    continue;
                };
                let slots = view.held.slots.saturating_sub(view.in_use);
                sum = sum.plus(Quota { slots, ..view.held });
                levels[0] += view.requests.max(0);
                levels[1] += view.tokens.max(0);
            }
            let whole = i64::from(FULL_QUOTA);
            let whole_bound =
                Quota { requests: FULL_QUOTA, tokens: FULL_QUOTA, slots: limits.concurrency };
            if !whole_bound.covers(sum)
                || levels[0] > whole * i64::from(limits.request_burst)
                || levels[1] > whole * i64::from(limits.token_burst)
            {
                return Err(format!("{workspace} at {} us: {sum:?}, {levels:?}", self.now));
            }
        }
        Ok(())
    }

    /// Checks every time window of every workspace against the bound.
    pub fn check(&self) -> Result<(), String> {
        let loosest = loosest_limits(self.contracts.iter().flat_map(|(_, c)| c.values()));
        for (workspace, admissions) in &self.log {
            let limits = &loosest[workspace];
            let requests = admissions.iter().map(|a| (a.at, 1.0));
            check_windows(requests, limits.requests.per_second(), limits.request_burst)
                .map_err(|e| format!("{workspace} requests: {e}"))?;
            let tokens = admissions.iter().map(|a| (a.at, f64::from(a.used.min(a.estimate))));
            check_windows(tokens, limits.tokens.per_second(), limits.token_burst)
                .map_err(|e| format!("{workspace} tokens: {e}"))?;
            let peak = self.figures.peak.get(workspace).copied().unwrap_or(0);
            if peak > limits.concurrency as usize {
                return Err(format!("{workspace}: {peak} at once, {} allowed", limits.concurrency));
            }
        }
        Ok(())
    }
}

/// Returns an error if the cost in some time window exceeds `rate` times its length plus `burst`.
fn check_windows(
    costs: impl Iterator<Item = (u64, f64)>,
    rate: f64,
    burst: u32,
) -> Result<(), String> {
    let allowed = f64::from(burst) + 1e-3;
    let (mut sum, mut least) = (0.0, f64::INFINITY);
    for (at, cost) in costs {
        let given = rate * at as f64 / 1e6;
        least = f64::min(least, sum - given);
        sum += cost;
        let seen = sum - given - least;
        if seen > allowed {
            return Err(format!("a window that ends at {at} us has {seen:.3} on top of the rate"));
        }
    }
    Ok(())
}
