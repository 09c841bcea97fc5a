//! Admission by contract, and the messages by which entries share the limits.

use crate::explain::Fact;
use crate::limit::{self, LOAN_WAIT_MS, Permit};
use crate::message::{Message, not_run};
use crate::name;
use crate::request::{Id, Refused};
use crate::time::Instant;

use super::event::{Generate, Request};
use super::{Effect, Machine, left_ms};

/// A request that waits for a loan of its contract's limits.
pub(super) struct Parked {
    ask: Ask,
    until: Instant,
    refused: Refused,
}

/// What a request asks for.
pub(super) enum Ask {
    Generate(Generate),
    Call(Request),
}

impl Ask {
    fn workspace(&self) -> &name::Workspace {
        match self {
            Self::Generate(ask) => &ask.workspace,
            Self::Call(ask) => &ask.workspace,
        }
    }

    /// Tokens that the request may use at most; calls are counted as requests only.
    fn tokens(&self) -> u32 {
        match self {
            Self::Generate(ask) => ask.most_tokens(),
            Self::Call(_) => 0,
        }
    }
}

impl Machine {
    /// Admits a request and starts it, lets it wait for a loan for a moment, or refuses it.
    pub(super) fn admit(&mut self, now: Instant, id: Id, ask: Ask, effects: &mut Vec<Effect>) {
        let mut out = Vec::new();
        let workspace = ask.workspace().clone();
        let verdict = self.limiter.admit(now, &workspace, ask.tokens(), &mut out);
        self.share(out, effects);
        match verdict {
            Ok(permit) => self.admitted(now, id, ask, permit, effects),
            Err(denial) => {
                let refused = not_run(denial.refusal, denial.retry_after_ms);
                if !denial.loan_pending {
                    self.refuse(now, id, &workspace, refused, effects);
                    return;
                }
                self.records.add(now, id, Fact::WaitsForLoan(refused.clone()));
                let until = now + std::time::Duration::from_millis(LOAN_WAIT_MS);
                self.parked.insert(id, Parked { ask, until, refused });
            }
        }
    }

    fn admitted(
        &mut self,
        now: Instant,
        id: Id,
        ask: Ask,
        permit: Permit,
        effects: &mut Vec<Effect>,
    ) {
        let (tokens, roster) = (permit.tokens(), permit.roster());
        let asked = match &ask {
            Ask::Generate(ask) => ask.deadline,
            Ask::Call(ask) => ask.deadline,
        };
        let Some((service, deadline)) = self.deadline(now, ask.workspace(), asked) else {
            // The contract was taken away between the check and here: nothing can run.
            self.settle(now, permit, 0, effects);
            return;
        };
        let deadline_ms = left_ms(now, deadline);
        self.records.add(now, id, Fact::Admitted { tokens, roster, deadline_ms });
        self.budget.request();
        self.moves.request();
        match ask {
            Ask::Generate(ask) => self.run(now, (id, ask, permit, deadline), effects),
            Ask::Call(ask) => self.run_call(now, (id, ask, permit, deadline), &service, effects),
        }
    }

    /// Tries the requests again that wait for a loan of `workspace`, oldest first.
    fn retry_parked(
        &mut self,
        now: Instant,
        workspace: &name::Workspace,
        effects: &mut Vec<Effect>,
    ) {
        let waiting = self.parked.iter().filter(|(_, parked)| parked.ask.workspace() == workspace);
        let waiting: Vec<Id> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            let Some(parked) = self.parked.get(&id) else { continue };
            let mut out = Vec::new();
            let verdict = self.limiter.retry(now, workspace, parked.ask.tokens(), &mut out);
            self.share(out, effects);
            let Ok(permit) = verdict else { return };
            if let Some(parked) = self.parked.remove(&id) {
                self.admitted(now, id, parked.ask, permit, effects);
            }
        }
    }

    /// Does what the book of limits has asked for meanwhile.
    pub(super) fn retry_ready(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        for workspace in std::mem::take(&mut self.ready) {
            self.retry_parked(now, &workspace, effects);
        }
    }

    pub(super) fn tick_admission(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let over = self.parked.iter().filter(|(_, parked)| parked.until <= now);
        let over: Vec<Id> = over.map(|(id, _)| *id).collect();
        for id in over {
            if let Some(parked) = self.parked.remove(&id) {
                self.refuse(now, id, parked.ask.workspace(), parked.refused, effects);
            }
        }
        if now.since(self.shared) >= std::time::Duration::from_millis(limit::TICK_MS) {
            self.shared = now;
            let mut out = Vec::new();
            self.limiter.tick(now, &mut out);
            self.share(out, effects);
        }
    }

    /// The caller of a request that waits for a loan went away.
    pub(super) fn abandon_parked(&mut self, now: Instant, id: Id) {
        if let Some(parked) = self.parked.remove(&id) {
            let refused = not_run(crate::request::Refusal::Cancelled, None);
            self.note_refusal(now, id, parked.ask.workspace(), &refused);
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
        self.share(out, effects);
    }

    /// Ends the charge of a request that used `tokens`.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        permit: Permit,
        tokens: u32,
        effects: &mut Vec<Effect>,
    ) {
        let mut out = Vec::new();
        self.limiter.settle(now, permit, tokens, &mut out);
        self.share(out, effects);
    }

    /// Carries out what the book of limits asks for.
    pub(super) fn share(&mut self, out: Vec<limit::Effect>, effects: &mut Vec<Effect>) {
        for effect in out {
            match effect {
                limit::Effect::Send(host, message) => {
                    let address = self.config.entries.get(&host).map(|entry| entry.address);
                    let message = Message::Share(message);
                    effects.push(Effect::Send { host, address, message });
                }
                limit::Effect::Retry(workspace) => {
                    self.ready.insert(workspace);
                }
            }
        }
    }
}
