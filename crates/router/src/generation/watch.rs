//! Waits for a chain while it is held to work, and leaves it when it is not.

use std::pin::pin;
use std::time::Duration;

use oriole_core::forward::chain::Chain;
use oriole_core::forward::outcome::Failure;
use tokio::time::sleep;

use super::attempt::{Attempt, EVENT_SILENCE, Outcome};
use super::{Slot, admission, repath};
use crate::state::Shared;
use crate::suspect;

/// Further silence after which a stream is moved if others go on at the chain.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1000);

impl Attempt<'_> {
    /// Waits for `work` while the chain is held to work; asks about the chain after `silence`.
    ///
    /// A chain that does not work is left for another one with the same first stage, if there is
    /// one in time. The attempt ends if there is none, if the new stages would read all tokens
    /// across availability zones and another chain has room, or if other requests go on at the
    /// chain, this one does not, and another chain has room. Silence alone ends no answer.
    pub(super) async fn watch<T>(
        &self,
        chain: &mut Chain,
        silence: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, Outcome> {
        let state = self.state;
        let began = state.now();
        let mut work = pin!(work);
        let mut limit = silence;
        loop {
            let mut health_changed = pin!(state.health_changed.notified());
            health_changed.as_mut().enable();
            if is_broken(state, chain) {
                if let Some((other, slot)) = self.reserve_if_move_crosses_zones(chain) {
                    return Err(Outcome::Rerouted(other, slot));
                }
                // The answer may still end whole if all its tokens have been made.
                tokio::select! {
                    biased;
                    result = &mut work => return Ok(result),
                    moved = repath::run(state, self.request, chain) => match moved {
                        Some(other) => *chain = other,
                        None => return Err(Outcome::Failed(Failure::Doubted)),
                    },
                }
                continue;
            }
            let left = (began + limit).since(state.now());
            tokio::select! {
                biased;
                result = &mut work => return Ok(result),
                () = health_changed => {}
                () = sleep(left) => {
                    if limit > silence && has_recent_event(state, chain) {
                        if let Some((other, slot)) = self.reserve_other_chain(chain) {
                            return Err(Outcome::Rerouted(other, slot));
                        }
                    }
                    limit += RECHECK_INTERVAL;
                    suspect::probe_first_stage(state, chain);
                }
            }
        }
    }

    /// Room on another chain, if moving around the lost stage would read across zones.
    fn reserve_if_move_crosses_zones(&self, chain: &Chain) -> Option<(Chain, Slot)> {
        let moved = repath::find_chain(self.state, self.request, chain);
        if moved.is_some_and(|other| other.crossings() <= chain.crossings()) {
            return None;
        }
        self.reserve_other_chain(chain)
    }

    /// Room on another chain.
    fn reserve_other_chain(&self, chain: &Chain) -> Option<(Chain, Slot)> {
        if !self.request.route.may_repeat() {
            return None;
        }
        let mut ran_at = self.tries.ran_at.clone();
        if !ran_at.contains(chain.head()) {
            ran_at.push(chain.head().clone());
        }
        admission::reserve_other(self.state, self.request, &ran_at, &chain.key)
    }
}

fn is_broken(state: &Shared, chain: &Chain) -> bool {
    chain.hops.iter().any(|h| state.is_unhealthy(&h.endpoint))
}

/// Whether other requests get events from the chain.
fn has_recent_event(state: &Shared, chain: &Chain) -> bool {
    let inner = state.inner.borrow();
    let last = inner.last_event_at.get(&chain.key);
    last.is_some_and(|at| state.now().since(*at) < EVENT_SILENCE)
}
