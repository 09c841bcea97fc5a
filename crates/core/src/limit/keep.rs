//! The borrower's side: renewing loans and giving them back.

use std::time::Duration;

use crate::limit::account::Account;
use crate::limit::ask::Request;
use crate::limit::{Book, Effect, Key};
use crate::name;
use crate::share::{Message, Return, Terms};
use crate::time::Instant;

/// How long a loan that the lender itself needs may be kept unused.
const BRIEF_MS: u64 = 60;

/// How long a loan is kept at least, unless it is brief.
const IDLE_MS: u64 = 1000;

/// The part of a loan's life, as a divisor, before whose end it is renewed.
const RENEW_DIVISOR: u32 = 3;

impl Book {
    /// Gives brief loans back after they have served.
    pub(super) fn return_brief(&mut self, key: Key, out: &mut Vec<Effect>) {
        let Some(account) = self.accounts.get_mut(key).filter(|a| !a.borrowed.is_empty()) else {
            return;
        };
        let brief = account.borrowed.iter().filter(|(_, l)| l.active && l.brief);
        let brief: Vec<u64> = brief.map(|(loan, _)| *loan).collect();
        for loan in brief {
            account.give_back(loan, out);
        }
    }

    /// Gives all loans back, since their lenders may have missed the present roster.
    pub(super) fn return_all(&mut self, now: Instant, key: Key, out: &mut Vec<Effect>) {
        let Some(account) = self.accounts.get_mut(key).filter(|a| !a.borrowed.is_empty()) else {
            return;
        };
        account.advance(now);
        let loans: Vec<u64> = account.borrowed.keys().copied().collect();
        for loan in loans {
            account.give_back(loan, out);
        }
    }

    /// Returns slots of ended loans as requests end.
    pub(super) fn return_slots(&mut self, key: Key, out: &mut Vec<Effect>) {
        if let Some(account) = self.accounts.get_mut(key).filter(|a| !a.borrowed.is_empty()) {
            account.return_slots(out);
        }
    }

    /// Renews loans that are needed, lets the others lapse, and repeats returns of slots.
    pub(super) fn keep_loans(&mut self, now: Instant, key: Key, out: &mut Vec<Effect>) {
        let life = self.settings.loan();
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
            if let Some((to, terms)) = account.tend(now, loan, life / RENEW_DIVISOR, out) {
                let request = Request { least: terms, want: terms, renew: Some(loan) };
                renewals.push((to, request));
            }
        }
        account.return_slots(out);
        account.borrowed.retain(|_, l| !l.is_over());
        for (to, request) in renewals {
            self.send_ask(now, key, to, request, out);
        }
    }
}

impl Account {
    /// Does what is due about a loan. Returns whom to ask for its renewal, if it is to be renewed.
    fn tend(
        &mut self,
        now: Instant,
        number: u64,
        early: Duration,
        out: &mut Vec<Effect>,
    ) -> Option<(name::Host, Terms)> {
        let need = self.need(now);
        let loan = self.borrowed.get_mut(&number)?;
        if !loan.active {
            if loan.repeats > 0 {
                loan.repeats -= 1;
                self.send_return(number, out);
            }
            return None;
        }
        if loan.brief {
            if now.since(loan.since) >= Duration::from_millis(BRIEF_MS) {
                self.give_back(number, out);
            }
            return None;
        }
        let (from, terms, until) = (loan.from.clone(), loan.terms, loan.until);
        let rest = self.held.minus(terms);
        let settled = now.since(loan.since) >= Duration::from_millis(IDLE_MS);
        if settled && self.is_surplus(now, rest) {
            self.give_back(number, out);
            return None;
        }
        let helps = terms.min(need.minus(rest));
        if helps.is_empty() || until > now + early {
            return None;
        }
        let asked = self.pending.values().any(|p| p.renew == Some(number));
        (!asked).then_some((from, terms))
    }

    /// Whether `rest` is enough by far, or just enough while the buckets are full.
    fn is_surplus(&self, now: Instant, rest: Terms) -> bool {
        let full = self.requests.is_full() && self.tokens.is_full();
        rest.covers(self.need_for(now, 2.0)) || (full && rest.covers(self.need_for(now, 1.0)))
    }

    /// Ends a loan before its time. The account must have been advanced.
    fn give_back(&mut self, number: u64, out: &mut Vec<Effect>) {
        let Some(terms) = self.borrowed.get(&number).filter(|l| l.active).map(|l| l.terms) else {
            return;
        };
        let levels = self.take(terms);
        if let Some(loan) = self.borrowed.get_mut(&number) {
            loan.active = false;
            loan.levels = levels;
        }
        self.recount();
        let closed = self.close_slots();
        if !closed.contains(&number) {
            self.send_return(number, out);
        }
        for loan in closed {
            self.send_return(loan, out);
        }
    }

    fn return_slots(&mut self, out: &mut Vec<Effect>) {
        for loan in self.close_slots() {
            self.send_return(loan, out);
        }
    }

    fn send_return(&self, number: u64, out: &mut Vec<Effect>) {
        let Some(loan) = self.borrowed.get(&number) else {
            return;
        };
        let back = Return {
            loan: number,
            workspace: self.workspace.clone(),
            levels: loan.levels,
            slots: loan.slots_back,
        };
        out.push(Effect::Send(loan.from.clone(), Message::Return(back)));
    }
}
