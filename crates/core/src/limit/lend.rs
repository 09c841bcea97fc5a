//! The lender's side of loans: grants, renewals and returns.

use crate::limit::account::Account;
use crate::limit::loan::Lent;
use crate::limit::{Effect, Limiter};
use crate::name;
use crate::share::{Grant, Levels, Message, Quota, Request, Return};
use crate::time::Instant;

/// Smallest part of a rate that is lent when the borrower needs no minimum, in parts per million.
const MIN_LOAN_PPM: u32 = 10_000;

/// The loan that a lender decides to give; an empty quota means none.
struct Offer {
    quota: Quota,
    single_use: bool,
}

impl Limiter {
    /// Decides on a request for a loan or a renewal, and answers it.
    pub(super) fn on_request(
        &mut self,
        now: Instant,
        from: &name::Host,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let member = self.roster.as_ref().is_some_and(|(r, _)| r.entries.contains_key(from));
        let loan = self.next_serial();
        let mut grant = Grant {
            number: request.number,
            loan,
            workspace: request.workspace.clone(),
            roster: self.roster(),
            quota: Quota::default(),
            levels: Levels::default(),
            life_ms: self.settings.loan_ms,
            single_use: false,
        };
        let key = self.names.get(&request.workspace).copied().unwrap_or_default();
        let account = self.accounts.get_mut(key).filter(|_| member && self.settings.lend);
        if let Some(account) = account {
            account.advance(now);
            if account.has_lent(from, &request) {
                return;
            }
            let until = now + self.settings.with_clock_drift(self.settings.loan_life());
            let grace = std::time::Duration::from_millis(request.grace_ms.into());
            let slots_until = until + self.settings.with_clock_drift(grace);
            match request.renew {
                Some(loan) => {
                    grant.loan = loan;
                    grant.quota = account.renew(now, from, loan, (until, slots_until));
                }
                None => {
                    let offer = account.offer(now, &request);
                    grant.quota = offer.quota;
                    grant.single_use = offer.single_use;
                }
            }
            if request.renew.is_none() && !grant.quota.is_empty() {
                grant.levels = account.take(grant.quota);
                let lent = Lent {
                    to: from.clone(),
                    number: request.number,
                    quota: grant.quota,
                    rates_out: true,
                    slots_returned: 0,
                    until,
                    slots_until,
                };
                account.lent.insert(loan, lent);
                account.recount();
            }
        }
        out.push(Effect::Send(from.clone(), Message::Grant(grant)));
    }

    /// Takes back quota that a borrower has returned.
    pub(super) fn on_return(&mut self, now: Instant, from: &name::Host, returned: Return) {
        let Some(account) = self.account(&returned.workspace) else {
            return;
        };
        account.advance(now);
        let Some(lent) = account.lent.get_mut(&returned.loan).filter(|l| l.to == *from) else {
            return;
        };
        let levels = if lent.rates_out { returned.levels } else { Levels::default() };
        lent.rates_out = false;
        lent.slots_returned = lent.slots_returned.max(returned.slots.min(lent.quota.slots));
        if lent.out().is_empty() {
            account.lent.remove(&returned.loan);
        }
        account.recount();
        account.add(levels);
    }
}

impl Account {
    /// Returns whether the same request has already been granted a loan that has not been returned.
    fn has_lent(&self, from: &name::Host, request: &Request) -> bool {
        let same = |l: &Lent| l.number == request.number && l.to == *from;
        self.lent.values().any(same)
    }

    /// Returns what can be lent: quota that this entry does not need itself, or else a single-use
    /// loan of what one request needs, so that the bound goes to whichever entry has a request
    /// first.
    fn offer(&self, now: Instant, request: &Request) -> Offer {
        // If the request exceeds the whole own share, the borrower gathers the rest from others.
        let least = request.least.min(self.own);
        let lendable = self.own.minus(self.lent_out()).min(self.held);
        let lendable = Quota { slots: lendable.slots.min(self.free_slots()), ..lendable };
        let spare = lendable.min(self.held.minus(self.need(now)));
        if least.is_empty() {
            let lendable_parts = |parts| if parts < MIN_LOAN_PPM { 0 } else { parts };
            let quota = request.want.min(spare);
            let (requests, tokens) = (lendable_parts(quota.requests), lendable_parts(quota.tokens));
            return Offer { quota: Quota { requests, tokens, ..quota }, single_use: false };
        }
        if spare.covers(least) {
            return Offer { quota: request.want.min(spare), single_use: false };
        }
        let ready = Quota {
            requests: self.requests.available_parts(),
            tokens: self.tokens.available_parts(),
            slots: u32::MAX,
        };
        if lendable.min(ready).covers(least) {
            return Offer { quota: least, single_use: true };
        }
        Offer { quota: Quota::default(), single_use: false }
    }

    /// Extends a loan if this entry does not need it back. Returns the loan's quota, or an empty
    /// one if the loan is not extended.
    fn renew(
        &mut self,
        now: Instant,
        from: &name::Host,
        loan: u64,
        (until, slots_until): (Instant, Instant),
    ) -> Quota {
        let has_enough = self.held.covers(self.need(now).min(self.own));
        let allowed = self.own.covers(self.lent_out());
        let Some(lent) = self.lent.get_mut(&loan).filter(|l| l.to == *from && l.rates_out) else {
            return Quota::default();
        };
        if !has_enough || !allowed {
            return Quota::default();
        }
        lent.until = lent.until.max(until);
        lent.slots_until = lent.slots_until.max(slots_until);
        let quota = lent.quota;
        self.recount();
        quota
    }
}
