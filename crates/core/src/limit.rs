//! Admission by contract, without a coordinator.
//!
//! A contract's bound is divided into shares that the entries own. An entry that is short borrows
//! from others. The lender subtracts a loan before the borrower adds it, and the borrower stops
//! using it before the lender takes it back, so the sum over all entries never passes the bound:
//! not through lost, late, repeated or reordered messages, nor through pauses, deaths, restarts,
//! new rosters or an outage of the key-value service. `docs/design/limits.md` has the argument.
//!
//! [`Limiter`] is the whole of it for one entry:
//!
//! - [`Limiter::on_contracts`] and [`Limiter::on_roster`] tell it what to share among whom,
//! - [`Limiter::admit`] decides, [`Limiter::settle`] ends what was admitted,
//! - [`Limiter::on_message`] takes messages of other entries, and [`Limiter::tick`] does what is due.

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

/// How often [`Limiter::tick`] is to be called, in milliseconds.
pub const TICK_MS: u64 = 100;

/// How long a request that was denied with [`Denial::loan_pending`] is worth keeping for another try.
pub const LOAN_WAIT_MS: u64 = 50;

/// Retry hint while all slots are taken, in milliseconds.
const SLOT_RETRY_MS: u64 = 250;

/// New requests for loans that one tick allows, over all workspaces. It bounds what the sharing
/// of limits costs when many workspaces are at their bounds at once.
const LOAN_REQUESTS_PER_TICK: u32 = 5;

const MAX_LOAN_REQUEST_BURST: u32 = 50;

new_key_type! {
    /// Index of a workspace's account.
    struct Key;
}

/// One entry's accounts for all workspaces.
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
    /// Requests for loans that may be sent now.
    loan_requests_left: u32,
    /// Fingerprint of how the bounds are divided, and when it changed.
    fingerprint: u64,
    fingerprint_changed: Option<Instant>,
    /// The last call.
    last_call: Instant,
}

impl Limiter {
    /// The book of the entry on `host`. `boot` is a random number that the process drew when it
    /// started; two runs must not draw the same.
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

    /// Takes over the contracts of a revision.
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
            // Lenders wait for requests as long as was said when the loans were made.
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

    /// Gives the account its share by the present roster.
    fn assign_share(&mut self, now: Instant, key: Key) {
        let (Some((roster, _)), Some(account)) = (&self.roster, self.accounts.get_mut(key)) else {
            return;
        };
        account.push_share(now, roster.own(&self.host, &account.workspace, &account.limits));
        account.set_lenders(&self.host, roster);
        self.update_own(now, key);
    }

    /// Works out what may be used of the own share now.
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

    /// Takes over a roster. An older one than the present is ignored.
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

    /// Number of the present roster, 0 before there is one.
    pub fn roster(&self) -> u64 {
        self.roster.as_ref().map_or(0, |(r, _)| r.number)
    }

    /// Decides whether a request that is estimated to cost `tokens` may run.
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

    /// Like [`Limiter::admit`], for a request that was denied a moment ago.
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

    /// Ends an admitted request that cost `used` tokens; 0 if it did not run.
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

    /// Takes a message of another entry.
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
            Message::Return(back) => self.on_return(now, from, back),
        }
    }

    /// Does what is due: renews and returns loans, and takes up shares that have become free.
    /// To be called every [`TICK_MS`]; late calls cost throughput only.
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

    /// Removes the account of a contract that was taken away, once nothing of it is out.
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

    /// What the entry holds of a workspace's bound.
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

    /// After a pause, in which the others may have divided a changed contract anew, the own
    /// share counts only once they have confirmed the division.
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

    /// Notes how the bounds are divided now.
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

    /// A number for a loan or a request for one, which no other run of this entry has used.
    fn next_serial(&mut self) -> u64 {
        self.serial = self.serial.wrapping_add(1);
        u64::from(self.boot) << 32 | u64::from(self.serial)
    }
}
