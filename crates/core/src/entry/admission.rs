//! Admission by contract, and the messages through which entries share its limits.

use crate::explain::Fact;
use crate::limit::{self, LOAN_WAIT_MS, Permit};
use crate::message::{Message, not_run};
use crate::name;
use crate::request::{Id, Refused};
use crate::time::Instant;

use super::event::{Generate, Request};
use super::{Effect, Machine, remaining_ms};

/// A request that waits for a loan of its contract's limits from another entry.
pub(super) struct Parked {
    spec: Spec,
    until: Instant,
    refused: Refused,
}

/// What a caller requests.
pub(super) enum Spec {
    Generate(Generate),
    Call(Request),
}

impl Spec {
    fn workspace(&self) -> &name::Workspace {
        match self {
            Self::Generate(spec) => &spec.workspace,
            Self::Call(spec) => &spec.workspace,
        }
    }

    /// Returns the most tokens that the request may use. Calls count as requests only.
    fn tokens(&self) -> u32 {
        match self {
            Self::Generate(spec) => spec.max_total_tokens(),
            Self::Call(_) => 0,
        }
    }
}

impl Machine {
    /// Admits and starts a request, parks it for up to `LOAN_WAIT_MS` if a loan was requested, or
    /// refuses it.
    pub(super) fn admit(&mut self, now: Instant, id: Id, spec: Spec, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        let workspace = spec.workspace().clone();
        let verdict = self.limiter.admit(now, &workspace, spec.tokens(), &mut out);
        self.apply_limit_effects(out, effects);
        match verdict {
            Ok(permit) => self.start_admitted(now, id, spec, permit, effects),
            Err(denial) => {
                let refused = not_run(denial.refusal, denial.retry_after_ms);
                if !denial.loan_pending {
                    self.refuse(now, id, &workspace, refused, effects);
                    return;
                }
                self.records.add(now, id, Fact::WaitsForLoan(refused.clone()));
                let until = now + std::time::Duration::from_millis(LOAN_WAIT_MS);
                self.parked.insert(id, Parked { spec, until, refused });
            }
        }
    }

    fn start_admitted(
        &mut self,
        now: Instant,
        id: Id,
        spec: Spec,
        permit: Permit,
        effects: &mut Vec<Effect>,
    ) {
        let (tokens, roster) = (permit.tokens(), permit.roster());
        let requested = match &spec {
            Spec::Generate(spec) => spec.deadline,
            Spec::Call(spec) => spec.deadline,
        };
        let Some((service, deadline)) = self.service_and_deadline(now, spec.workspace(), requested)
        else {
            // The contract was removed after validation: the request cannot run.
            self.settle(now, permit, 0, effects);
            return;
        };
        let deadline_ms = remaining_ms(now, deadline);
        self.records.add(now, id, Fact::Admitted { tokens, roster, deadline_ms });
        self.retry_budget.record_request();
        self.migration_budget.record_request();
        match spec {
            Spec::Generate(spec) => {
                self.start_generation(now, (id, spec, permit, deadline), effects)
            }
            Spec::Call(spec) => {
                self.start_call(now, (id, spec, permit, deadline), &service, effects)
            }
        }
    }

    /// Retries the admission of parked requests of `workspace`, oldest first.
    fn retry_parked(
        &mut self,
        now: Instant,
        workspace: &name::Workspace,
        effects: &mut Vec<Effect>,
    ) {
        let waiting = self.parked.iter().filter(|(_, parked)| parked.spec.workspace() == workspace);
        let waiting: Vec<Id> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            let Some(parked) = self.parked.get(&id) else { continue };
            let mut out = Vec::new();
            let verdict = self.limiter.retry(now, workspace, parked.spec.tokens(), &mut out);
            self.apply_limit_effects(out, effects);
            let Ok(permit) = verdict else { return };
            if let Some(parked) = self.parked.remove(&id) {
                self.start_admitted(now, id, parked.spec, permit, effects);
            }
        }
    }

    /// Retries the parked requests of workspaces for which a loan has arrived.
    pub(super) fn retry_loaned(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for workspace in std::mem::take(&mut self.loaned) {
            self.retry_parked(now, &workspace, effects);
        }
    }

    pub(super) fn tick_admission(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let expired = self.parked.iter().filter(|(_, parked)| parked.until <= now);
        let expired: Vec<Id> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            if let Some(parked) = self.parked.remove(&id) {
                self.refuse(now, id, parked.spec.workspace(), parked.refused, effects);
            }
        }
        if now.since(self.last_limit_tick) >= std::time::Duration::from_millis(limit::TICK_MS) {
            self.last_limit_tick = now;
            let mut out = Vec::new();
            self.limiter.tick(now, &mut out);
            self.apply_limit_effects(out, effects);
        }
    }

    /// Drops the parked request of a caller that has left.
    pub(super) fn abandon_parked(&mut self, now: Instant, id: Id) {
        if let Some(parked) = self.parked.remove(&id) {
            let refused = not_run(crate::request::Refusal::Cancelled, None);
            self.record_refusal(now, id, parked.spec.workspace(), &refused);
        }
    }

    pub(super) fn on_share(
        &mut self,
        now: Instant,
        from: &name::Host,
        message: crate::share::Message,
        effects: &mut Vec<Effect>,
    ) {
        let mut out = Vec::new();
        self.limiter.on_message(now, from, message, &mut out);
        self.apply_limit_effects(out, effects);
    }

    /// Charges the `tokens` that a request used and releases its permit.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        permit: Permit,
        tokens: u32,
        effects: &mut Vec<Effect>,
    ) {
        let mut out = Vec::new();
        self.limiter.settle(now, permit, tokens, &mut out);
        self.apply_limit_effects(out, effects);
    }

    /// Translates the effects of the limiter into effects of the entry.
    pub(super) fn apply_limit_effects(
        &mut self,
        out: Vec<limit::Effect>,
        effects: &mut Vec<Effect>,
    ) {
        for effect in out {
            match effect {
                limit::Effect::Send(host, message) => {
                    let address = self.config.entries.get(&host).map(|entry| entry.address);
                    let message = Message::Share(message);
                    effects.push(Effect::Send { host, address, message });
                }
                limit::Effect::Retry(workspace) => {
                    self.loaned.insert(workspace);
                }
            }
        }
    }
}
