//! The borrower's side: asking for loans and receiving them.

use std::time::Duration;

use crate::limit::account::{Account, Short};
use crate::limit::bucket::UNIT;
use crate::limit::loan::{Borrowed, Pending};
use crate::limit::start::millis;
use crate::limit::{Book, Effect, Key, PARK_MS};
use crate::name;
use crate::share::{Ask, Grant, Levels, Message, Return, Terms};
use crate::time::Instant;

/// How long an answer is waited for before another entry is asked.
const ANSWER_MS: u64 = 100;

/// Requests for loans of one workspace that may be unanswered at once.
const MAX_OPEN: usize = 4;

/// Unanswered requests for loans and renewals that are remembered for one workspace.
const MAX_PENDING: usize = 64;

/// Lenders that are tried for one request.
const MAX_TRIES: usize = 6;

const FIRST_BACKOFF_MS: u64 = 20;
const MAX_BACKOFF_SHIFT: u32 = 6;
const MIN_BACKOFF_SHIFT: u32 = 2;

/// Least time between two requests for loans that are made before anything is denied.
const EARLY_INTERVAL_MS: u64 = 250;

impl Book {
    /// Asks for what a request of `tokens` lacks. Returns whether an answer is awaited.
    pub(super) fn ask_for(
        &mut self,
        now: Instant,
        key: Key,
        tokens: u32,
        out: &mut Vec<Effect>,
    ) -> bool {
        let may = self.start.may_borrow(now);
        let Some(account) = self.accounts.get_mut(key).filter(|_| self.settings.lend && may) else {
            return false;
        };
        let waiting = account.short.is_some_and(|s| s.until > now);
        if !waiting && account.next_ask <= now {
            account.short = Some(Short {
                tokens: i64::from(tokens) * UNIT,
                until: now + Duration::from_millis(PARK_MS),
                tries: account.lenders.len().min(MAX_TRIES),
            });
        }
        self.ask_next(now, key, out);
        self.accounts.get(key).is_some_and(|a| a.open_asks(now) > 0)
    }

    /// Asks early if the demand outgrows what is held.
    pub(super) fn ask_early(&mut self, now: Instant, key: Key, out: &mut Vec<Effect>) {
        if let Some(account) = self.accounts.get_mut(key)
            && account.runs_low(now)
        {
            account.next_early = now + Duration::from_millis(EARLY_INTERVAL_MS);
            self.ask_for(now, key, 0, out);
        }
    }

    /// Asks further lenders, as long as something is short and the tries last.
    fn ask_next(&mut self, now: Instant, key: Key, out: &mut Vec<Effect>) {
        while self.asks > 0
            && let Some(account) = self.accounts.get_mut(key)
            && let Some((to, least, want)) = account.next_ask(now)
        {
            self.asks -= 1;
            self.send_ask(now, key, to, Request { least, want, renew: None }, out);
        }
    }

    /// Sends one request for a loan or its renewal.
    pub(super) fn send_ask(
        &mut self,
        now: Instant,
        key: Key,
        to: name::Host,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let number = self.next_serial();
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        let pending = Pending {
            to: to.clone(),
            at: now,
            renew: request.renew,
            hold: account.longest,
            brief: account.is_brief(now, request.least),
        };
        account.pending.insert(number, pending);
        if account.pending.len() > MAX_PENDING {
            // A grant that still comes for the oldest is given back.
            account.pending.pop_first();
        }
        let ask = Ask {
            number,
            workspace: account.workspace.clone(),
            least: request.least,
            want: request.want,
            renew: request.renew,
            hold_ms: millis(account.longest),
        };
        out.push(Effect::Send(to, Message::Ask(ask)));
    }

    /// Takes a lender's answer.
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
        let life = self.settings.loan().min(Duration::from_millis(grant.life_ms.into()));
        let until = pending.at + life;
        // A lender that has missed the present roster may lend what it no longer owns.
        let useless = grant.terms.is_empty() || until <= now || grant.roster < roster;
        if pending.renew.is_some() {
            account.extend(&grant, until, useless);
            return;
        }
        if useless {
            account.on_refusal(now);
            account.reject(from, &grant, grant.levels, out);
        } else {
            account.receive(now, &grant, pending, until);
            out.push(Effect::Retry(grant.workspace));
        }
        self.ask_next(now, key, out);
    }
}

/// What is asked of a lender.
pub struct Request {
    /// The least that is of use.
    pub least: Terms,
    /// What is wanted.
    pub want: Terms,
    /// The loan to renew.
    pub renew: Option<u64>,
}

impl Account {
    fn open_asks(&self, now: Instant) -> usize {
        self.pending.values().filter(|p| p.is_open(now)).count()
    }

    /// Whom to ask next, and for what, if something is short and the tries last.
    fn next_ask(&mut self, now: Instant) -> Option<(name::Host, Terms, Terms)> {
        let short = self.short.filter(|s| s.until > now && s.tries > 0)?;
        let least = self.missing(short.tokens);
        let brief = self.is_brief(now, least);
        // One lender at a time for a single request; several when much is short.
        let most = if brief { 1 } else { MAX_OPEN };
        if self.open_asks(now) >= most {
            return None;
        }
        let lack = if brief { Terms::default() } else { self.need(now).minus(self.held) };
        let want = least.max(lack);
        if want.is_empty() {
            return None;
        }
        let all = want.requests == 0 && want.tokens == 0;
        let to = self.next_lender(now, if all { self.lenders.len() } else { self.holders })?;
        self.short = Some(Short { tries: short.tries - 1, ..short });
        Some((to, least, want))
    }

    /// Whether the demand is so low that a loan of `least` would mostly lie idle here, so that it
    /// is given back after one request.
    fn is_brief(&self, now: Instant, least: Terms) -> bool {
        let need = self.need(now);
        let small = need.requests < least.requests || need.tokens < least.tokens;
        small || !self.demand.is_steady(now)
    }

    /// The next of the first `count` lenders that is not being asked.
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

    /// Whether the rate held is below the demand and the bucket is running out.
    fn runs_low(&self, now: Instant) -> bool {
        if self.next_early > now || self.next_ask > now || !self.demand.is_steady(now) {
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

    /// Gives back at once what cannot be used, unless it is in use by an earlier copy of the grant.
    fn reject(&self, from: &name::Host, grant: &Grant, levels: Levels, out: &mut Vec<Effect>) {
        if grant.terms.is_empty() || self.borrowed.contains_key(&grant.loan) {
            return;
        }
        let back = Return {
            loan: grant.loan,
            workspace: grant.workspace.clone(),
            levels,
            slots: grant.terms.slots,
        };
        out.push(Effect::Send(from.clone(), Message::Return(back)));
    }

    /// Backs off once all tries for a request have brought nothing.
    fn on_refusal(&mut self, now: Instant) {
        if self.short.is_some_and(|s| s.tries > 0) {
            return;
        }
        // Without a part that admits a request, everything depends on loans.
        let alone = self.holds_one();
        let shift = self.fruitless.min(if alone { MAX_BACKOFF_SHIFT } else { MIN_BACKOFF_SHIFT });
        self.next_ask = now + Duration::from_millis(FIRST_BACKOFF_MS << shift);
        self.fruitless = self.fruitless.saturating_add(1);
    }

    /// Whether the own part can hold what the denied request needs.
    fn holds_one(&self) -> bool {
        let tokens = self.short.map_or(0, |s| s.tokens);
        self.own.requests >= self.requests.bound().parts(UNIT)
            && self.own.tokens >= self.tokens.bound().parts(tokens)
    }

    fn receive(&mut self, now: Instant, grant: &Grant, pending: Pending, until: Instant) {
        // The one that could lend is asked first the next time.
        if let Some(place) = self.lenders.iter().position(|h| *h == pending.to) {
            self.cursor = place;
        }
        let loan = Borrowed {
            from: pending.to,
            terms: grant.terms,
            until,
            hold: pending.hold,
            active: true,
            brief: grant.brief || pending.brief,
            since: now,
            slots_back: 0,
            levels: Levels::default(),
            repeats: 0,
        };
        self.borrowed.insert(grant.loan, loan);
        self.recount();
        self.add(grant.levels);
        // A lender that is itself short shows that there is little to be had.
        if !grant.brief {
            self.fruitless = 0;
        }
    }
}

impl Pending {
    /// Whether an answer to a request for a new loan may still come soon.
    fn is_open(&self, now: Instant) -> bool {
        self.renew.is_none() && self.at + Duration::from_millis(ANSWER_MS) > now
    }
}
