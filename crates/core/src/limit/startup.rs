//! What a starting entry waits for before it uses its own share.
//!
//! Its previous run may have lent quota that is still in use, and a roster that was replaced a
//! moment ago may still be in force elsewhere. The entry asks the others about both; if they do not
//! answer, it waits until both must be over.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::limit::loan::Lent;
use crate::limit::{Effect, Limiter, Settings};
use crate::name;
use crate::roster::Roster;
use crate::share::{Hello, Loan, Message, Quota, Welcome};
use crate::time::Instant;

/// First interval between two [`Hello`] messages to the same entry, in milliseconds. It doubles
/// each time.
const HELLO_INTERVAL_MS: u64 = 500;

/// Upper bound of the deadline of any request.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Progress of the startup, or of the check after a pause.
#[derive(Debug)]
pub struct Startup {
    began: Instant,
    /// Whether the contracts are known. Without them the answers cannot be interpreted.
    pub has_contracts: bool,
    /// Entries that have not answered yet; `None` before the first roster.
    awaited: Option<BTreeSet<name::Host>>,
    /// Whether the process had finished its startup and continues after a pause.
    resumed: bool,
    /// Whether every entry that answered runs no more requests than its slots allow.
    within_slots: bool,
    /// Whether the first roster that this run received contains this entry.
    in_first_roster: bool,
    /// When this run received the first later roster that contains this entry.
    joined: Option<Instant>,
    /// Greatest known age of the first roster, as of `learned`: how long it had been in force on
    /// some entry.
    age: Duration,
    /// When `age` was learned.
    learned: Instant,
    /// Whether the first roster has no predecessor, so that no older one can be in use.
    is_original: bool,
    next_hello: Instant,
    hello_interval: Duration,
    propagation: Duration,
    overlap: Duration,
    loan_life: Duration,
}

impl Startup {
    /// Begins the startup of a process.
    pub fn new(now: Instant, settings: &Settings) -> Self {
        Self {
            began: now,
            has_contracts: false,
            awaited: None,
            resumed: false,
            within_slots: true,
            in_first_roster: false,
            joined: None,
            age: Duration::ZERO,
            learned: now,
            is_original: false,
            next_hello: now,
            hello_interval: Duration::from_millis(HELLO_INTERVAL_MS),
            propagation: settings.propagation(),
            overlap: settings.overlap(),
            loan_life: settings.with_clock_drift(settings.loan_life()),
        }
    }

    /// Sets the entries to ask, from the first roster that this run receives.
    pub fn on_first_roster(&mut self, now: Instant, host: &name::Host, roster: &Roster) {
        let others = roster.entries.keys().filter(|h| *h != host).cloned();
        self.awaited = Some(others.collect());
        self.learned = now;
        self.is_original = roster.previous == 0;
        self.in_first_roster = roster.entries.contains_key(host);
    }

    /// Asks all entries again after a pause. What this run has recorded itself stays.
    pub fn resume(&mut self, now: Instant, host: &name::Host, roster: &Roster) {
        self.resumed |= self.is_over(now);
        self.began = now;
        self.awaited = Some(roster.entries.keys().filter(|h| *h != host).cloned().collect());
        self.next_hello = now;
        self.hello_interval = Duration::from_millis(HELLO_INTERVAL_MS);
    }

    /// Adds the entries that a later roster adds, while answers are still awaited.
    pub fn on_next_roster(
        &mut self,
        now: Instant,
        host: &name::Host,
        known: &Roster,
        roster: &Roster,
    ) {
        self.within_slots = false;
        if self.joined.is_none() && roster.entries.contains_key(host) {
            self.joined = Some(now);
        }
        let Some(awaited) = self.awaited.as_mut().filter(|a| !a.is_empty()) else {
            return;
        };
        let joined = roster.entries.keys().filter(|h| !known.entries.contains_key(*h));
        awaited.extend(joined.filter(|h| *h != host).cloned());
    }

    /// Returns whether the startup is complete, whatever the longest deadline of a contract.
    fn is_over(&self, now: Instant) -> bool {
        let share = Quota { requests: 1, tokens: 1, slots: 1 };
        self.allow(now, share, MAX_DEADLINE) == share
    }

    fn update_roster_age(&mut self, now: Instant, age: Duration) {
        if age > self.roster_age(now) {
            self.age = age;
            self.learned = now;
        }
    }

    /// Returns whether every reachable entry knows this one from its roster. A lender that restarts
    /// then asks it for the loans that it holds.
    pub fn may_borrow(&self, now: Instant) -> bool {
        if self.in_first_roster {
            return self.is_original || self.roster_age(now) >= self.propagation;
        }
        self.joined.is_some_and(|at| at + self.propagation <= now)
    }

    /// Returns how long the first roster is known to have been in force on some entry.
    fn roster_age(&self, now: Instant) -> Duration {
        self.age + now.since(self.learned)
    }

    /// Returns the part of `share` that may be used now.
    pub fn allow(&self, now: Instant, share: Quota, longest_deadline: Duration) -> Quota {
        let Some(awaited) = &self.awaited else {
            return Quota::default();
        };
        let answered = awaited.is_empty();
        let began = |wait: Duration| answered || self.began + wait <= now;
        if self.resumed {
            return if began(self.overlap) { share } else { Quota::default() };
        }
        let settled = |wait: Duration| self.is_original || self.roster_age(now) >= wait;
        let rates = began(self.overlap) && settled(self.overlap);
        let running = if answered && self.within_slots { Duration::ZERO } else { longest_deadline };
        let slots = began(self.overlap + longest_deadline) && settled(self.overlap + running);
        let slots = if slots { share.slots } else { 0 };
        if rates { Quota { slots, ..share } } else { Quota::default() }
    }
}

impl Limiter {
    /// Sends [`Message::Hello`] to the entries that have not answered yet, if it is due.
    pub(super) fn send_hellos(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let startup = &mut self.startup;
        let due = startup.has_contracts && startup.next_hello <= now;
        let Some(awaited) = startup.awaited.as_ref().filter(|_| due) else {
            return;
        };
        for host in awaited {
            let hello = Message::Hello(Hello { boot: self.boot });
            out.push(Effect::Send(host.clone(), hello));
        }
        startup.next_hello = now + startup.hello_interval;
        startup.hello_interval = startup.hello_interval.saturating_mul(2);
    }

    /// Answers a starting entry with the loans that this one holds of its share.
    pub(super) fn on_hello(
        &mut self,
        now: Instant,
        from: &name::Host,
        hello: Hello,
        out: &mut Vec<Effect>,
    ) {
        let Some((roster, learned)) = &self.roster else {
            return;
        };
        let mut within_slots = true;
        let mut loans = Vec::new();
        for account in self.accounts.values_mut() {
            account.advance(now);
            within_slots &= account.in_use <= account.held.slots;
            // A grant of its previous run that is still in transit must not be used any more.
            account.pending.retain(|_, p| p.to != *from);
            for (number, borrowed) in account.borrowed.iter().filter(|(_, b)| b.from == *from) {
                loans.push(Loan {
                    number: *number,
                    workspace: account.workspace.clone(),
                    quota: borrowed.quota,
                    left_ms: ceil_ms(borrowed.until.since(now)),
                    grace_ms: ceil_ms(borrowed.grace),
                });
            }
        }
        let changed_ms = self
            .fingerprint_changed
            .map(|at| u64::try_from(now.since(at).as_millis()).unwrap_or(0));
        let age_ms = u64::try_from(now.since(*learned).as_millis()).unwrap_or(0);
        let welcome = Welcome {
            boot: hello.boot,
            roster: roster.number,
            age_ms,
            fingerprint: self.fingerprint,
            changed_ms,
            within_slots,
            loans,
        };
        out.push(Effect::Send(from.clone(), Message::Welcome(welcome)));
    }

    /// Handles another entry's answer: the loans that it holds of this one's share.
    pub(super) fn on_welcome(&mut self, now: Instant, from: &name::Host, welcome: Welcome) {
        let roster = self.roster();
        let known = welcome.loans.iter().all(|l| self.names.contains_key(&l.workspace));
        if welcome.boot != self.boot || welcome.roster > roster || !known {
            return;
        }
        // The entry is asked again until it divides the bounds in the same way and loans from
        // before its last change of division have expired.
        let lapsed =
            welcome.changed_ms.is_none_or(|ms| self.startup.loan_life <= Duration::from_millis(ms));
        if welcome.fingerprint != self.fingerprint || !lapsed {
            return;
        }
        if !self.startup.awaited.as_mut().is_some_and(|a| a.remove(from)) {
            return;
        }
        self.startup.within_slots &= welcome.within_slots && welcome.roster == roster;
        if welcome.roster == roster {
            self.startup.update_roster_age(now, Duration::from_millis(welcome.age_ms));
        }
        if self.startup.resumed {
            return;
        }
        for loan in welcome.loans {
            self.restore_loan(now, from, loan);
        }
    }

    fn restore_loan(&mut self, now: Instant, from: &name::Host, loan: Loan) {
        let left = self.settings.with_clock_drift(Duration::from_millis(loan.left_ms.into()));
        let grace = self.settings.with_clock_drift(Duration::from_millis(loan.grace_ms.into()));
        let Some(account) = self.account(&loan.workspace) else {
            return;
        };
        account.advance(now);
        let lent = Lent {
            to: from.clone(),
            number: 0,
            quota: loan.quota,
            rates_out: true,
            slots_returned: 0,
            until: now + left,
            slots_until: now + left + grace,
        };
        account.lent.insert(loan.number, lent);
        account.recount();
    }
}

/// Returns `time` in whole milliseconds, rounded up.
pub(super) fn ceil_ms(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
