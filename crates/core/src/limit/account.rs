//! What one entry holds of one workspace's bounds.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::contract::{Contract, Limits};
use crate::limit::bucket::{Bound, Bucket, UNIT};
use crate::limit::demand::Demand;
use crate::limit::loan::{Borrowed, Lent, Pending};
use crate::limit::{Denial, SLOT_RETRY_MS};
use crate::name;
use crate::request::Refusal;
use crate::roster::{Roster, WHOLE};
use crate::share::{Levels, Quota};
use crate::time::Instant;

/// Headroom over the estimated demand, as a factor.
const HEADROOM_FACTOR: f64 = 1.25;

/// Requests a second below which no slot is kept for the next request.
const MIN_SPARE_SLOT_PER_S: f64 = 0.1;

/// How often a return of slots is repeated by later ticks, since it may get lost.
const RETURN_REPEATS: u8 = 1;

/// A share of the bound that the entry owns or owned by some division of it.
#[derive(Clone, Debug)]
pub struct Share {
    /// The amounts.
    pub quota: Quota,
    /// When another division replaced it; none for the one in force.
    pub superseded: Option<Instant>,
}

/// A request that could not be admitted and for which loans are asked for.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    /// Tokens that it needs, in millionths.
    pub tokens: i64,
    /// When it is given up.
    pub until: Instant,
    /// Lenders that are still to be tried.
    pub tries_left: usize,
}

/// One workspace's account.
#[derive(Clone, Debug)]
pub struct Account {
    /// The workspace.
    pub workspace: name::Workspace,
    /// When the contract was taken away, if it was.
    pub removed: Option<Instant>,
    /// The bounds over all entries.
    pub limits: Limits,
    /// Every request is over after this time.
    pub longest_deadline: Duration,
    /// The shares by the present division and by recent ones.
    pub shares: Vec<Share>,
    /// The share that may be used or lent now.
    pub own: Quota,
    /// The amounts in use or ready: own, less lent, plus borrowed.
    pub held: Quota,
    /// The bucket of requests.
    pub requests: Bucket,
    /// The bucket of tokens.
    pub tokens: Bucket,
    /// Requests in progress.
    pub in_use: u32,
    /// Loans given, by this entry's number of the loan.
    pub lent: BTreeMap<u64, Lent>,
    /// Loans received, by the lender's number of the loan.
    pub borrowed: BTreeMap<u64, Borrowed>,
    /// Unanswered requests for loans, by number.
    pub pending: BTreeMap<u64, Pending>,
    /// The other entries, first those that own a part of the rates.
    pub lenders: Vec<name::Host>,
    /// Number of entries among which the rates are divided.
    pub holder_count: u32,
    /// How many of `lenders` own a part of the rates.
    pub holder_lenders: usize,
    /// Index into `lenders` of the one to ask next.
    pub cursor: usize,
    /// Rounds of requests for loans that brought nothing.
    pub failed_rounds: u32,
    /// No request for a loan is sent before this.
    pub next_request: Instant,
    /// No request for a loan is sent before this unless something was denied.
    pub next_early_request: Instant,
    /// The request that is waiting for loans.
    pub shortage: Option<Shortage>,
    /// What arrives.
    pub demand: Demand,
    next_event: Option<Instant>,
}

impl Account {
    /// An account that holds nothing yet.
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
            next_request: now,
            next_early_request: now,
            shortage: None,
            demand: Demand::new(now),
            next_event: None,
        }
    }

    /// Takes over the bounds of a changed contract.
    pub fn set_contract(&mut self, now: Instant, contract: &Contract) {
        self.advance(now);
        let bounds = Bounds::new(contract);
        self.removed = None;
        self.limits = contract.limits.clone();
        self.longest_deadline = self.longest_deadline.max(contract.service.longest_deadline);
        self.requests.set_bound(bounds.requests);
        self.tokens.set_bound(bounds.tokens);
    }

    /// Brings the account to `now`: each loan that has ended counts up to its end and no further.
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

    /// Works out what is held after a change of own share or loans. The buckets must have been
    /// refilled.
    pub fn recount(&mut self) {
        let borrowed = self.borrowed.values().fold(self.own, |sum, l| sum.plus(l.usable()));
        self.held = borrowed.minus(self.lent_out());
        self.requests.set_parts(self.held.requests);
        self.tokens.set_parts(self.held.tokens);
        let lent = self.lent.values().map(Lent::next_event);
        let ends = self.borrowed.values().filter(|l| l.active).map(|l| l.until);
        self.next_event = lent.chain(ends).min();
    }

    /// What is out on loan.
    pub fn lent_out(&self) -> Quota {
        self.lent.values().fold(Quota::default(), |sum, l| sum.plus(l.out()))
    }

    /// Takes what may move with `quota` out of the buckets.
    pub fn take(&mut self, quota: Quota) -> Levels {
        Levels {
            requests: self.requests.take(quota.requests),
            tokens: self.tokens.take(quota.tokens),
        }
    }

    /// Adds what came with a loan or its return; the parts must have been counted.
    pub fn add(&mut self, levels: Levels) {
        self.requests.add(i64::try_from(levels.requests).unwrap_or(0));
        self.tokens.add(i64::try_from(levels.tokens).unwrap_or(0));
    }

    /// The amounts that the demand seen here calls for, with some headroom.
    pub fn need(&self, now: Instant) -> Quota {
        self.need_for(now, HEADROOM_FACTOR)
    }

    /// The amounts that `factor` times the demand seen here calls for.
    pub fn need_for(&self, now: Instant, factor: f64) -> Quota {
        let parts = |demand: f64, bound: Bound| {
            let share = demand * factor * UNIT as f64 / (bound.rate.max(1) as f64);
            (share.min(1.0) * f64::from(WHOLE)) as u32
        };
        let requests = self.demand.requests(now);
        let spare = if requests > MIN_SPARE_SLOT_PER_S { (self.in_use / 4).max(1) } else { 0 };
        Quota {
            requests: parts(requests, self.requests.bound()),
            tokens: parts(self.demand.tokens(now), self.tokens.bound()),
            slots: self.in_use.saturating_add(spare).min(self.limits.concurrency),
        }
    }

    /// What is missing for one request of `tokens` millionths of a token.
    pub fn missing(&self, tokens: i64) -> Quota {
        let slots = u32::from(self.in_use >= self.held.slots);
        Quota {
            requests: self.requests.bound().parts_for(UNIT - self.requests.level()),
            tokens: self.tokens.bound().parts_for(tokens - self.tokens.level()),
            slots,
        }
    }

    /// Whether a request of `tokens` may be charged now.
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

    /// Charges a request that was checked, under a number that only grows.
    pub fn charge(&mut self, number: u64, tokens: u32) {
        self.requests.spend(UNIT);
        self.tokens.charge(number, i64::from(tokens) * UNIT);
        self.in_use = self.in_use.saturating_add(1);
    }

    /// Takes over the entries that may lend. Each entry starts at another one.
    pub fn set_lenders(&mut self, host: &name::Host, roster: &Roster) {
        let ring = roster.ring(&self.workspace);
        let holders = roster.holders(&ring, &self.limits);
        self.holder_count = u32::try_from(holders.len()).unwrap_or(u32::MAX);
        self.holder_lenders = holders.iter().filter(|(h, _)| *h != host).count();
        self.lenders = ring.iter().map(|(h, _)| *h).filter(|h| *h != host).cloned().collect();
        self.cursor = roster.entries.keys().position(|h| h == host).unwrap_or(0);
    }

    /// Slots that are free to be used or lent.
    pub fn free_slots(&self) -> u32 {
        self.held.slots.saturating_sub(self.in_use)
    }

    /// Marks slots of ended loans that no running request needs as given back. Returns the
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

    /// The least of the shares that may not yet be exceeded: the present one and those that were
    /// replaced less than `overlap` ago, plus the longest request for slots.
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

    /// Replaces the present share; the earlier ones bound it for a while.
    pub fn push_share(&mut self, now: Instant, quota: Quota) {
        match self.shares.last_mut() {
            Some(last) if last.quota == quota && last.superseded.is_none() => return,
            Some(last) => last.superseded = last.superseded.or(Some(now)),
            None => {}
        }
        self.shares.push(Share { quota, superseded: None });
    }

    /// Forgets shares that bound nothing any more.
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
