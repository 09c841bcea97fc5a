//! What one entry holds of one workspace's bounds: shares, loans, token buckets and demand.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::contract::{Contract, Limits};
use crate::limit::bucket::{Bound, Bucket, UNIT};
use crate::limit::demand::Demand;
use crate::limit::loan::{Borrowed, Lent, Pending};
use crate::limit::{Denial, SLOT_RETRY_MS};
use crate::name;
use crate::request::Refusal;
use crate::roster::{FULL_QUOTA, Roster};
use crate::share::{Levels, Quota};
use crate::time::Instant;

/// Factor by which the quota held may exceed the estimated demand.
const HEADROOM_FACTOR: f64 = 1.25;

/// Request rate up to which no spare slot is kept for the next request.
const MIN_RATE_FOR_SPARE_SLOT_PER_S: f64 = 0.1;

/// Number of later ticks that repeat a return of slots, since the message may be lost.
const RETURN_REPEATS: u8 = 1;

/// A share of the bounds that the entry owns now or owned under an earlier division.
#[derive(Clone, Debug)]
pub struct Share {
    /// The size of the share.
    pub quota: Quota,
    /// When another division replaced it; `None` for the share in force.
    pub superseded: Option<Instant>,
}

/// A denied request, or demand above the quota held, for which loans are requested.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// Tokens that the request needs, in millionths of a token.
    pub tokens: i64,
    /// When the entry stops requesting loans for it.
    pub until: Instant,
    /// Number of lenders still to be tried.
    pub tries_left: usize,
}

/// The state of one workspace's limits on this entry.
#[derive(Clone, Debug)]
pub struct Account {
    /// The workspace of the contract.
    pub workspace: name::Workspace,
    /// When the contract was removed from the configuration; `None` while it is present.
    pub removed: Option<Instant>,
    /// The bounds of the contract over all entries.
    pub limits: Limits,
    /// The longest deadline of a request: every request ends within it.
    pub longest_deadline: Duration,
    /// The share under the current division, and recent ones that still bound it.
    pub shares: Vec<Share>,
    /// The part of the own share that may be used or lent now.
    pub own: Quota,
    /// Quota that requests here may use: own, less lent, plus borrowed.
    pub held: Quota,
    /// The token bucket that limits the request rate.
    pub requests: Bucket,
    /// The token bucket that limits the rate of model tokens.
    pub tokens: Bucket,
    /// Requests in progress.
    pub in_use: u32,
    /// Loans given, by this entry's loan number.
    pub lent: BTreeMap<u64, Lent>,
    /// Loans received, by the lender's loan number.
    pub borrowed: BTreeMap<u64, Borrowed>,
    /// Unanswered loan requests and renewals, by request number.
    pub pending: BTreeMap<u64, Pending>,
    /// The other entries; those that own a part of the rates come first.
    pub lenders: Vec<name::Host>,
    /// Number of entries among which the rates are divided, this one included.
    pub holder_count: u32,
    /// Number of `lenders` that own a part of the rates.
    pub holder_lenders: usize,
    /// Index into `lenders` of the next one to try.
    pub cursor: usize,
    /// Consecutive rounds of loan requests without a useful grant.
    pub failed_rounds: u32,
    /// Earliest time of the next round of loan requests.
    pub next_round: Instant,
    /// Earliest time of the next round that is started before any request is denied.
    pub next_early_round: Instant,
    /// What loans are being requested for.
    pub shortage: Option<Shortage>,
    /// Estimate of the load that arrives at this entry.
    pub demand: Demand,
    next_event: Option<Instant>,
}

impl Account {
    /// Creates an account without a share. `slow_ppm` slows the buckets' refill to make up for
    /// clock drift, in parts per million.
    pub fn new(
        now: Instant,
        workspace: &name::Workspace,
        contract: &Contract,
        slow_ppm: u32,
    ) -> Self {
        let bounds = Bounds::new(contract);
        Self {
            workspace: workspace.clone(),
            removed: None,
            limits: contract.limits.clone(),
            longest_deadline: contract.service.longest_deadline,
            shares: Vec::new(),
            own: Quota::default(),
            held: Quota::default(),
            requests: Bucket::new(now, bounds.requests, slow_ppm),
            tokens: Bucket::new(now, bounds.tokens, slow_ppm),
            in_use: 0,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending: BTreeMap::new(),
            lenders: Vec::new(),
            holder_count: 0,
            holder_lenders: 0,
            cursor: 0,
            failed_rounds: 0,
            next_round: now,
            next_early_round: now,
            shortage: None,
            demand: Demand::new(now),
            next_event: None,
        }
    }

    /// Applies the bounds of a changed contract.
    pub fn set_contract(&mut self, now: Instant, contract: &Contract) {
        self.advance(now);
        let bounds = Bounds::new(contract);
        self.removed = None;
        self.limits = contract.limits.clone();
        self.longest_deadline = self.longest_deadline.max(contract.service.longest_deadline);
        self.requests.set_bound(bounds.requests);
        self.tokens.set_bound(bounds.tokens);
    }

    /// Advances the account to `now`. A loan that ended earlier is counted exactly up to its end.
    pub fn advance(&mut self, now: Instant) {
        while let Some(at) = self.next_event.filter(|at| *at <= now) {
            self.refill(at);
            self.expire(at);
            self.recount();
        }
        self.refill(now);
    }

    fn refill(&mut self, now: Instant) {
        self.requests.refill(now);
        self.tokens.refill(now);
    }

    fn expire(&mut self, at: Instant) {
        for lent in self.lent.values_mut().filter(|l| l.until <= at) {
            lent.rates_out = false;
        }
        self.lent.retain(|_, l| l.rates_out || (l.slots_until > at && l.out().slots > 0));
        for loan in self.borrowed.values_mut().filter(|l| l.active && l.until <= at) {
            loan.active = false;
        }
    }

    /// Recomputes the quota held after a change of the own share or of loans. The buckets must have
    /// been refilled.
    pub fn recount(&mut self) {
        let borrowed = self.borrowed.values().fold(self.own, |sum, l| sum.plus(l.usable()));
        self.held = borrowed.minus(self.lent_out());
        self.requests.set_parts(self.held.requests);
        self.tokens.set_parts(self.held.tokens);
        let lent = self.lent.values().map(Lent::next_event);
        let ends = self.borrowed.values().filter(|l| l.active).map(|l| l.until);
        self.next_event = lent.chain(ends).min();
    }

    /// Returns the quota that is lent to other entries.
    pub fn lent_out(&self) -> Quota {
        self.lent.values().fold(Quota::default(), |sum, l| sum.plus(l.out()))
    }

    /// Takes out of the buckets the contents that move with `quota`.
    pub fn take(&mut self, quota: Quota) -> Levels {
        Levels {
            requests: self.requests.take(quota.requests),
            tokens: self.tokens.take(quota.tokens),
        }
    }

    /// Adds bucket contents that came with a loan or its return. [`Account::recount`] must have
    /// run.
    pub fn add(&mut self, levels: Levels) {
        self.requests.add(i64::try_from(levels.requests).unwrap_or(0));
        self.tokens.add(i64::try_from(levels.tokens).unwrap_or(0));
    }

    /// Returns the quota for the demand seen here, with some headroom.
    pub fn need(&self, now: Instant) -> Quota {
        self.need_for(now, HEADROOM_FACTOR)
    }

    /// Returns the quota for `factor` times the demand seen here.
    pub fn need_for(&self, now: Instant, factor: f64) -> Quota {
        let parts = |demand: f64, bound: Bound| {
            let share = demand * factor * UNIT as f64 / (bound.rate.max(1) as f64);
            (share.min(1.0) * f64::from(FULL_QUOTA)) as u32
        };
        let requests = self.demand.requests(now);
        let spare =
            if requests > MIN_RATE_FOR_SPARE_SLOT_PER_S { (self.in_use / 4).max(1) } else { 0 };
        Quota {
            requests: parts(requests, self.requests.bound()),
            tokens: parts(self.demand.tokens(now), self.tokens.bound()),
            slots: self.in_use.saturating_add(spare).min(self.limits.concurrency),
        }
    }

    /// Returns the quota that is missing to admit one request of `tokens` millionths of a token.
    pub fn missing(&self, tokens: i64) -> Quota {
        let slots = u32::from(self.in_use >= self.held.slots);
        Quota {
            requests: self.requests.bound().parts_for(UNIT - self.requests.level()),
            tokens: self.tokens.bound().parts_for(tokens - self.tokens.level()),
            slots,
        }
    }

    /// Checks whether a request of `tokens` may be admitted now.
    pub fn check(&self, tokens: u32) -> Result<(), Denial> {
        let deny =
            |refusal, retry_after_ms| Err(Denial { refusal, retry_after_ms, loan_pending: false });
        if self.requests.level() < UNIT {
            return deny(Refusal::RequestRate, self.requests.retry_after_ms(UNIT));
        }
        let tokens = i64::from(tokens) * UNIT;
        if self.tokens.level() < tokens {
            return deny(Refusal::TokenRate, self.tokens.retry_after_ms(tokens));
        }
        if self.in_use >= self.held.slots {
            let retry = (self.limits.concurrency > 0).then_some(SLOT_RETRY_MS);
            return deny(Refusal::Concurrency, retry);
        }
        Ok(())
    }

    /// Charges a request that passed [`Account::check`], under a number that increases with each.
    pub fn charge(&mut self, number: u64, tokens: u32) {
        self.requests.spend(UNIT);
        self.tokens.charge(number, i64::from(tokens) * UNIT);
        self.in_use = self.in_use.saturating_add(1);
    }

    /// Sets the entries that may lend. Each borrower starts at a different one, to spread the load.
    pub fn set_lenders(&mut self, host: &name::Host, roster: &Roster) {
        let ring = roster.ring(&self.workspace);
        let holders = roster.holders(&ring, &self.limits);
        self.holder_count = u32::try_from(holders.len()).unwrap_or(u32::MAX);
        self.holder_lenders = holders.iter().filter(|(h, _)| *h != host).count();
        self.lenders = ring.iter().map(|(h, _)| *h).filter(|h| *h != host).cloned().collect();
        self.cursor = roster.entries.keys().position(|h| h == host).unwrap_or(0);
    }

    /// Returns the number of slots that are held and not in use.
    pub fn free_slots(&self) -> u32 {
        self.held.slots.saturating_sub(self.in_use)
    }

    /// Marks slots of ended loans as returned where no running request needs them. Returns the
    /// numbers of the loans that changed.
    pub fn mark_returned_slots(&mut self) -> Vec<u64> {
        let unreturned_slots: u32 = self.borrowed.values().map(Borrowed::unreturned_slots).sum();
        let occupied = self.in_use.saturating_sub(self.held.slots);
        let mut free = unreturned_slots.saturating_sub(occupied);
        let mut changed = Vec::new();
        for (number, loan) in &mut self.borrowed {
            let back = loan.unreturned_slots().min(free);
            if back > 0 {
                loan.slots_returned += back;
                loan.repeats_left = RETURN_REPEATS;
                free -= back;
                changed.push(*number);
            }
        }
        changed
    }

    /// Returns the share that may be used: the minimum of the current one and those replaced less
    /// than `overlap` ago. For slots the longest deadline is added, since requests admitted under
    /// an earlier share may run that long.
    pub fn allowed(&self, now: Instant, overlap: Duration) -> Quota {
        let rates = self.least_share(now, overlap);
        let slots = self.least_share(now, overlap + self.longest_deadline).slots;
        Quota { slots, ..rates }
    }

    fn least_share(&self, now: Instant, overlap: Duration) -> Quota {
        let fresh = |s: &&Share| s.superseded.is_none_or(|at| at + overlap > now);
        let all = self.shares.iter().filter(fresh).map(|s| s.quota);
        all.reduce(Quota::min).unwrap_or_default()
    }

    /// Replaces the current share. Earlier ones still bound the new one for a while.
    pub fn push_share(&mut self, now: Instant, quota: Quota) {
        match self.shares.last_mut() {
            Some(last) if last.quota == quota && last.superseded.is_none() => return,
            Some(last) => last.superseded = last.superseded.or(Some(now)),
            None => {}
        }
        self.shares.push(Share { quota, superseded: None });
    }

    /// Drops replaced shares that no longer bound the current one.
    pub fn prune_shares(&mut self, now: Instant, overlap: Duration) {
        let overlap = overlap + self.longest_deadline;
        self.shares.retain(|s| s.superseded.is_none_or(|at| at + overlap > now));
    }
}

struct Bounds {
    requests: Bound,
    tokens: Bound,
}

impl Bounds {
    fn new(contract: &Contract) -> Self {
        let limits = &contract.limits;
        Self {
            requests: Bound::new(limits.requests.per_second(), limits.request_burst),
            tokens: Bound::new(limits.tokens.per_second(), limits.token_burst),
        }
    }
}
