//! Parts of prompts that crash endpoints, as this entry finds them and hears of them.

use std::time::Duration;

use oriole_core::fleet::{Incarnation, Message};
use oriole_core::forward::Part;
use oriole_core::forward::quarantine::{Group, Suspect};
use oriole_core::time::Instant;
use tokio::time::sleep;

use super::{Shared, State};
use crate::metrics::Metrics;
use crate::peers;

/// Time for which suspects of one crash are collected before the other entries are told.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Maximum number of suspects of one crash that an entry tells the others.
const MAX_SUSPECTS: usize = 32;

impl State {
    /// Returns until when requests with `parts` are not run, or `None` if they are.
    pub fn quarantined_until(&self, parts: &[Part]) -> Option<Instant> {
        self.inner.borrow().quarantine.blocked_until(parts, self.now())
    }

    /// Records suspects of the crash of an endpoint.
    pub fn record_crash(&self, incarnation: &Incarnation, suspects: &[Suspect]) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let unproven = |suspect: &Suspect| Suspect {
            request: suspect.request,
            parts: inner.quarantine.unproven(&suspect.parts, now),
        };
        let suspects: Vec<Suspect> = suspects.iter().map(unproven).collect();
        if inner.quarantine.record_crash(incarnation, &suspects, now) {
            self.log_quarantine(&inner.quarantine.groups(now));
        }
    }

    /// Records that requests with `parts` have been answered, and returns those that were suspect.
    pub fn record_sound(&self, parts: &[Part]) -> Vec<Part> {
        let now = self.now();
        self.inner.borrow_mut().quarantine.record_sound(parts, now)
    }

    /// Takes over quarantines of another entry. Returns those of their parts that this entry has
    /// seen answered lately.
    pub fn adopt_quarantine(&self, groups: &[Group]) -> Vec<Part> {
        let now = self.now();
        let quarantine = &mut self.inner.borrow_mut().quarantine;
        let mut proven = vec![];
        for group in groups {
            let unproven = quarantine.unproven(&group.parts, now);
            if unproven.len() < group.parts.len() {
                proven.extend(group.parts.iter().filter(|part| !unproven.contains(part)));
            } else if quarantine.adopt(group, now) {
                self.log_quarantine(std::slice::from_ref(group));
            }
        }
        proven
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

/// Records a suspect of the crash of an endpoint, and tells the other entries with the next ones.
pub fn add_suspect(state: &Shared, incarnation: Incarnation, suspect: Suspect) {
    state.record_crash(&incarnation, std::slice::from_ref(&suspect));
    Metrics::count(&state.metrics.failures, "crash-suspect");
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
