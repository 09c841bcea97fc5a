//! What a starting entry must wait for before it uses its own share.
//!
//! Its former run may have lent parts that are still out, and a roster that was replaced a moment
//! ago may still be in use elsewhere. The other entries know both.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::limit::loan::Lent;
use crate::limit::{Book, Effect, Settings};
use crate::name;
use crate::roster::Roster;
use crate::share::{Held, Hello, Message, Terms, Welcome};
use crate::time::Instant;

const HELLO_INTERVAL_MS: u64 = 500;

/// No request has a longer deadline.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// Progress of the start.
#[derive(Debug)]
pub struct Start {
    began: Instant,
    /// Whether the contracts are known, without which the answers mean nothing.
    pub contracts: bool,
    /// Entries that have not answered; none before the first roster.
    awaited: Option<BTreeSet<name::Host>>,
    /// Whether this is a process that goes on after a pause.
    resumed: bool,
    /// Whether every entry that answered runs no more requests than its share allows.
    fits: bool,
    /// Whether the first roster names this entry.
    named: bool,
    /// When a later roster was learned that does.
    joined: Option<Instant>,
    /// How long the first roster had been in force somewhere when this entry learned so.
    age: Duration,
    /// When it learned so.
    learned: Instant,
    /// Whether no other roster can be in use, whatever its age.
    only: bool,
    next_hello: Instant,
    hello_interval: Duration,
    propagation: Duration,
    wait: Duration,
    lapse: Duration,
}

impl Start {
    /// The start of a process.
    pub fn new(now: Instant, settings: &Settings) -> Self {
        Self {
            began: now,
            contracts: false,
            awaited: None,
            resumed: false,
            fits: true,
            named: false,
            joined: None,
            age: Duration::ZERO,
            learned: now,
            only: false,
            next_hello: now,
            hello_interval: Duration::from_millis(HELLO_INTERVAL_MS),
            propagation: settings.propagation(),
            wait: settings.wait(),
            lapse: settings.surely(settings.loan()),
        }
    }

    /// Learns whom to ask.
    pub fn on_first_roster(&mut self, now: Instant, host: &name::Host, roster: &Roster) {
        let others = roster.entries.keys().filter(|h| *h != host).cloned();
        self.awaited = Some(others.collect());
        self.learned = now;
        self.only = roster.previous == 0;
        self.named = roster.entries.contains_key(host);
    }

    /// Starts over after a pause, except for what this run knows itself.
    pub fn resume(&mut self, now: Instant, host: &name::Host, roster: &Roster) {
        self.resumed |= self.is_over(now);
        self.began = now;
        self.awaited = Some(roster.entries.keys().filter(|h| *h != host).cloned().collect());
        self.next_hello = now;
        self.hello_interval = Duration::from_millis(HELLO_INTERVAL_MS);
    }

    /// Learns of further entries to ask while the start is not over.
    pub fn on_next_roster(
        &mut self,
        now: Instant,
        host: &name::Host,
        known: &Roster,
        roster: &Roster,
    ) {
        self.fits = false;
        if self.joined.is_none() && roster.entries.contains_key(host) {
            self.joined = Some(now);
        }
        let Some(awaited) = self.awaited.as_mut().filter(|a| !a.is_empty()) else {
            return;
        };
        let joined = roster.entries.keys().filter(|h| !known.entries.contains_key(*h));
        awaited.extend(joined.filter(|h| *h != host).cloned());
    }

    /// Whether all waits of a start are over, whatever the longest deadline.
    fn is_over(&self, now: Instant) -> bool {
        let share = Terms { requests: 1, tokens: 1, slots: 1 };
        self.allow(now, share, LONGEST_WAIT) == share
    }

    fn on_age(&mut self, now: Instant, age: Duration) {
        if age > self.known_for(now) {
            self.age = age;
            self.learned = now;
        }
    }

    /// Whether every reachable entry knows this one, so that a lender that restarts will ask it.
    pub fn may_borrow(&self, now: Instant) -> bool {
        if self.named {
            return self.only || self.known_for(now) >= self.propagation;
        }
        self.joined.is_some_and(|at| at + self.propagation <= now)
    }

    /// For how long the first roster has been in force somewhere.
    fn known_for(&self, now: Instant) -> Duration {
        self.age + now.since(self.learned)
    }

    /// What may be used of a share now.
    pub fn allow(&self, now: Instant, share: Terms, longest: Duration) -> Terms {
        let Some(awaited) = &self.awaited else {
            return Terms::default();
        };
        let answered = awaited.is_empty();
        let began = |wait: Duration| answered || self.began + wait <= now;
        if self.resumed {
            return if began(self.wait) { share } else { Terms::default() };
        }
        let settled = |wait: Duration| self.only || self.known_for(now) >= wait;
        let rates = began(self.wait) && settled(self.wait);
        let running = if answered && self.fits { Duration::ZERO } else { longest };
        let slots = began(self.wait + longest) && settled(self.wait + running);
        let slots = if slots { share.slots } else { 0 };
        if rates { Terms { slots, ..share } } else { Terms::default() }
    }
}

impl Book {
    /// Asks the entries that have not answered yet what they hold.
    pub(super) fn greet(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let start = &mut self.start;
        let due = start.contracts && start.next_hello <= now;
        let Some(awaited) = start.awaited.as_ref().filter(|_| due) else {
            return;
        };
        for host in awaited {
            let hello = Message::Hello(Hello { boot: self.boot });
            out.push(Effect::Send(host.clone(), hello));
        }
        start.next_hello = now + start.hello_interval;
        start.hello_interval = start.hello_interval.saturating_mul(2);
    }

    /// Tells a starting entry what this one holds of its share.
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
        let mut fits = true;
        let mut loans = Vec::new();
        for account in self.accounts.values_mut() {
            account.advance(now);
            fits &= account.in_use <= account.held.slots;
            // A grant of the former run that is still on its way must not count any more.
            account.pending.retain(|_, p| p.to != *from);
            for (loan, borrowed) in account.borrowed.iter().filter(|(_, b)| b.from == *from) {
                loans.push(Held {
                    loan: *loan,
                    workspace: account.workspace.clone(),
                    terms: borrowed.terms,
                    left_ms: millis(borrowed.until.since(now)),
                    hold_ms: millis(borrowed.hold),
                });
            }
        }
        let changed_ms =
            self.divided.map(|at| u64::try_from(now.since(at).as_millis()).unwrap_or(0));
        let age_ms = u64::try_from(now.since(*learned).as_millis()).unwrap_or(0);
        let welcome = Welcome {
            boot: hello.boot,
            roster: roster.number,
            age_ms,
            division: self.division,
            changed_ms,
            fits,
            loans,
        };
        out.push(Effect::Send(from.clone(), Message::Welcome(welcome)));
    }

    /// Learns what another entry holds of this one's share.
    pub(super) fn on_welcome(&mut self, now: Instant, from: &name::Host, welcome: Welcome) {
        let roster = self.roster();
        let known = welcome.loans.iter().all(|l| self.names.contains_key(&l.workspace));
        if welcome.boot != self.boot || welcome.roster > roster || !known {
            return;
        }
        // It is asked again until it divides alike, and what it lent before has lapsed.
        let lapsed =
            welcome.changed_ms.is_none_or(|ms| self.start.lapse <= Duration::from_millis(ms));
        if welcome.division != self.division || !lapsed {
            return;
        }
        if !self.start.awaited.as_mut().is_some_and(|a| a.remove(from)) {
            return;
        }
        self.start.fits &= welcome.fits && welcome.roster == roster;
        if welcome.roster == roster {
            self.start.on_age(now, Duration::from_millis(welcome.age_ms));
        }
        if self.start.resumed {
            return;
        }
        for held in welcome.loans {
            self.remember(now, from, held);
        }
    }

    fn remember(&mut self, now: Instant, from: &name::Host, held: Held) {
        let left = self.settings.surely(Duration::from_millis(held.left_ms.into()));
        let hold = self.settings.surely(Duration::from_millis(held.hold_ms.into()));
        let Some(account) = self.account(&held.workspace) else {
            return;
        };
        account.advance(now);
        let lent = Lent {
            to: from.clone(),
            number: 0,
            terms: held.terms,
            rates_out: true,
            slots_back: 0,
            until: now + left,
            hold_until: now + left + hold,
        };
        account.lent.insert(held.loan, lent);
        account.recount();
    }
}

/// Whole milliseconds, rounded up.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
