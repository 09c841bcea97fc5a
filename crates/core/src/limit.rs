//! Rate limits by contract, enforced over all entries without a coordinator.
//!
//! The bounds of a contract are divided into shares, one for each entry. An entry whose share is
//! too small borrows quota from others. The lender subtracts a loan before the borrower adds it,
//! and the borrower stops using it before the lender takes it back, so the sum over all entries
//! never exceeds the bound. This holds while messages are lost, delayed, duplicated or reordered,
//! while processes pause, crash or restart, while the roster changes, and during an outage of the
//! key-value service. `docs/design/limits.md` gives the argument.
//!
//! [`Limiter`] holds the state of one entry:
//!
//! - [`Limiter::on_contracts`] and [`Limiter::on_roster`] set the bounds and the entries that share
//!   them,
//! - [`Limiter::admit`] decides on a request, and [`Limiter::settle`] ends an admitted one,
//! - [`Limiter::on_message`] handles messages of other entries, and [`Limiter::tick`] does periodic
//!   work.

pub mod baseline;
pub mod bucket;

mod account;
mod borrow;
mod demand;
mod lend;
mod loan;
mod outcome;
mod renew;
mod settings;
mod startup;

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};
use slotmap::{SlotMap, new_key_type};

use crate::contract::Contract;
use crate::name;
use crate::request::Refusal;
use crate::roster::Roster;
use crate::share::{Message, Quota};
use crate::time::Instant;

use account::Account;
use bucket::UNIT;
pub use outcome::{Denial, Effect, Permit, View};
pub use settings::Settings;
use startup::Startup;

/// Interval at which [`Limiter::tick`] is to be called, in milliseconds.
pub const TICK_MS: u64 = 100;

/// How long to hold a request that was denied with [`Denial::loan_pending`] for another attempt, in
/// milliseconds.
pub const LOAN_WAIT_MS: u64 = 50;

/// Retry hint to callers while all concurrency slots are in use, in milliseconds.
const SLOT_RETRY_MS: u64 = 250;

/// Requests for new loans that each tick allows, over all workspaces. It bounds the message traffic
/// when many workspaces are at their bounds at once.
const LOAN_REQUESTS_PER_TICK: u32 = 5;

/// Maximum number of unused requests for new loans that accumulate over ticks.
const MAX_LOAN_REQUEST_BURST: u32 = 50;

new_key_type! {
    /// Index of a workspace's account.
    struct Key;
}

/// The rate limiter of one entry, with an account for each workspace.
#[derive(Debug)]
pub struct Limiter {
    host: name::Host,
    boot: u32,
    settings: Settings,
    roster: Option<(Roster, Instant)>,
    startup: Startup,
    accounts: SlotMap<Key, Account>,
    names: BTreeMap<name::Workspace, Key>,
    serial: u32,
    charge_number: u64,
    /// Requests for new loans that may still be sent until the next tick adds to it.
    loan_requests_left: u32,
    /// Fingerprint of how the bounds are divided; 0 before it is first computed.
    fingerprint: u64,
    /// When the fingerprint last changed; `None` if it has not in this run.
    fingerprint_changed: Option<Instant>,
    /// Time of the last call, by which a pause of the process is detected.
    last_call: Instant,
}

impl Limiter {
    /// Creates the limiter of the entry on `host`. `boot` is a random number that the process drew
    /// at its start; two runs must not draw the same.
    pub fn new(now: Instant, host: name::Host, boot: u32, settings: Settings) -> Self {
        Self {
            startup: Startup::new(now, &settings),
            host,
            boot,
            settings,
            roster: None,
            accounts: SlotMap::with_key(),
            names: BTreeMap::new(),
            serial: 0,
            charge_number: 0,
            loan_requests_left: MAX_LOAN_REQUEST_BURST,
            fingerprint: 0,
            fingerprint_changed: None,
            last_call: now,
        }
    }

    /// Applies the contracts of a configuration revision.
    pub fn on_contracts(
        &mut self,
        now: Instant,
        contracts: &BTreeMap<name::Workspace, Contract>,
        out: &mut Vec<Effect>,
    ) {
        self.detect_pause(now, out);
        for (workspace, contract) in contracts {
            let known = self.account(workspace).filter(|a| a.removed.is_none());
            let longest_deadline = contract.service.longest_deadline;
            if known.is_some_and(|a| {
                a.limits == contract.limits && a.longest_deadline >= longest_deadline
            }) {
                continue;
            }
            let key = self.open_account(now, workspace, contract);
            // A lender reserves slots for the longest deadline named when the loan was made, which
            // the new contract may exceed.
            self.return_all(now, key, out);
            self.assign_share(now, key);
        }
        let names: BTreeSet<_> = contracts.keys().collect();
        for account in self.accounts.values_mut().filter(|a| !names.contains(&a.workspace)) {
            account.removed = account.removed.or(Some(now));
        }
        self.startup.has_contracts = true;
        self.update_fingerprint(now);
        self.send_hellos(now, out);
    }

    fn open_account(
        &mut self,
        now: Instant,
        workspace: &name::Workspace,
        contract: &Contract,
    ) -> Key {
        if let Some(key) = self.names.get(workspace).copied() {
            if let Some(account) = self.accounts.get_mut(key) {
                account.set_contract(now, contract);
            }
            return key;
        }
        let account = Account::new(now, workspace, contract, self.settings.drift_ppm);
        let key = self.accounts.insert(account);
        self.names.insert(workspace.clone(), key);
        key
    }

    /// Assigns the account its share under the current roster.
    fn assign_share(&mut self, now: Instant, key: Key) {
        let (Some((roster, _)), Some(account)) = (&self.roster, self.accounts.get_mut(key)) else {
            return;
        };
        account.push_share(now, roster.quota(&self.host, &account.workspace, &account.limits));
        account.set_lenders(&self.host, roster);
        self.update_own(now, key);
    }

    /// Recomputes how much of its own share the entry may use now.
    fn update_own(&mut self, now: Instant, key: Key) {
        let overlap = self.settings.overlap();
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.advance(now);
        account.prune_shares(now, overlap);
        let allowed = account.allowed(now, overlap);
        let own = self.startup.allow(now, allowed, account.longest_deadline);
        if own != account.own {
            account.own = own;
            account.recount();
        }
    }

    /// Applies a roster. One that is not newer than the current one is ignored.
    pub fn on_roster(&mut self, now: Instant, roster: Roster, out: &mut Vec<Effect>) {
        self.detect_pause(now, out);
        let known = self.roster.as_ref().map(|(r, _)| r);
        if known.is_some_and(|known| roster.number <= known.number) {
            return;
        }
        let missed = known.is_some_and(|known| roster.previous != known.number);
        match known {
            None => self.startup.on_first_roster(now, &self.host, &roster),
            Some(known) => self.startup.on_next_roster(now, &self.host, known, &roster),
        }
        self.roster = Some((roster, now));
        let keys: Vec<Key> = self.accounts.keys().collect();
        for key in keys {
            if missed && let Some(account) = self.accounts.get_mut(key) {
                account.push_share(now, Quota::default());
            }
            self.return_all(now, key, out);
            self.assign_share(now, key);
        }
        self.update_fingerprint(now);
        self.send_hellos(now, out);
    }

    /// Returns the number of the current roster, or 0 before the first.
    pub fn roster(&self) -> u64 {
        self.roster.as_ref().map_or(0, |(r, _)| r.number)
    }

    /// Decides whether a request that is estimated to cost `tokens` may run, and charges it.
    pub fn admit(
        &mut self,
        now: Instant,
        workspace: &name::Workspace,
        tokens: u32,
        out: &mut Vec<Effect>,
    ) -> Result<Permit, Denial> {
        if let Some(account) = self.account(workspace) {
            account.demand.record(now, tokens);
        }
        self.retry(now, workspace, tokens, out)
    }

    /// Like [`Limiter::admit`], for a request that was denied before: it is not counted as new
    /// demand.
    pub fn retry(
        &mut self,
        now: Instant,
        workspace: &name::Workspace,
        tokens: u32,
        out: &mut Vec<Effect>,
    ) -> Result<Permit, Denial> {
        self.detect_pause(now, out);
        let key = self.names.get(workspace).copied().unwrap_or_default();
        let roster = self.roster();
        let Some(account) = self.accounts.get_mut(key).filter(|a| a.removed.is_none()) else {
            return Err(Denial {
                refusal: Refusal::NotFound,
                retry_after_ms: None,
                loan_pending: false,
            });
        };
        account.advance(now);
        match account.check(tokens) {
            Ok(()) => {
                self.charge_number += 1;
                let number = self.charge_number;
                account.charge(number, tokens);
                self.return_single_use(key, out);
                self.borrow_early(now, key, out);
                Ok(Permit { key, number, tokens, roster })
            }
            Err(denial) => {
                let loan_pending =
                    denial.retry_after_ms.is_some() && self.borrow_for(now, key, tokens, out);
                Err(Denial { loan_pending, ..denial })
            }
        }
    }

    /// Ends an admitted request that cost `used` tokens, or 0 if it did not run. Corrects the
    /// charge to the actual cost.
    pub fn settle(&mut self, now: Instant, permit: Permit, used: u32, out: &mut Vec<Effect>) {
        let Some(account) = self.accounts.get_mut(permit.key) else {
            return;
        };
        account.advance(now);
        account.in_use = account.in_use.saturating_sub(1);
        let (charged, used) = (i64::from(permit.tokens) * UNIT, i64::from(used) * UNIT);
        account.tokens.settle(permit.number, charged, used);
        self.return_slots(permit.key, out);
    }

    /// Handles a message from another entry.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &name::Host,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        self.detect_pause(now, out);
        match message {
            Message::Hello(hello) => self.on_hello(now, from, hello, out),
            Message::Welcome(welcome) => self.on_welcome(now, from, welcome),
            Message::Request(request) => self.on_request(now, from, request, out),
            Message::Grant(grant) => self.on_grant(now, from, grant, out),
            Message::Return(returned) => self.on_return(now, from, returned),
        }
    }

    /// Does periodic work: renews and returns loans, and takes up shares that have become
    /// available. To be called every [`TICK_MS`]; a late call costs throughput but never exceeds a
    /// bound.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.detect_pause(now, out);
        self.loan_requests_left = self
            .loan_requests_left
            .saturating_add(LOAN_REQUESTS_PER_TICK)
            .min(MAX_LOAN_REQUEST_BURST);
        self.send_hellos(now, out);
        let keys: Vec<Key> = self.accounts.keys().collect();
        for key in keys {
            self.update_own(now, key);
            self.maintain_loans(now, key, out);
            self.remove_if_over(now, key);
        }
    }

    /// Removes the account of a removed contract once every loan and request under it must have
    /// ended.
    fn remove_if_over(&mut self, now: Instant, key: Key) {
        let overlap = self.settings.overlap();
        let over =
            |a: &&Account| a.removed.is_some_and(|at| at + overlap + a.longest_deadline < now);
        if self.accounts.get(key).filter(over).is_some()
            && let Some(account) = self.accounts.remove(key)
        {
            self.names.remove(&account.workspace);
        }
    }

    /// Returns what the entry holds of a workspace's bounds, or `None` if it has no such contract.
    pub fn view(&mut self, now: Instant, workspace: &name::Workspace) -> Option<View> {
        let account = self.account(workspace)?;
        account.advance(now);
        Some(View {
            own: account.own,
            lent: account.lent_out(),
            held: account.held,
            requests: account.requests.level(),
            tokens: account.tokens.level(),
            in_use: account.in_use,
        })
    }

    /// Detects a pause of this process. The other entries may have divided a changed contract anew
    /// meanwhile, so after a pause the own share counts only once they confirm the division.
    fn detect_pause(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let paused = now.since(self.last_call) > self.settings.stall();
        self.last_call = self.last_call.max(now);
        let Some((roster, _)) = self.roster.as_ref().filter(|_| paused) else {
            return;
        };
        self.startup.resume(now, &self.host, roster);
        let keys: Vec<Key> = self.accounts.keys().collect();
        for key in keys {
            self.update_own(now, key);
        }
        self.send_hellos(now, out);
    }

    /// Recomputes the fingerprint of how the bounds are divided, and records when it changes.
    fn update_fingerprint(&mut self, now: Instant) {
        if self.roster.is_none() || !self.startup.has_contracts {
            return;
        }
        let mut hash = Sha256::new();
        for (workspace, key) in &self.names {
            if let Some(account) = self.accounts.get(*key).filter(|a| a.removed.is_none()) {
                hash.update(workspace.as_str().as_bytes());
                hash.update(account.holder_count.to_be_bytes());
            }
        }
        let digest: [u8; 32] = hash.finalize().into();
        let fingerprint = digest.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        if self.fingerprint != 0 && self.fingerprint != fingerprint {
            self.fingerprint_changed = Some(now);
        }
        self.fingerprint = fingerprint;
    }

    fn account(&mut self, workspace: &name::Workspace) -> Option<&mut Account> {
        let key = self.names.get(workspace)?;
        self.accounts.get_mut(*key)
    }

    /// Returns a number for a loan or a loan request that no other run of this entry has used.
    fn next_serial(&mut self) -> u64 {
        self.serial = self.serial.wrapping_add(1);
        u64::from(self.boot) << 32 | u64::from(self.serial)
    }
}
