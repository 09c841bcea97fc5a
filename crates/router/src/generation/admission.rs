//! Room on a chain for one request.

use std::cell::Cell;

use oriole_core::forward::book::Work;
use oriole_core::forward::lane::{self, Ask, Lane};
use oriole_core::forward::wait::Ticket;
use oriole_core::name;
use oriole_core::time::Instant;
use std::pin::pin;
use tokio::time::sleep;

use crate::serve::Request;
use crate::state::Shared;

/// Why there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No chain had room in time.
    NoRoom,
    /// The answer might not be complete before the process ends.
    Stopping,
}

/// Room that is taken until this is dropped.
pub struct Slot {
    state: Shared,
    head: name::Endpoint,
    work: Cell<Work>,
    has_begun: Cell<bool>,
}

impl Slot {
    /// Takes room for `work`.
    pub fn take(state: &Shared, head: &name::Endpoint, work: Work) -> Self {
        let now = state.now();
        state.inner.borrow_mut().book.add(head, work, now);
        let (work, has_begun) = (Cell::new(work), Cell::new(false));
        Self { state: state.clone(), head: head.clone(), work, has_begun }
    }

    /// Notes the first event: the prompt has been read.
    pub fn begin(&self) {
        if self.has_begun.replace(true) {
            return;
        }
        let (work, now) = (self.work.get(), self.state.now());
        self.state.inner.borrow_mut().book.begin(&self.head, work, now);
        self.work.set(Work { reading: 0, ..work });
        self.state.room.notify_waiters();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut inner = self.state.inner.borrow_mut();
        if self.has_begun.get() {
            inner.book.finish(&self.head);
        }
        inner.book.remove(&self.head, self.work.get(), now);
        drop(inner);
        self.state.room.notify_waiters();
    }
}

/// A place in the queue, given back when this is dropped.
struct Place {
    state: Shared,
    service: name::Service,
    ticket: Ticket,
    served: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(queue) = self.state.inner.borrow_mut().queues.get_mut(&self.service) {
            queue.remove(self.ticket, self.served);
        }
        self.state.room.notify_waiters();
    }
}

/// Waits for room until `until`, on another chain than `failed` if one has room.
pub async fn acquire(
    state: &Shared,
    request: &Request,
    ran_at: &[name::Endpoint],
    failed: Option<&name::Endpoint>,
    until: Instant,
) -> Result<(Lane, Slot), Refusal> {
    let mut place: Option<Place> = None;
    loop {
        let mut room = pin!(state.room.notified());
        room.as_mut().enable();
        let left = until.since(state.now());
        let ask = |avoid| Ask {
            route: &request.route,
            work: Work::of(&request.parameters.need),
            zone: &state.zone,
            ran_at,
            avoid,
            is_last: left.is_zero(),
        };
        if is_next(state, request, place.as_ref()) || left.is_zero() {
            let other = choose(state, request, &ask(failed));
            if let Some(lane) = other.or_else(|| choose(state, request, &ask(None))) {
                if let Some(place) = &mut place {
                    place.served = true;
                }
                if !fits(state, request, &lane) {
                    return Err(Refusal::Stopping);
                }
                let slot = Slot::take(state, &lane.key, Work::of(&request.parameters.need));
                return Ok((lane, slot));
            }
        }
        if place.is_none() {
            place = Some(enqueue(state, request).ok_or(Refusal::NoRoom)?);
        }
        if left.is_zero() {
            return Err(Refusal::NoRoom);
        }
        tokio::select! {
            () = room => {}
            () = sleep(left) => {}
        }
    }
}

fn is_next(state: &Shared, request: &Request, place: Option<&Place>) -> bool {
    let inner = state.inner.borrow();
    let Some(queue) = inner.queues.get(&request.service) else {
        return true;
    };
    match place {
        Some(place) => queue.is_first(place.ticket),
        None => queue.would_pass(request.rank),
    }
}

/// Takes room on another chain than `avoid` at once, for a stream whose chain is broken.
///
/// Takes a retry out of the budget only if there is room.
pub fn elsewhere(
    state: &Shared,
    request: &Request,
    ran_at: &[name::Endpoint],
    avoid: &name::Endpoint,
) -> Option<(Lane, Slot)> {
    let ask = Ask {
        route: &request.route,
        work: Work::of(&request.parameters.need),
        zone: &state.zone,
        ran_at,
        avoid: Some(avoid),
        is_last: true,
    };
    let lane = choose(state, request, &ask)?;
    if !state.take_retry(&request.service) {
        return None;
    }
    let slot = Slot::take(state, &lane.key, Work::of(&request.parameters.need));
    Some((lane, slot))
}

fn choose(state: &Shared, request: &Request, ask: &Ask<'_>) -> Option<Lane> {
    let now = state.now();
    let model = state.model(&request.service)?;
    let inner = state.inner.borrow();
    let lanes = inner.lanes.get(&request.service)?;
    lane::choose(&model, lanes, &inner.book, ask, now).cloned()
}

/// Whether the answer is complete before the process ends.
fn fits(state: &Shared, request: &Request, lane: &Lane) -> bool {
    let Some(model) = state.model(&request.service) else {
        return false;
    };
    let now = state.now();
    let longest = {
        let inner = state.inner.borrow();
        let sum = inner.book.sum(&lane.key, now);
        let factor = inner.book.factor(&lane.key, now);
        lane.longest(&model, &request.parameters.need, sum, factor)
    };
    state.ends_after(longest)
}

fn enqueue(state: &Shared, request: &Request) -> Option<Place> {
    let mut inner = state.inner.borrow_mut();
    let queue = inner.queues.entry(request.service.clone()).or_default();
    let workspace = request.workspace.as_ref().map(|w| w.name.clone());
    let ticket = queue.push(request.rank, workspace)?;
    let service = request.service.clone();
    Some(Place { state: state.clone(), service, ticket, served: false })
}
