//! What one attempt records of the events of its stream.

use oriole_adapter::memory::{Lease, Refusal};
use oriole_core::forward::chain::Chain;
use oriole_core::forward::memory::FREE_BYTES;
use oriole_core::forward::quarantine::Begin;
use oriole_core::name;
use oriole_core::time::Instant;

use super::attempt::Attempt;
use super::crash;
use crate::metrics::Metrics;
use crate::run::Run;

/// Records the events of one attempt in the shared state.
pub(super) struct Stream<'a> {
    attempt: Attempt<'a>,
    /// Key of the chain at the start of the attempt.
    key: name::Endpoint,
    /// When the previous event arrived.
    last: Option<Instant>,
    /// Whether [`Stream::record_sound`] has taken effect.
    is_sound: bool,
    /// Memory of a partial event that is not small.
    lease: Option<Lease>,
}

impl<'a> Stream<'a> {
    pub(super) fn new(attempt: Attempt<'a>, chain: &Chain) -> Self {
        Self { attempt, key: chain.key.clone(), last: None, is_sound: false, lease: None }
    }

    pub(super) fn record_event(&mut self, chain: &Chain) {
        let state = self.attempt.state;
        let now = state.now();
        self.attempt.timing.record_event(now);
        let mut inner = state.inner.borrow_mut();
        inner.last_event_at.insert(chain.key.clone(), now);
        match self.last {
            Some(last) => {
                Metrics::time(&state.metrics.pause, now.since(last));
                inner.in_flight.record_event(&self.key, now.since(last), now);
            }
            None => {
                drop(inner);
                self.attempt.slot.begin_stream();
                self.begin_answer();
            }
        }
        self.last = Some(now);
        let begin = self.attempt.begin.get();
        let begin = begin.unwrap_or(Begin { first_event_at: now, events: 0 });
        self.attempt.begin.set(Some(Begin { events: begin.events + 1, ..begin }));
    }

    /// Counts the memory of a partial event among that of all responses.
    pub(super) fn keep(&mut self, bytes: usize) -> Result<(), Refusal> {
        if bytes <= FREE_BYTES {
            self.lease = None;
            return Ok(());
        }
        let state = self.attempt.state;
        let lease = self.lease.get_or_insert_with(|| {
            let lease = state.response_memory.begin(state.now());
            lease.pin();
            lease
        });
        Ok(lease.resize(bytes, state.now())?)
    }

    fn begin_answer(&self) {
        let run = self.attempt.run.take();
        run.iter().for_each(Run::begin_answer);
        self.attempt.run.set(run);
    }

    /// Records once that the answer has gone on for long enough to show that it crashes no endpoint.
    pub(super) fn record_sound(&mut self) {
        let now = self.attempt.state.now();
        if !self.is_sound && self.attempt.begin.get().is_some_and(|begin| begin.is_past(now)) {
            self.is_sound = true;
            let run = self.attempt.run.take();
            crash::record_sound(self.attempt.state, self.attempt.request, run);
        }
    }
}
