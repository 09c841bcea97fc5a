//! Requests that crash endpoints, as this entry finds them and hears of them.

use std::time::Duration;

use oriole_core::fleet::{Incarnation, Message};
use oriole_core::forward::Fingerprint;
use oriole_core::forward::hold::{Caution, Gate, Hold, Loss, REPORT_TIME, Release, Summary};
use oriole_core::forward::runs::Cut;
use oriole_core::time::Instant;
use tokio::time::sleep;

use super::{Shared, State};
use crate::peers;

/// Time beyond [`REPORT_TIME`] after which a hold is decided, since timers of entries differ.
const DECISION_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of suspects of one crash that an entry tells the others.
const MAX_SUSPECTS: usize = 256;

impl State {
    /// Returns whether a request may run, as far as crashes of endpoints are concerned.
    pub fn gate(&self, fingerprint: Fingerprint) -> Gate {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        if inner.holds.is_empty() { Gate::Open } else { inner.holds.gate(fingerprint, now) }
    }

    /// Returns how a generation runs again where there are `chains` chains.
    pub fn caution(&self, fingerprint: Fingerprint, chains: usize) -> Caution {
        self.inner.borrow().holds.caution(fingerprint, chains, self.now())
    }

    /// Returns whether a call may run again in view of the crashes of which it is suspect.
    pub fn may_run_again(&self, fingerprint: Fingerprint) -> bool {
        self.inner.borrow().holds.may_retry(fingerprint)
    }

    /// Returns all that this entry knows of requests that crash endpoints.
    pub fn summary_of_holds(&self) -> Summary {
        self.inner.borrow().holds.summary(self.now())
    }

    /// Takes over one more trial of a held request.
    pub fn adopt_trial(&self, hold: &Hold) {
        let now = self.now();
        self.inner.borrow_mut().holds.adopt(hold, now);
    }

    fn log_held(&self, held: &[Fingerprint], source: &str) {
        for fingerprint in held {
            log::warn!(fingerprint:%, source; "request held, since endpoints crash under it");
            self.metrics.holds.inc();
        }
    }
}

/// Records that a request has been answered now, and tells the other entries if they may suspect it.
pub fn record_sound(state: &Shared, fingerprint: Fingerprint) {
    let now = state.now();
    if state.inner.borrow_mut().holds.record_sound(fingerprint, now) {
        log::info!(fingerprint:%; "request answered that was suspect of crashes");
        state.holds_changed.notify_one();
        tell_released(state, vec![Release { fingerprint, age_ms: 0 }]);
    }
}

/// Records that this entry has found an endpoint to have crashed, `is_new` if that was not known.
///
/// The requests that it was running for this entry are suspects.
pub fn record_loss(state: &Shared, incarnation: &Incarnation, is_new: bool) {
    let now = state.now();
    let cuts = take_cuts(state, incarnation, now);
    if is_new || !cuts.is_empty() {
        let loss = Loss { incarnation: incarnation.clone(), age_ms: 0, cuts: cuts.clone() };
        peers::broadcast(state, &Message::Crashed(loss));
    }
    record_crash(state, incarnation, &cuts, now);
}

/// Records a crash that another entry tells of, and in turn tells of the requests that the endpoint was
/// running for this entry.
pub fn hear_loss(state: &Shared, loss: Loss) {
    let now = state.now();
    let at = now - Duration::from_millis(loss.age_ms);
    let own = take_cuts(state, &loss.incarnation, now);
    if !own.is_empty() {
        let told = Loss { cuts: own.clone(), ..loss.clone() };
        peers::broadcast(state, &Message::Crashed(told));
    }
    let all: Vec<Cut> = loss.cuts.into_iter().chain(own).collect();
    record_crash(state, &loss.incarnation, &all, at);
}

/// Takes the runs of this entry that the crash of an endpoint cut off.
fn take_cuts(state: &Shared, incarnation: &Incarnation, now: Instant) -> Vec<Cut> {
    let mut inner = state.inner.borrow_mut();
    let is_expected = inner.view.is_expected_to_run(incarnation);
    let mut cuts = inner.runs.take_cuts(incarnation, is_expected, now);
    cuts.truncate(MAX_SUSPECTS);
    cuts
}

fn record_crash(state: &Shared, incarnation: &Incarnation, cuts: &[Cut], at: Instant) {
    let (now, endpoint) = (state.now(), incarnation.endpoint.as_str());
    let answered = state.inner.borrow_mut().holds.record_crash(incarnation, cuts, at, now);
    if cuts.is_empty() {
        return;
    }
    let (suspects, early) = (cuts.len(), cuts.iter().filter(|cut| cut.is_early).count());
    log::info!(endpoint, suspects, early; "endpoint crashed while it ran requests");
    tell_released(state, answered);
    state.holds_changed.notify_one();
    decide_later(state);
}

/// Decides what is held once all entries have had time to tell their suspects.
fn decide_later(state: &Shared) {
    let state = state.clone();
    actix_rt::spawn(async move {
        sleep(REPORT_TIME + DECISION_DELAY).await;
        let now = state.now();
        let held = state.inner.borrow_mut().holds.decide(now);
        state.log_held(&held, state.host.as_str());
        state.holds_changed.notify_one();
    });
}

/// Takes over what another entry or the store knows of requests that crash endpoints.
pub fn hear_summary(state: &Shared, summary: &Summary, source: &str) {
    let now = state.now();
    let (held, answered) = state.inner.borrow_mut().holds.hear(summary, now);
    state.log_held(&held, source);
    tell_released(state, answered);
    if !summary.suspects.is_empty() {
        decide_later(state);
    }
    state.holds_changed.notify_one();
}

fn tell_released(state: &Shared, releases: Vec<Release>) {
    if !releases.is_empty() {
        peers::broadcast(state, &Message::Released(releases));
    }
}
