//! Calls with an idempotency key.
//!
//! Each key has a home, the host that decides whether a call with the key may run and that keeps
//! its outcome.

use std::net::SocketAddr;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::explain::{self, Fact};
use crate::home;
use crate::message::{Answer, Claim, Claimed, Message, Settle, Verdict};
use crate::name;
use crate::request::{Id, Ran, Refusal, Refused};
use crate::time::Instant;

use super::event::Request;
use super::pending::{Pending, Step};
use super::{Effect, Machine, Outcome};

/// How long a claim is resent to the key's home before the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

impl Machine {
    /// Asks the key's home whether the call may run.
    pub(super) fn claim(&mut self, now: Instant, mut pending: Pending, effects: &mut Vec<Effect>) {
        let id = pending.call.request;
        let found = pending.spec.key.and_then(|key| self.home(&pending.spec.workspace, key));
        let Some((home, _)) = found else {
            let refused = outcome_unknown(Refusal::HomeUnreachable);
            self.refuse_call(now, pending, refused, effects);
            return;
        };
        self.records.add(now, id, Fact::Claimed { home });
        pending.step = Step::Claiming;
        pending.step_started = now;
        pending.last_sent = now;
        effects.extend(self.claim_message(&pending));
        self.calls.insert(id, pending);
    }

    /// Resends the claim, or refuses the call after `CLAIM_TIMEOUT`.
    pub(super) fn resend_claim(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.calls.get_mut(&id) else { return };
        pending.last_sent = now;
        if now.since(pending.step_started) < CLAIM_TIMEOUT {
            if let Some(pending) = self.calls.get(&id) {
                effects.extend(self.claim_message(pending));
            }
            return;
        }
        let Some(pending) = self.calls.remove(&id) else { return };
        // Another request with the same key may have run, so the outcome is unknown.
        self.refuse_call(now, pending, outcome_unknown(Refusal::HomeUnreachable), effects);
    }

    pub(super) fn on_claimed(&mut self, now: Instant, claimed: Claimed, effects: &mut Vec<Effect>) {
        let id = claimed.request;
        let claiming = |pending: &Pending| matches!(pending.step, Step::Claiming);
        if !self.calls.get(&id).is_some_and(claiming) {
            return;
        }
        if let Verdict::Refused(refused) = &claimed.verdict {
            let temporary =
                matches!(refused.reason, Refusal::Superseded | Refusal::HomeUnreachable);
            let time_left = |p: &Pending| now.since(p.step_started) < CLAIM_TIMEOUT;
            if temporary && self.calls.get(&id).is_some_and(time_left) {
                // The refusal is temporary: the claim is resent at the next interval.
                return;
            }
        }
        let Some(mut pending) = self.calls.remove(&id) else { return };
        let verdict = match &claimed.verdict {
            Verdict::Run => explain::Verdict::Run,
            Verdict::Ran(request, _) => explain::Verdict::Ran(*request),
            Verdict::Refused(refused) => explain::Verdict::Refused(refused.clone()),
        };
        self.records.add(now, id, Fact::Verdict(verdict));
        match claimed.verdict {
            Verdict::Run => {
                pending.claimed = true;
                self.assign(now, pending, effects);
            }
            Verdict::Ran(_, answer) => self.answer_call(now, pending, answer, effects),
            Verdict::Refused(refused) => self.refuse_call(now, pending, refused, effects),
        }
    }

    /// Ends a call with an answer. The call must have been removed from `calls`.
    pub(super) fn answer_call(
        &mut self,
        now: Instant,
        pending: Pending,
        answer: Answer,
        effects: &mut Vec<Effect>,
    ) {
        let id = pending.call.request;
        effects.extend(self.settle_message(&pending, Ok(answer.clone())));
        self.records.add(now, id, Fact::Answered { tokens: 0 });
        let workspace = &pending.spec.workspace;
        self.counters.add(super::count::Counter::Answered, workspace);
        effects.push(Effect::Finish { request: id, outcome: Outcome::Answered(answer) });
        self.settle(now, pending.permit, 0, effects);
    }

    /// Ends a call with a refusal, which speaks about all attempts. The call must have been removed
    /// from `calls`.
    pub(super) fn refuse_call(
        &mut self,
        now: Instant,
        pending: Pending,
        mut refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        let id = pending.call.request;
        if pending.may_have_run {
            refused.ran = Ran::Unknown;
        }
        effects.extend(self.settle_message(&pending, Err(refused.clone())));
        let workspace = pending.spec.workspace.clone();
        self.settle(now, pending.permit, 0, effects);
        self.refuse(now, id, &workspace, refused, effects);
    }

    /// Returns the message that reports the outcome of a call to the home of its claimed key.
    fn settle_message(
        &self,
        pending: &Pending,
        outcome: Result<Answer, Refused>,
    ) -> Option<Effect> {
        let key = pending.spec.key.filter(|_| pending.claimed)?;
        let workspace = pending.spec.workspace.clone();
        let (host, address) = self.home(&workspace, key)?;
        let request = pending.call.request;
        let message = Message::Settle(Settle { request, workspace, key, outcome });
        Some(Effect::Send { host, address: Some(address), message })
    }

    fn claim_message(&self, pending: &Pending) -> Option<Effect> {
        let key = pending.spec.key?;
        let workspace = pending.spec.workspace.clone();
        let (host, address) = self.home(&workspace, key)?;
        let claim = Claim {
            request: pending.call.request,
            workspace,
            key,
            digest: digest(&pending.spec),
            roster: self.limiter.roster(),
        };
        Some(Effect::Send { host, address: Some(address), message: Message::Claim(claim) })
    }

    /// Returns the home of a key and its address.
    fn home(&self, workspace: &name::Workspace, key: u128) -> Option<(name::Host, SocketAddr)> {
        let host = self.key_homes.get(usize::from(home::shard(workspace, key)))?;
        Some((host.clone(), self.planner.address(host)?))
    }
}

fn outcome_unknown(reason: Refusal) -> Refused {
    Refused { reason, ran: Ran::Unknown, retry_after_ms: None }
}

/// Returns the first 16 bytes of the SHA-256 of service, method, path and body.
fn digest(spec: &Request) -> u128 {
    let digest = Sha256::new()
        .chain_update(spec.service.as_str())
        .chain_update([0])
        .chain_update(&spec.method)
        .chain_update([0])
        .chain_update(&spec.path)
        .chain_update([0])
        .chain_update(&spec.body)
        .finalize();
    let first = <[u8; 32]>::from(digest);
    first.iter().take(16).fold(0, |number, byte| number << 8 | u128::from(*byte))
}
