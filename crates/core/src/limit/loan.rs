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
    /// The borrower's number of the loan request.
    pub number: u64,
    /// The quota that was lent.
    pub quota: Quota,
    /// Whether the rates and bursts are still lent.
    pub rates_out: bool,
    /// Number of slots that were returned.
    pub slots_returned: u32,
    /// When the loan expires and the rates and bursts fall back to the lender without a message.
    pub until: Instant,
    /// When the last request that used one of its slots has ended.
    pub slots_until: Instant,
}

impl Lent {
    /// Returns the part of the quota that is still lent.
    pub fn out(&self) -> Quota {
        let slots = self.quota.slots.saturating_sub(self.slots_returned);
        if self.rates_out {
            return Quota { slots, ..self.quota };
        }
        Quota { slots, ..Quota::default() }
    }

    /// Returns the next time at which a part of it falls back to the lender without a message.
    pub fn next_event(&self) -> Instant {
        if self.rates_out { self.until } else { self.slots_until }
    }
}

/// A loan that this entry has received.
#[derive(Clone, Debug)]
pub struct Borrowed {
    /// The lender.
    pub from: name::Host,
    /// The quota that was lent.
    pub quota: Quota,
    /// When the loan expires: no request is admitted under it from then on.
    pub until: Instant,
    /// Every request that used the loan ends within this time after `until`.
    pub grace: Duration,
    /// Whether requests may be admitted under it.
    pub active: bool,
    /// Whether the loan is to be returned as soon as one request has used it.
    pub single_use: bool,
    /// When the grant was received.
    pub since: Instant,
    /// Number of slots that were returned.
    pub slots_returned: u32,
    /// Bucket contents that are returned together with the rates.
    pub levels: Levels,
    /// Number of times that the return is still to be repeated.
    pub repeats_left: u8,
}

impl Borrowed {
    /// Returns the quota that the loan adds to what may be used.
    pub fn usable(&self) -> Quota {
        if self.active { self.quota } else { Quota::default() }
    }

    /// Returns the number of slots of an ended loan that have not been returned, since running
    /// requests may still occupy them.
    pub fn unreturned_slots(&self) -> u32 {
        if self.active { 0 } else { self.quota.slots.saturating_sub(self.slots_returned) }
    }

    /// Returns whether the loan has ended and every return has been sent.
    pub fn is_over(&self) -> bool {
        !self.active && self.unreturned_slots() == 0 && self.repeats_left == 0
    }
}

/// A loan request or renewal that has not been answered.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The lender.
    pub to: name::Host,
    /// When the request was sent; the life of the loan counts from here.
    pub at: Instant,
    /// The lender's number of the loan to renew; `None` for a new loan.
    pub renew: Option<u64>,
    /// Every request that uses the loan ends within this time after the loan expires.
    pub grace: Duration,
    /// Whether the loan is to be returned as soon as one request has used it.
    pub single_use: bool,
}
