//! Parts of prompts that crash endpoints, as this entry finds them and hears of them.

use std::time::Duration;

use oriole_core::fleet::{Incarnation, Message};
use oriole_core::forward::Part;
use oriole_core::forward::quarantine::{Group, REPORT_TIME, Sound, Suspect};
use oriole_core::time::Instant;
use tokio::time::sleep;

use super::{Shared, State};
use crate::peers;

/// Time for which suspects of one crash are collected before the other entries are told.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Maximum number of suspects of one crash that an entry tells the others.
const MAX_SUSPECTS: usize = 128;

impl State {
    /// Returns until when requests with `parts` are not run, or `None` if they are.
    pub fn quarantined_until(&self, parts: &[Part]) -> Option<Instant> {
        if self.inner.borrow().quarantine.is_empty() {
            return None;
        }
        let rank = self.rank_by_name();
        self.inner.borrow().quarantine.blocked_until(parts, rank, self.now())
    }

    /// Records that a request with `parts` is sent to an endpoint.
    pub fn record_run(&self, parts: &[Part]) {
        let now = self.now();
        self.inner.borrow_mut().quarantine.record_run(parts, now);
    }

    /// Records suspects of the crash of an endpoint.
    ///
    /// Returns whether the crash is new; it counts once it has been reported for a while.
    pub fn record_crash(&self, incarnation: &Incarnation, suspects: &[Suspect]) -> bool {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let unproven = |suspect: &Suspect| Suspect {
            request: suspect.request,
            parts: inner.quarantine.unproven(&suspect.parts, now),
        };
        let suspects: Vec<Suspect> = suspects.iter().map(unproven).collect();
        inner.quarantine.record_crash(incarnation, &suspects, now)
    }

    /// Quarantines parts by the crashes that have been reported.
    pub fn decide_quarantine(&self) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        if inner.quarantine.decide(now) {
            self.log_quarantine(&inner.quarantine.groups(now));
            self.quarantine_changed.notify_one();
        }
    }

    /// Records that requests with `parts` have been answered now, and returns those that were suspect.
    pub fn record_sound(&self, parts: &[Part]) -> Vec<Sound> {
        let now = self.now();
        let quarantine = &mut self.inner.borrow_mut().quarantine;
        let cleared = quarantine.record_sound(parts, now);
        if !cleared.is_empty() {
            self.quarantine_changed.notify_one();
        }
        quarantine.proven(&cleared, now)
    }

    /// Records which parts another entry has seen answered.
    pub fn hear_sound(&self, sound: &[Sound]) {
        let now = self.now();
        let quarantine = &mut self.inner.borrow_mut().quarantine;
        for Sound { part, age_ms } in sound {
            quarantine.record_sound(&[*part], now - Duration::from_millis(*age_ms));
        }
        self.quarantine_changed.notify_one();
    }

    /// Takes over quarantines of another entry. Returns those of their parts that this entry has
    /// seen answered lately.
    pub fn adopt_quarantine(&self, groups: &[Group]) -> Vec<Sound> {
        let now = self.now();
        let quarantine = &mut self.inner.borrow_mut().quarantine;
        let mut all_proven = vec![];
        for group in groups {
            let proven = quarantine.proven(&group.parts, now);
            if proven.is_empty() && quarantine.adopt(group, now) {
                self.log_quarantine(std::slice::from_ref(group));
                self.quarantine_changed.notify_one();
            }
            all_proven.extend(proven);
        }
        all_proven
    }

    fn log_quarantine(&self, groups: &[Group]) {
        for group in groups {
            let parts = group.parts.iter().map(Part::to_string).collect::<Vec<_>>().join(",");
            let remaining_ms = group.remaining_ms;
            log::warn!(parts = parts.as_str(), remaining_ms; "prompt parts quarantined");
            self.metrics.quarantines.inc();
        }
    }
}

/// Records suspects of the crash of an endpoint, and decides once others have told theirs.
pub fn record_crash(state: &Shared, incarnation: &Incarnation, suspects: &[Suspect]) {
    if !state.record_crash(incarnation, suspects) {
        return;
    }
    let state = state.clone();
    actix_rt::spawn(async move {
        sleep(REPORT_TIME + COLLECT_TIME).await;
        state.decide_quarantine();
    });
}

/// Records a suspect of the crash of an endpoint, and tells the other entries with the next ones.
pub fn add_suspect(state: &Shared, incarnation: Incarnation, suspect: Suspect) {
    record_crash(state, &incarnation, std::slice::from_ref(&suspect));
    let mut untold = state.untold_suspects.borrow_mut();
    let suspects = untold.entry(incarnation.clone()).or_default();
    if suspects.len() < MAX_SUSPECTS {
        suspects.push(suspect);
    }
    if suspects.len() > 1 {
        return;
    }
    let state = state.clone();
    actix_rt::spawn(async move {
        sleep(COLLECT_TIME).await;
        let suspects = state.untold_suspects.borrow_mut().remove(&incarnation);
        let message = Message::Crash(incarnation, suspects.unwrap_or_default());
        peers::broadcast(&state, &message);
    });
}
