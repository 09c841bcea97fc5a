//! Simpler limiters, for comparison in measurements only.

use std::collections::BTreeMap;

use crate::contract::Contract;
use crate::limit::{Denial, Effect, Limiter, Permit, Settings};
use crate::name;
use crate::roster::Roster;
use crate::time::Instant;

/// Returns settings under which each entry keeps to its own share.
pub fn without_loans() -> Settings {
    Settings { lend: false, ..Settings::default() }
}

/// One limiter for all entries. An entry that cannot reach it admits nothing.
#[derive(Debug)]
pub struct Central {
    limiter: Limiter,
    out: Vec<Effect>,
}

impl Central {
    /// Creates a central limiter for the given contracts.
    pub fn new(now: Instant, contracts: &BTreeMap<name::Workspace, Contract>) -> Self {
        let host = name::Host::from("central");
        let mut limiter = Limiter::new(now, host.clone(), 1, without_loans());
        let mut out = Vec::new();
        limiter.on_contracts(now, contracts, &mut out);
        limiter.on_roster(now, Roster::first(BTreeMap::from([(host, 1)])), &mut out);
        Self { limiter, out }
    }

    /// Decides whether a request that is estimated to cost `tokens` may run.
    pub fn admit(
        &mut self,
        now: Instant,
        workspace: &name::Workspace,
        tokens: u32,
    ) -> Result<Permit, Denial> {
        self.out.clear();
        self.limiter.admit(now, workspace, tokens, &mut self.out)
    }

    /// Ends an admitted request that cost `used` tokens.
    pub fn settle(&mut self, now: Instant, permit: Permit, used: u32) {
        self.limiter.settle(now, permit, used, &mut self.out);
    }
}
