//! Records of loans, on the lender's and on the borrower's side.

use std::time::Duration;

use crate::name;
use crate::share::{Levels, Quota};
use crate::time::Instant;

/// A loan that this entry has given.
#[derive(Clone, Debug)]
pub struct Lent {
    /// The borrower.
    pub to: name::Host,
    /// The borrower's number of the request for the loan.
    pub number: u64,
    /// What was lent.
    pub quota: Quota,
    /// Whether the rates and bursts are still out.
    pub rates_out: bool,
    /// Slots that came back.
    pub slots_returned: u32,
    /// When the rates and bursts come back at the latest.
    pub until: Instant,
    /// When the last request that used a slot of it is over.
    pub slots_until: Instant,
}

impl Lent {
    /// What is still out.
    pub fn out(&self) -> Quota {
        let slots = self.quota.slots.saturating_sub(self.slots_returned);
        if self.rates_out {
            return Quota { slots, ..self.quota };
        }
        Quota { slots, ..Quota::default() }
    }

    /// The next instant at which something of it comes back without a message.
    pub fn next_event(&self) -> Instant {
        if self.rates_out { self.until } else { self.slots_until }
    }
}

/// A loan that this entry has received.
#[derive(Clone, Debug)]
pub struct Borrowed {
    /// The lender.
    pub from: name::Host,
    /// What was lent.
    pub quota: Quota,
    /// When nothing more is admitted under it.
    pub until: Instant,
    /// Every request that used it is over this long after `until`.
    pub grace: Duration,
    /// Whether requests may be admitted under it.
    pub active: bool,
    /// Whether it is to be given back as soon as it has been used.
    pub single_use: bool,
    /// When it was received.
    pub since: Instant,
    /// Slots given back.
    pub slots_returned: u32,
    /// What was in the buckets when the rates were given back.
    pub levels: Levels,
    /// How many more times the return is repeated.
    pub repeats_left: u8,
}

impl Borrowed {
    /// What it adds to the amounts that may be used.
    pub fn usable(&self) -> Quota {
        if self.active { self.quota } else { Quota::default() }
    }

    /// Slots of an ended loan that running requests may still occupy.
    pub fn unreturned_slots(&self) -> u32 {
        if self.active { 0 } else { self.quota.slots.saturating_sub(self.slots_returned) }
    }

    /// Whether nothing is left to be done about it.
    pub fn is_over(&self) -> bool {
        !self.active && self.unreturned_slots() == 0 && self.repeats_left == 0
    }
}

/// A request for a loan that has not been answered.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The lender.
    pub to: name::Host,
    /// When it was sent; the loan's life counts from here.
    pub at: Instant,
    /// The lender's number of the loan that is to be renewed.
    pub renew: Option<u64>,
    /// Every request that uses the loan is over this long after its end.
    pub grace: Duration,
    /// Whether the loan serves a single request and is to be given back then.
    pub single_use: bool,
}
