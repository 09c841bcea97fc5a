//! The lender's side: giving, renewing and taking back.

use crate::limit::account::Account;
use crate::limit::loan::Lent;
use crate::limit::{Book, Effect};
use crate::name;
use crate::share::{Ask, Grant, Levels, Message, Return, Terms};
use crate::time::Instant;

/// The least part that is worth a loan when nothing particular is short.
const LEAST_PARTS: u32 = 10_000;

/// What a lender decides.
struct Offer {
    terms: Terms,
    brief: bool,
}

impl Book {
    /// Decides on a request for a loan.
    pub(super) fn on_ask(
        &mut self,
        now: Instant,
        from: &name::Host,
        ask: Ask,
        out: &mut Vec<Effect>,
    ) {
        let member = self.roster.as_ref().is_some_and(|(r, _)| r.entries.contains_key(from));
        let loan = self.next_serial();
        let mut grant = Grant {
            number: ask.number,
            loan,
            workspace: ask.workspace.clone(),
            roster: self.roster(),
            terms: Terms::default(),
            levels: Levels::default(),
            life_ms: self.settings.loan_ms,
            brief: false,
        };
        let key = self.names.get(&ask.workspace).copied().unwrap_or_default();
        let account = self.accounts.get_mut(key).filter(|_| member && self.settings.lend);
        if let Some(account) = account {
            account.advance(now);
            if account.has_lent(from, &ask) {
                return;
            }
            let until = now + self.settings.surely(self.settings.loan());
            let hold = std::time::Duration::from_millis(ask.hold_ms.into());
            let hold_until = until + self.settings.surely(hold);
            match ask.renew {
                Some(loan) => {
                    grant.loan = loan;
                    grant.terms = account.renew(now, from, loan, (until, hold_until));
                }
                None => {
                    let offer = account.offer(now, &ask);
                    grant.terms = offer.terms;
                    grant.brief = offer.brief;
                }
            }
            if ask.renew.is_none() && !grant.terms.is_empty() {
                grant.levels = account.take(grant.terms);
                let lent = Lent {
                    to: from.clone(),
                    number: ask.number,
                    terms: grant.terms,
                    rates_out: true,
                    slots_back: 0,
                    until,
                    hold_until,
                };
                account.lent.insert(loan, lent);
                account.recount();
            }
        }
        out.push(Effect::Send(from.clone(), Message::Grant(grant)));
    }

    /// Takes back what a borrower has stopped using.
    pub(super) fn on_return(&mut self, now: Instant, from: &name::Host, back: Return) {
        let Some(account) = self.account(&back.workspace) else {
            return;
        };
        account.advance(now);
        let Some(lent) = account.lent.get_mut(&back.loan).filter(|l| l.to == *from) else {
            return;
        };
        let levels = if lent.rates_out { back.levels } else { Levels::default() };
        lent.rates_out = false;
        lent.slots_back = lent.slots_back.max(back.slots.min(lent.terms.slots));
        if lent.out().is_empty() {
            account.lent.remove(&back.loan);
        }
        account.recount();
        account.add(levels);
    }
}

impl Account {
    /// Whether this very request was answered with a loan that is still out.
    fn has_lent(&self, from: &name::Host, ask: &Ask) -> bool {
        let same = |l: &Lent| l.number == ask.number && l.to == *from;
        self.lent.values().any(same)
    }

    /// What can be given: what this entry does not need itself, or else, for a moment, what one
    /// request needs, so that the bound goes to whoever has a request first.
    fn offer(&self, now: Instant, ask: &Ask) -> Offer {
        // What nobody could give at once is gathered from several.
        let least = ask.least.min(self.own);
        let lendable = self.own.minus(self.lent_out()).min(self.held);
        let lendable = Terms { slots: lendable.slots.min(self.free_slots()), ..lendable };
        let spare = lendable.min(self.held.minus(self.need(now)));
        if least.is_empty() {
            let worth = |parts| if parts < LEAST_PARTS { 0 } else { parts };
            let terms = ask.want.min(spare);
            let (requests, tokens) = (worth(terms.requests), worth(terms.tokens));
            return Offer { terms: Terms { requests, tokens, ..terms }, brief: false };
        }
        if spare.covers(least) {
            return Offer { terms: ask.want.min(spare), brief: false };
        }
        let ready =
            Terms { requests: self.requests.ready(), tokens: self.tokens.ready(), slots: u32::MAX };
        if lendable.min(ready).covers(least) {
            return Offer { terms: least, brief: true };
        }
        Offer { terms: Terms::default(), brief: false }
    }

    /// Extends a loan if this entry does not need it back. Returns its terms if it is extended.
    fn renew(
        &mut self,
        now: Instant,
        from: &name::Host,
        loan: u64,
        (until, hold_until): (Instant, Instant),
    ) -> Terms {
        let content = self.held.covers(self.need(now).min(self.own));
        let allowed = self.own.covers(self.lent_out());
        let Some(lent) = self.lent.get_mut(&loan).filter(|l| l.to == *from && l.rates_out) else {
            return Terms::default();
        };
        if !content || !allowed {
            return Terms::default();
        }
        lent.until = lent.until.max(until);
        lent.hold_until = lent.hold_until.max(hold_until);
        let terms = lent.terms;
        self.recount();
        terms
    }
}
