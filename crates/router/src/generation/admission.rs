//! Admission of a request to a chain: waits in the queue and reserves capacity.

use std::cell::Cell;
use std::time::Duration;

use oriole_core::forward::budget::Pass;
use oriole_core::forward::chain::{self, Chain, Query};
use oriole_core::forward::headroom::Headroom;
use oriole_core::forward::in_flight::Work;
use oriole_core::forward::queue::Ticket;
use oriole_core::name;
use oriole_core::time::Instant;
use std::pin::pin;
use tokio::time::sleep;

use super::rank::Rank;
use crate::serve::{Reason, Request};
use crate::state::Shared;

/// Interval at which a request that waits for a chain checks whether the process exits too soon for it.
const STOP_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a request is not admitted to any chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No chain had capacity in time, or the queue is full.
    NoRoom,
    /// A request that goes first has taken its place in the queue.
    Displaced,
    /// Only endpoints had capacity whose own limit is reached.
    Limited,
    /// All endpoints are in back-off. Contains the time after which the request may come again.
    Waiting(Duration),
    /// The response might not be complete before the process exits.
    Stopping,
}

impl From<Refusal> for Reason {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NoRoom => Self::NoRoom,
            Refusal::Displaced => Self::Displaced,
            Refusal::Limited => Self::Limited,
            Refusal::Waiting(wait) => Self::Waiting(wait),
            Refusal::Stopping => Self::Stopping,
        }
    }
}

/// Capacity on a chain or a plain endpoint, reserved until this is dropped.
pub struct Slot {
    state: Shared,
    /// Key of the chain, or the plain endpoint.
    key: name::Endpoint,
    work: Cell<Work>,
    is_streaming: Cell<bool>,
}

impl Slot {
    /// Reserves capacity for `work` on the chain with key `key`, or on the plain endpoint `key`.
    pub fn reserve(state: &Shared, key: &name::Endpoint, work: Work) -> Self {
        let now = state.now();
        state.inner.borrow_mut().in_flight.add(key, work, now);
        let (work, is_streaming) = (Cell::new(work), Cell::new(false));
        Self { state: state.clone(), key: key.clone(), work, is_streaming }
    }

    /// Records the first event of the stream, which ends the prefill of its prompt.
    ///
    /// Later calls have no effect.
    pub fn begin_stream(&self) {
        if self.is_streaming.replace(true) {
            return;
        }
        let (work, now) = (self.work.get(), self.state.now());
        self.state.inner.borrow_mut().in_flight.begin_stream(&self.key, work, now);
        self.work.set(Work { prefill: 0, ..work });
        self.state.capacity_changed.notify_waiters();
    }

    /// Counts the stream no longer among those whose events show the pace of the chain, as its
    /// response is not read as it comes. The next event counts it again.
    pub fn suspend_stream(&self) {
        if self.is_streaming.replace(false) {
            self.state.inner.borrow_mut().in_flight.finish_stream(&self.key);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut inner = self.state.inner.borrow_mut();
        if self.is_streaming.get() {
            inner.in_flight.finish_stream(&self.key);
        }
        inner.in_flight.remove(&self.key, self.work.get(), now);
        drop(inner);
        self.state.capacity_changed.notify_waiters();
    }
}

/// A request in the queue of its service; dropping this removes it from the queue.
pub(super) struct Waiter {
    state: Shared,
    service: name::Service,
    pub(super) ticket: Ticket,
    is_admitted: bool,
}

impl Waiter {
    /// Returns whether no other request has taken its place.
    fn is_in_queue(&self) -> bool {
        let inner = self.state.inner.borrow();
        inner.queues.get(&self.service).is_some_and(|queue| queue.contains(self.ticket))
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if let Some(queue) = self.state.inner.borrow_mut().queues.get_mut(&self.service) {
            queue.remove(self.ticket, self.is_admitted);
        }
        self.state.capacity_changed.notify_waiters();
    }
}

/// Which chains a request prefers.
#[derive(Clone, Copy)]
pub struct Acquire<'a> {
    /// The first endpoints at which the request may have run.
    pub ran_at: &'a [name::Endpoint],
    /// Key of a chain that is chosen only if no other one has capacity.
    pub failed: Option<&'a name::Endpoint>,
    /// Number of the chain that is chosen if it has capacity, modulo the number of chains, counted from the one
    /// with least work.
    pub dealt: Option<usize>,
    /// Whether the request was in progress on a chain before.
    pub is_resumed: bool,
    /// Whether an endpoint may have run the request, so that refusing it would not be true.
    pub may_have_run: bool,
}

/// Waits until `until` for capacity on a chain, and reserves it.
///
/// Refuses at once a request that cannot begin until then, or whose place in the queue another one takes that goes
/// before it. At `until`, the request takes capacity if there is any, even if others wait in front of it.
pub async fn acquire(
    state: &Shared,
    request: &Request,
    acquire: Acquire<'_>,
    until: Instant,
) -> Result<(Chain, Slot), Refusal> {
    let Acquire { ran_at, failed, dealt, is_resumed, may_have_run } = acquire;
    let rank = Rank::of(state, request, is_resumed);
    let mut waiter: Option<Waiter> = None;
    let mut refusal = Refusal::NoRoom;
    loop {
        let mut capacity_changed = pin!(state.capacity_changed.notified());
        capacity_changed.as_mut().enable();
        if let Some(wait) = wait_of_chains(state, request) {
            return Err(Refusal::Waiting(wait));
        }
        if waiter.as_ref().is_some_and(|waiter| !waiter.is_in_queue()) {
            return Err(Refusal::Displaced);
        }
        if !may_have_run && !may_finish_before_exit(state, request) {
            return Err(Refusal::Stopping);
        }
        let left = until.since(state.now());
        let closed = state.closed_endpoints();
        let others = dealt.map(|dealt| all_heads_but(state, request, dealt, &closed));
        let query = |avoid, closed| Query {
            route: &request.route,
            work: Work::of(&request.parameters.need),
            zone: &state.zone,
            ran_at,
            avoid,
            closed,
            accepts_late: left.is_zero() && rank.may_begin_late(),
            counts_passes: rank.counts_passes(),
            headroom: rank.headroom(state, request),
        };
        if rank.may_try(state, request, waiter.as_ref()) || left.is_zero() {
            let other = match &others {
                Some(others) => choose(state, request, &query(failed, others)),
                None => None,
            };
            let other = other.or_else(|| choose(state, request, &query(failed, &closed)));
            if let Some(chain) = other.or_else(|| choose(state, request, &query(None, &closed))) {
                if let Some(waiter) = &mut waiter {
                    waiter.is_admitted = true;
                }
                if !may_have_run && !finishes_before_exit(state, request, &chain) {
                    return Err(Refusal::Stopping);
                }
                rank.record_begin(state, request);
                return Ok(reserve(state, request, chain));
            }
            let limited = match closed.is_empty() {
                true => None,
                false => choose(state, request, &query(None, &[])),
            };
            refusal = if limited.is_some() { Refusal::Limited } else { Refusal::NoRoom };
            if let Some(chain) = limited {
                state.request_permit(chain.head());
            }
        }
        if left.is_zero() {
            return Err(refusal);
        }
        if waiter.is_none() {
            waiter = Some(enqueue(state, request, rank, left).ok_or(refusal)?);
        }
        let check = if state.stopping.get() { STOP_RECHECK_INTERVAL } else { left };
        tokio::select! {
            () = capacity_changed => {}
            () = sleep(left.min(check)) => {}
        }
    }
}

/// Returns the first endpoints of all chains but the one with number `dealt`, and those that are closed.
fn all_heads_but(
    state: &Shared,
    request: &Request,
    dealt: usize,
    closed: &[name::Endpoint],
) -> Vec<name::Endpoint> {
    let now = state.now();
    let inner = state.inner.borrow();
    let chains = inner.chains.get(&request.service).map_or(&[][..], |chains| chains.as_slice());
    let requests = |chain: &&Chain| inner.in_flight.sum(&chain.key, now).requests;
    let mut by_work: Vec<&Chain> = chains.iter().collect();
    by_work.sort_by_key(|chain| (requests(chain), chain.head().clone()));
    if !by_work.is_empty() {
        by_work.remove(dealt % by_work.len());
    }
    by_work.iter().map(|chain| chain.head()).chain(closed).cloned().collect()
}

/// Returns the time after which a caller may come back if the service has no chain now and all of its
/// endpoints that could form one are in back-off.
fn wait_of_chains(state: &Shared, request: &Request) -> Option<Duration> {
    let has_chains =
        state.inner.borrow().chains.get(&request.service).is_some_and(|chains| !chains.is_empty());
    if has_chains { None } else { state.wait_of_all(&request.service) }
}

/// Reserves capacity on a chain other than `avoid`, without waiting.
///
/// Takes a retry out of the retry budget, but only if a chain has capacity. Returns `None` if no
/// other chain has capacity or the retry budget is used up.
pub fn reserve_other(
    state: &Shared,
    request: &Request,
    ran_at: &[name::Endpoint],
    avoid: &name::Endpoint,
) -> Option<(Chain, Slot, Pass)> {
    let query = Query {
        route: &request.route,
        work: Work::of(&request.parameters.need),
        zone: &state.zone,
        ran_at,
        avoid: Some(avoid),
        closed: &state.closed_endpoints(),
        accepts_late: true,
        counts_passes: false,
        headroom: Headroom::NONE,
    };
    let chain = choose(state, request, &query)?;
    let pass = state.take_retry(&request.service)?;
    let (chain, slot) = reserve(state, request, chain);
    Some((chain, slot, pass))
}

/// Reserves capacity on a chain, and uses the permit for its first endpoint if that needs one.
fn reserve(state: &Shared, request: &Request, chain: Chain) -> (Chain, Slot) {
    state.take_permit(chain.head());
    let slot = Slot::reserve(state, &chain.key, Work::of(&request.parameters.need));
    (chain, slot)
}

/// Returns the best chain with capacity for `query`, if any: one whose first endpoint keeps sending what is no answer
/// only if there is no other. It fails fast, so that it would seem to have most capacity.
fn choose(state: &Shared, request: &Request, query: &Query<'_>) -> Option<Chain> {
    let now = state.now();
    let model = state.model(&request.service)?;
    let inner = state.inner.borrow();
    let chains = inner.chains.get(&request.service)?;
    let choose = |query| chain::choose(&model, chains, &inner.in_flight, query, now).cloned();
    let failing = inner.failures.failing(now);
    if failing.is_empty() {
        return choose(query);
    }
    let closed = [query.closed, &failing].concat();
    choose(&Query { closed: &closed, ..*query }).or_else(|| choose(query))
}

/// Returns whether the response would be complete before the process exits if the request began now on any of
/// the chains.
fn may_finish_before_exit(state: &Shared, request: &Request) -> bool {
    if !state.closing.get() {
        return true;
    }
    let chains = state.inner.borrow().chains.get(&request.service).cloned();
    let mut chains = chains.iter().flat_map(|chains| chains.iter());
    chains.any(|chain| finishes_before_exit(state, request, chain))
}

/// Returns whether the response is expected to be complete before the process exits.
fn finishes_before_exit(state: &Shared, request: &Request, chain: &Chain) -> bool {
    let Some(model) = state.model(&request.service) else {
        return false;
    };
    let now = state.now();
    let estimate = {
        let inner = state.inner.borrow();
        let sum = inner.in_flight.sum(&chain.key, now);
        let factor = inner.in_flight.slowdown_factor(&chain.key, now);
        chain.max_duration(&model, &request.parameters.need, sum, factor)
    };
    state.finishes_before_exit(estimate, request.deadline.since(now))
}

/// Adds the request to the queue of its service. Returns `None` if it cannot begin in time, or if the queue is full.
fn enqueue(state: &Shared, request: &Request, rank: Rank, left: Duration) -> Option<Waiter> {
    let class = rank.class(state, request);
    let limit = rank.queue_limit(state, request, left);
    let mut inner = state.inner.borrow_mut();
    let queue = inner.queues.entry(request.service.clone()).or_default();
    let workspace = request.workspace.as_ref().map(|w| w.name.clone());
    let before = queue.len();
    let ticket = queue.push(class, workspace, limit)?;
    let has_displaced = queue.len() == before;
    drop(inner);
    if has_displaced {
        state.capacity_changed.notify_waiters();
    }
    let service = request.service.clone();
    Some(Waiter { state: state.clone(), service, ticket, is_admitted: false })
}
