//! The borrower's side of loans: requests for loans and the lenders' answers.

use std::time::Duration;

use crate::limit::account::{Account, Shortage};
use crate::limit::bucket::UNIT;
use crate::limit::loan::{Borrowed, Pending};
use crate::limit::startup::ceil_ms;
use crate::limit::{Effect, Key, LOAN_WAIT_MS, Limiter};
use crate::name;
use crate::share::{Grant, Levels, Message, Quota, Request, Return};
use crate::time::Instant;

/// How long an unanswered loan request counts as open, in milliseconds. After that another lender
/// is tried.
const GRANT_WAIT_MS: u64 = 100;

/// Maximum number of unanswered requests for new loans of one workspace.
const MAX_OPEN_REQUESTS: usize = 4;

/// Maximum number of unanswered loan requests and renewals kept for one workspace.
const MAX_PENDING: usize = 64;

/// Maximum number of lenders tried for one shortage.
const MAX_LENDERS_TRIED: usize = 6;

/// Delay after the first round of loan requests without a grant, in milliseconds. It doubles with
/// each further round.
const MIN_BACKOFF_MS: u64 = 20;

/// Maximum number of doublings of the delay while the own share can admit the request.
const MAX_BACKOFF_SHIFT: u32 = 6;

/// Maximum number of doublings of the delay while the entry depends on loans.
const MAX_BACKOFF_SHIFT_WITHOUT_SHARE: u32 = 2;

/// Minimum interval between two rounds of loan requests that are started before any request is
/// denied, in milliseconds.
const MIN_EARLY_INTERVAL_MS: u64 = 250;

impl Limiter {
    /// Requests loans for what a request of `tokens` lacks. Returns whether an answer is pending.
    pub(super) fn borrow_for(
        &mut self,
        now: Instant,
        key: Key,
        tokens: u32,
        out: &mut Vec<Effect>,
    ) -> bool {
        let may_borrow = self.startup.may_borrow(now);
        let Some(account) = self.accounts.get_mut(key).filter(|_| self.settings.lend && may_borrow)
        else {
            return false;
        };
        let waiting = account.shortage.is_some_and(|s| s.until > now);
        if !waiting && account.next_round <= now {
            account.shortage = Some(Shortage {
                tokens: i64::from(tokens) * UNIT,
                until: now + Duration::from_millis(LOAN_WAIT_MS),
                tries_left: account.lenders.len().min(MAX_LENDERS_TRIED),
            });
        }
        self.request_loans(now, key, out);
        self.accounts.get(key).is_some_and(|a| a.open_requests(now) > 0)
    }

    /// Requests loans before any request is denied, if the demand exceeds the quota held.
    pub(super) fn borrow_early(&mut self, now: Instant, key: Key, out: &mut Vec<Effect>) {
        if let Some(account) = self.accounts.get_mut(key)
            && account.is_running_low(now)
        {
            account.next_early_round = now + Duration::from_millis(MIN_EARLY_INTERVAL_MS);
            self.borrow_for(now, key, 0, out);
        }
    }

    /// Sends requests to further lenders while the shortage lasts and lenders are left to try.
    fn request_loans(&mut self, now: Instant, key: Key, out: &mut Vec<Effect>) {
        while self.loan_requests_left > 0
            && let Some(account) = self.accounts.get_mut(key)
            && let Some((to, least, want)) = account.next_loan_request(now)
        {
            self.loan_requests_left -= 1;
            self.send_request(now, key, to, Spec { least, want, renew: None }, out);
        }
    }

    /// Sends one request for a loan or for its renewal.
    pub(super) fn send_request(
        &mut self,
        now: Instant,
        key: Key,
        to: name::Host,
        spec: Spec,
        out: &mut Vec<Effect>,
    ) {
        let number = self.next_serial();
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        let pending = Pending {
            to: to.clone(),
            at: now,
            renew: spec.renew,
            grace: account.longest_deadline,
            single_use: account.is_single_use(now, spec.least),
        };
        account.pending.insert(number, pending);
        if account.pending.len() > MAX_PENDING {
            // A late grant for the dropped request is returned to its lender.
            account.pending.pop_first();
        }
        let request = Request {
            number,
            workspace: account.workspace.clone(),
            least: spec.least,
            want: spec.want,
            renew: spec.renew,
            grace_ms: ceil_ms(account.longest_deadline),
        };
        out.push(Effect::Send(to, Message::Request(request)));
    }

    /// Handles a lender's answer.
    pub(super) fn on_grant(
        &mut self,
        now: Instant,
        from: &name::Host,
        grant: Grant,
        out: &mut Vec<Effect>,
    ) {
        let Some(key) = self.names.get(&grant.workspace).copied() else {
            return;
        };
        let roster = self.roster();
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        account.advance(now);
        let Some(pending) = account.take_pending(from, grant.number) else {
            account.reject(from, &grant, Levels::default(), out);
            return;
        };
        let life = self.settings.loan_life().min(Duration::from_millis(grant.life_ms.into()));
        let until = pending.at + life;
        // A lender that has missed the current roster may lend what it no longer owns.
        let useless = grant.quota.is_empty() || until <= now || grant.roster < roster;
        if pending.renew.is_some() {
            account.extend(&grant, until, useless);
            return;
        }
        if useless {
            account.back_off(now);
            account.reject(from, &grant, grant.levels, out);
        } else {
            account.receive(now, &grant, pending, until);
            out.push(Effect::Retry(grant.workspace));
        }
        self.request_loans(now, key, out);
    }
}

/// What a loan request asks for.
pub struct Spec {
    /// The least quota that is of use.
    pub least: Quota,
    /// The quota that the borrower would use.
    pub want: Quota,
    /// The lender's number of the loan to renew; `None` for a new loan.
    pub renew: Option<u64>,
}

impl Account {
    fn open_requests(&self, now: Instant) -> usize {
        self.pending.values().filter(|p| p.is_open(now)).count()
    }

    /// Returns the next lender, the least quota and the quota wanted; `None` if there is no
    /// shortage or nobody left to try.
    fn next_loan_request(&mut self, now: Instant) -> Option<(name::Host, Quota, Quota)> {
        let shortage = self.shortage.filter(|s| s.until > now && s.tries_left > 0)?;
        let least = self.missing(shortage.tokens);
        let single_use = self.is_single_use(now, least);
        // A single request needs one lender at a time; a larger shortage is spread over several.
        let max_open = if single_use { 1 } else { MAX_OPEN_REQUESTS };
        if self.open_requests(now) >= max_open {
            return None;
        }
        let lack = if single_use { Quota::default() } else { self.need(now).minus(self.held) };
        let want = least.max(lack);
        if want.is_empty() {
            return None;
        }
        let all = want.requests == 0 && want.tokens == 0;
        let to =
            self.next_lender(now, if all { self.lenders.len() } else { self.holder_lenders })?;
        self.shortage = Some(Shortage { tries_left: shortage.tries_left - 1, ..shortage });
        Some((to, least, want))
    }

    /// Returns whether the demand is so low that a loan of `least` would mostly be idle here. Such
    /// a loan is returned after one request.
    fn is_single_use(&self, now: Instant, least: Quota) -> bool {
        let need = self.need(now);
        let small = need.requests < least.requests || need.tokens < least.tokens;
        small || !self.demand.is_steady(now)
    }

    /// Returns the next of the first `count` lenders that has no open request.
    fn next_lender(&mut self, now: Instant, count: usize) -> Option<name::Host> {
        for _ in 0..count {
            let host = self.lenders.get(self.cursor % count)?.clone();
            self.cursor = (self.cursor + 1) % count;
            if !self.pending.values().any(|p| p.to == host && p.is_open(now)) {
                return Some(host);
            }
        }
        None
    }

    /// Returns whether the quota held is below the demand and the bucket is running out.
    fn is_running_low(&self, now: Instant) -> bool {
        if self.next_early_round > now || self.next_round > now || !self.demand.is_steady(now) {
            return false;
        }
        let lack = self.need(now).minus(self.held);
        (lack.requests > 0 && self.requests.is_low())
            || (lack.tokens > 0 && self.tokens.is_low())
            || lack.slots > 0
    }

    fn take_pending(&mut self, from: &name::Host, number: u64) -> Option<Pending> {
        self.pending.get(&number).filter(|p| p.to == *from)?;
        self.pending.remove(&number)
    }

    fn extend(&mut self, grant: &Grant, until: Instant, useless: bool) {
        if useless {
            return;
        }
        if let Some(loan) = self.borrowed.get_mut(&grant.loan).filter(|l| l.active) {
            loan.until = loan.until.max(until);
            self.recount();
        }
    }

    /// Returns a grant that cannot be used, unless an earlier copy of the same message put it in
    /// use.
    fn reject(&self, from: &name::Host, grant: &Grant, levels: Levels, out: &mut Vec<Effect>) {
        if grant.quota.is_empty() || self.borrowed.contains_key(&grant.loan) {
            return;
        }
        let returned = Return {
            loan: grant.loan,
            workspace: grant.workspace.clone(),
            levels,
            slots: grant.quota.slots,
        };
        out.push(Effect::Send(from.clone(), Message::Return(returned)));
    }

    /// Delays the next round of loan requests once all lenders of a round have been tried in vain.
    fn back_off(&mut self, now: Instant) {
        if self.shortage.is_some_and(|s| s.tries_left > 0) {
            return;
        }
        // An entry whose own share cannot admit the request depends on loans, so it backs off less.
        let suffices = self.own_share_suffices();
        let shift = self.failed_rounds.min(if suffices {
            MAX_BACKOFF_SHIFT
        } else {
            MAX_BACKOFF_SHIFT_WITHOUT_SHARE
        });
        self.next_round = now + Duration::from_millis(MIN_BACKOFF_MS << shift);
        self.failed_rounds = self.failed_rounds.saturating_add(1);
    }

    /// Returns whether the capacity of the own share is enough for the denied request.
    fn own_share_suffices(&self) -> bool {
        let tokens = self.shortage.map_or(0, |s| s.tokens);
        self.own.requests >= self.requests.bound().parts_for(UNIT)
            && self.own.tokens >= self.tokens.bound().parts_for(tokens)
    }

    fn receive(&mut self, now: Instant, grant: &Grant, pending: Pending, until: Instant) {
        // The next round starts with the lender that granted a loan.
        if let Some(place) = self.lenders.iter().position(|h| *h == pending.to) {
            self.cursor = place;
        }
        let loan = Borrowed {
            from: pending.to,
            quota: grant.quota,
            until,
            grace: pending.grace,
            active: true,
            single_use: grant.single_use || pending.single_use,
            since: now,
            slots_returned: 0,
            levels: Levels::default(),
            repeats_left: 0,
        };
        self.borrowed.insert(grant.loan, loan);
        self.recount();
        self.add(grant.levels);
        // A single-use loan comes from a lender that is itself short, so the backoff continues.
        if !grant.single_use {
            self.failed_rounds = 0;
        }
    }
}

impl Pending {
    /// Returns whether this is a request for a new loan that still waits for its answer.
    fn is_open(&self, now: Instant) -> bool {
        self.renew.is_none() && self.at + Duration::from_millis(GRANT_WAIT_MS) > now
    }
}
