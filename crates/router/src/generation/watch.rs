//! Watches the health of a chain while an attempt waits for it.
//!
//! Decides when the attempt moves to other stages, continues on another chain, or fails.

use std::pin::pin;
use std::time::Duration;

use oriole_core::fleet::Cause;
use oriole_core::forward::chain::{Chain, Hop};
use oriole_core::forward::hold::Caution;
use oriole_core::forward::outcome::Failure;
use oriole_core::time::Instant;
use tokio::time::sleep;

use super::attempt::{Attempt, Detour, EVENT_SILENCE, Outcome};
use super::{admission, crash, repath};
use crate::state::Shared;
use crate::suspect;

/// Interval at which a stream that is still silent is checked again, and may be moved if other
/// streams of the chain have events.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Silence of a stream from which on a finding about one of its stages concerns it.
const BROKEN_SILENCE: Duration = Duration::from_millis(250);

/// Interval at which a stream on a chain with a silent stage looks for another chain.
const BROKEN_RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The time since the last event of an attempt, and what has been done about it.
///
/// It lasts over reads that bring no whole event.
pub(super) struct Silence {
    began: Instant,
    /// Silence after which the first stage is asked for a report.
    first: Duration,
    /// Silence at which the stream is looked at next.
    limit: Duration,
    is_logged: bool,
    /// Whether a move to other stages has not been tried since something changed.
    may_move: bool,
}

impl Silence {
    /// Begins at an event, or when the request is sent; the first stage is asked after `first`.
    pub(super) fn begin(first: Duration, now: Instant) -> Self {
        Self { began: now, first, limit: first, is_logged: false, may_move: true }
    }
}

impl Attempt<'_> {
    /// Waits for `work`, and leaves or changes the chain if that helps.
    ///
    /// After [`Silence::first`], the first stage is asked for a report. While a stage is unhealthy and nothing
    /// arrives, the request moves to a chain with the same first stage, as soon as there is one. The
    /// attempt ends
    ///
    /// - if another chain has capacity, and there is no such chain yet or it crosses between
    ///   availability zones more often, so that its new stages would prefill all tokens across
    ///   zones,
    /// - if other requests on the chain have events, this one has none, and another chain has
    ///   capacity,
    /// - if the first stage has certainly lost its work.
    ///
    /// Silence alone does not end an attempt: a stage that seems to be lost may go on, and if it does
    /// not, the stage before it ends the response.
    pub(super) async fn watch<T>(
        &self,
        chain: &mut Chain,
        silence: &mut Silence,
        work: impl Future<Output = T>,
    ) -> Result<T, Outcome> {
        let state = self.state;
        let mut work = pin!(work);
        loop {
            let mut health_changed = pin!(state.health_changed.notified());
            health_changed.as_mut().enable();
            let broken = broken_stage(state, chain);
            let silent = state.now().since(silence.began);
            let Some((stage, cause)) = broken.filter(|_| silent >= BROKEN_SILENCE) else {
                let wake = if broken.is_some() { BROKEN_SILENCE } else { silence.limit };
                tokio::select! {
                    biased;
                    result = &mut work => return Ok(result),
                    () = health_changed => {}
                    () = sleep(wake.saturating_sub(silent)) => if broken.is_none() {
                        if let Some(detour) = self.leave_stalled(chain, silence) {
                            return Err(Outcome::Rerouted(Box::new(detour)));
                        }
                        silence.limit += RECHECK_INTERVAL;
                    },
                }
                continue;
            };
            if !std::mem::replace(&mut silence.is_logged, true) {
                log::info!(
                    id = self.request.id(), endpoint = stage.endpoint.as_str(), cause:?;
                    "a stage of the chain does not work"
                );
            }
            if let Some(detour) = self.reserve_unless_movable(chain) {
                return Err(Outcome::Rerouted(Box::new(detour)));
            }
            if std::mem::replace(&mut silence.may_move, false) {
                // The response may still complete if all its tokens have been generated.
                tokio::select! {
                    biased;
                    result = &mut work => return Ok(result),
                    moved = repath::run(state, self.request, chain) => if let Some(other) = moved {
                        *chain = other;
                        continue;
                    },
                }
            }
            if state.unhealthy_cause(chain.head()).is_some_and(Cause::is_loss) {
                return Err(Outcome::Failed(Failure::Doubted));
            }
            tokio::select! {
                biased;
                result = &mut work => return Ok(result),
                () = health_changed => silence.may_move = true,
                () = sleep(BROKEN_RECHECK_INTERVAL) => {}
            }
        }
    }

    /// Asks the first stage of a silent stream for a report, unless other streams on the chain have
    /// events, it has been asked before, and another chain has capacity.
    fn leave_stalled(&self, chain: &Chain, silence: &Silence) -> Option<Detour> {
        let is_repeated = silence.limit > silence.first;
        if is_repeated && has_recent_event(self.state, chain) {
            let detour = self.reserve_other_chain(chain);
            if detour.is_some() {
                return detour;
            }
        }
        suspect::probe_first_stage(self.state, chain);
        None
    }

    /// Reserves capacity on another chain, unless the request can move to other stages at once and
    /// without more crossings between availability zones.
    fn reserve_unless_movable(&self, chain: &Chain) -> Option<Detour> {
        let replacement = repath::find_chain(self.state, self.request, chain);
        if replacement.is_some_and(|other| other.crossings() <= chain.crossings()) {
            return None;
        }
        self.reserve_other_chain(chain)
    }

    /// Reserves capacity on another chain, if the request may run again.
    ///
    /// Returns `None` if it may not, no chain has capacity, or the retry budget is used up.
    fn reserve_other_chain(&self, chain: &Chain) -> Option<Detour> {
        let caution = crash::caution(self.state, self.request, self.begin.get());
        // A suspect of several crashes waits for its turn, which a detour cannot.
        let is_free = match caution {
            Caution::None => true,
            Caution::Apart { not_before, .. } => not_before <= self.state.now(),
            Caution::Stopped => false,
        };
        let may_retry = is_free && self.attempts.may_retry(&self.request.route, Failure::Doubted);
        if !self.may_leave || !may_retry {
            return None;
        }
        let mut ran_at = self.attempts.ran_at.clone();
        if !ran_at.contains(chain.head()) {
            ran_at.push(chain.head().clone());
        }
        let (chain, slot, pass) =
            admission::reserve_other(self.state, self.request, &ran_at, &chain.key)?;
        Some(Detour { chain, slot, pass, left: None })
    }
}

/// Returns the first unhealthy stage of the chain and how it was found to be so, if there is one.
fn broken_stage<'a>(state: &Shared, chain: &'a Chain) -> Option<(&'a Hop, Cause)> {
    chain.hops.iter().find_map(|hop| Some((hop, state.unhealthy_cause(&hop.endpoint)?)))
}

/// Returns whether any stream of this entry on the chain has had an event recently.
fn has_recent_event(state: &Shared, chain: &Chain) -> bool {
    let inner = state.inner.borrow();
    let last = inner.last_event_at.get(&chain.key);
    last.is_some_and(|at| state.now().since(*at) < EVENT_SILENCE)
}
