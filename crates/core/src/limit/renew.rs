//! The borrower's side of loans: renewals and returns.

use std::time::Duration;

use crate::limit::account::Account;
use crate::limit::borrow::Spec;
use crate::limit::{Effect, Key, Limiter};
use crate::name;
use crate::share::{Message, Quota, Return};
use crate::time::Instant;

/// How long a single-use loan may be kept unused, in milliseconds.
const MAX_SINGLE_USE_MS: u64 = 60;

/// Minimum time for which a loan is kept unless it is for single use, in milliseconds.
const MIN_LOAN_MS: u64 = 1000;

/// A loan is renewed when the fraction of its life that is left falls to 1 over this divisor.
const RENEWAL_DIVISOR: u32 = 3;

impl Limiter {
    /// Returns single-use loans after a request has used them.
    pub(super) fn return_single_use(&mut self, key: Key, out: &mut Vec<Effect>) {
        let Some(account) = self.accounts.get_mut(key).filter(|a| !a.borrowed.is_empty()) else {
            return;
        };
        let single_use = account.borrowed.iter().filter(|(_, l)| l.active && l.single_use);
        let single_use: Vec<u64> = single_use.map(|(loan, _)| *loan).collect();
        for loan in single_use {
            account.end_loan(loan, out);
        }
    }

    /// Returns all loans. Their lenders may have missed the current roster.
    pub(super) fn return_all(&mut self, now: Instant, key: Key, out: &mut Vec<Effect>) {
        let Some(account) = self.accounts.get_mut(key).filter(|a| !a.borrowed.is_empty()) else {
            return;
        };
        account.advance(now);
        let loans: Vec<u64> = account.borrowed.keys().copied().collect();
        for loan in loans {
            account.end_loan(loan, out);
        }
    }

    /// Returns slots of ended loans that no running request needs any more.
    pub(super) fn return_slots(&mut self, key: Key, out: &mut Vec<Effect>) {
        if let Some(account) = self.accounts.get_mut(key).filter(|a| !a.borrowed.is_empty()) {
            account.return_slots(out);
        }
    }

    /// Renews loans that are needed, lets others expire or returns them, and repeats returns of
    /// slots.
    pub(super) fn maintain_loans(&mut self, now: Instant, key: Key, out: &mut Vec<Effect>) {
        let life = self.settings.loan_life();
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.pending.retain(|_, p| p.at + life > now);
        if account.borrowed.is_empty() {
            return;
        }
        let mut renewals = Vec::new();
        let loans: Vec<u64> = account.borrowed.keys().copied().collect();
        for loan in loans {
            if let Some((to, quota)) = account.maintain(now, loan, life / RENEWAL_DIVISOR, out) {
                let spec = Spec { least: quota, want: quota, renew: Some(loan) };
                renewals.push((to, spec));
            }
        }
        account.return_slots(out);
        account.borrowed.retain(|_, l| !l.is_over());
        for (to, spec) in renewals {
            self.send_request(now, key, to, spec, out);
        }
    }
}

impl Account {
    /// Returns or repeats the return of a loan where that is due. Returns the lender and the quota
    /// if the loan is to be renewed.
    fn maintain(
        &mut self,
        now: Instant,
        number: u64,
        early: Duration,
        out: &mut Vec<Effect>,
    ) -> Option<(name::Host, Quota)> {
        let need = self.need(now);
        let loan = self.borrowed.get_mut(&number)?;
        if !loan.active {
            if loan.repeats_left > 0 {
                loan.repeats_left -= 1;
                self.send_return(number, out);
            }
            return None;
        }
        if loan.single_use {
            if now.since(loan.since) >= Duration::from_millis(MAX_SINGLE_USE_MS) {
                self.end_loan(number, out);
            }
            return None;
        }
        let (from, quota, until) = (loan.from.clone(), loan.quota, loan.until);
        let rest = self.held.minus(quota);
        let is_old = now.since(loan.since) >= Duration::from_millis(MIN_LOAN_MS);
        if is_old && self.is_surplus(now, rest) {
            self.end_loan(number, out);
            return None;
        }
        let needed = quota.min(need.minus(rest));
        if needed.is_empty() || until > now + early {
            return None;
        }
        let is_pending = self.pending.values().any(|p| p.renew == Some(number));
        (!is_pending).then_some((from, quota))
    }

    /// Returns whether `rest` covers twice the demand, or just the demand while the buckets are
    /// full.
    fn is_surplus(&self, now: Instant, rest: Quota) -> bool {
        let full = self.requests.is_full() && self.tokens.is_full();
        rest.covers(self.need_for(now, 2.0)) || (full && rest.covers(self.need_for(now, 1.0)))
    }

    /// Returns a loan before it expires. The account must have been advanced.
    fn end_loan(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Some(quota) = self.borrowed.get(&number).filter(|l| l.active).map(|l| l.quota) else {
            return;
        };
        let levels = self.take(quota);
        if let Some(loan) = self.borrowed.get_mut(&number) {
            loan.active = false;
            loan.levels = levels;
        }
        self.recount();
        let changed = self.mark_returned_slots();
        if !changed.contains(&number) {
            self.send_return(number, out);
        }
        for loan in changed {
            self.send_return(loan, out);
        }
    }

    fn return_slots(&mut self, out: &mut Vec<Effect>) {
        for loan in self.mark_returned_slots() {
            self.send_return(loan, out);
        }
    }

    fn send_return(&self, number: u64, out: &mut Vec<Effect>) {
        let Some(loan) = self.borrowed.get(&number) else {
            return;
        };
        let returned = Return {
            loan: number,
            workspace: self.workspace.clone(),
            levels: loan.levels,
            slots: loan.slots_returned,
        };
        out.push(Effect::Send(loan.from.clone(), Message::Return(returned)));
    }
}
