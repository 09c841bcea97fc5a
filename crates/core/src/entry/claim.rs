//! Idempotency keys: the key's home decides whether a call may run.

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

/// How long a home is asked, before the call is refused.
const CLAIM_WAIT: Duration = Duration::from_secs(2);

impl Machine {
    /// Asks the key's home whether the call may run.
    pub(super) fn claim(&mut self, now: Instant, mut pending: Pending, effects: &mut Vec<Effect>) {
        let id = pending.call.request;
        let found = pending.ask.key.and_then(|key| self.home(&pending.ask.workspace, key));
        let Some((home, _)) = found else {
            let refused = unknown(Refusal::HomeUnreachable);
            self.refuse_call(now, pending, refused, effects);
            return;
        };
        self.records.add(now, id, Fact::Claimed { home });
        pending.step = Step::Claiming;
        pending.placed = now;
        pending.sent = now;
        effects.extend(self.claim_message(&pending));
        self.calls.insert(id, pending);
    }

    /// Sends the claim again, or gives it up.
    pub(super) fn claim_again(&mut self, now: Instant, id: Id, effects: &mut Vec<Effect>) {
        let Some(pending) = self.calls.get_mut(&id) else { return };
        pending.sent = now;
        if now.since(pending.placed) < CLAIM_WAIT {
            if let Some(pending) = self.calls.get(&id) {
                effects.extend(self.claim_message(pending));
            }
            return;
        }
        let Some(pending) = self.calls.remove(&id) else { return };
        // Another request with the key may have run, whatever became of this one.
        self.refuse_call(now, pending, unknown(Refusal::HomeUnreachable), effects);
    }

    pub(super) fn on_claimed(&mut self, now: Instant, claimed: Claimed, effects: &mut Vec<Effect>) {
        let id = claimed.request;
        let claiming = |pending: &Pending| matches!(pending.step, Step::Claiming);
        if !self.calls.get(&id).is_some_and(claiming) {
            return;
        }
        if let Verdict::Refused(refused) = &claimed.verdict {
            let passing = matches!(refused.reason, Refusal::Superseded | Refusal::HomeUnreachable);
            let left = |p: &Pending| now.since(p.placed) < CLAIM_WAIT;
            if passing && self.calls.get(&id).is_some_and(left) {
                // Asked again at the next interval.
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
                self.place(now, pending, effects);
            }
            Verdict::Ran(_, answer) => self.answer_call(now, pending, answer, effects),
            Verdict::Refused(refused) => self.refuse_call(now, pending, refused, effects),
        }
    }

    /// Ends a call with an answer; nothing of it may be in `calls`.
    pub(super) fn answer_call(
        &mut self,
        now: Instant,
        pending: Pending,
        answer: Answer,
        effects: &mut Vec<Effect>,
    ) {
        let id = pending.call.request;
        effects.extend(self.settlement(&pending, Ok(answer.clone())));
        self.records.add(now, id, Fact::Answered { tokens: 0 });
        let workspace = &pending.ask.workspace;
        self.counters.add(super::count::Counter::Answered, workspace);
        effects.push(Effect::Finish { request: id, outcome: Outcome::Answered(answer) });
        self.settle(now, pending.permit, 0, effects);
    }

    /// Ends a call with a refusal; nothing of it may be in `calls`.
    pub(super) fn refuse_call(
        &mut self,
        now: Instant,
        pending: Pending,
        refused: Refused,
        effects: &mut Vec<Effect>,
    ) {
        let id = pending.call.request;
        effects.extend(self.settlement(&pending, Err(refused.clone())));
        let workspace = pending.ask.workspace.clone();
        self.settle(now, pending.permit, 0, effects);
        self.refuse(now, id, &workspace, refused, effects);
    }

    /// Tells the home of a claimed key how the call ended.
    fn settlement(&self, pending: &Pending, outcome: Result<Answer, Refused>) -> Option<Effect> {
        let key = pending.ask.key.filter(|_| pending.claimed)?;
        let workspace = pending.ask.workspace.clone();
        let (host, address) = self.home(&workspace, key)?;
        let request = pending.call.request;
        let message = Message::Settle(Settle { request, workspace, key, outcome });
        Some(Effect::Send { host, address: Some(address), message })
    }

    fn claim_message(&self, pending: &Pending) -> Option<Effect> {
        let key = pending.ask.key?;
        let workspace = pending.ask.workspace.clone();
        let (host, address) = self.home(&workspace, key)?;
        let claim = Claim {
            request: pending.call.request,
            workspace,
            key,
            digest: digest(&pending.ask),
            roster: self.limiter.roster(),
        };
        Some(Effect::Send { host, address: Some(address), message: Message::Claim(claim) })
    }

    /// The home of a key and where it listens.
    fn home(&self, workspace: &name::Workspace, key: u128) -> Option<(name::Host, SocketAddr)> {
        let host = self.homes.get(usize::from(home::shard(workspace, key)))?;
        Some((host.clone(), self.planner.address(host)?))
    }
}

fn unknown(reason: Refusal) -> Refused {
    Refused { reason, ran: Ran::Unknown, retry_after_ms: None }
}

/// First 16 bytes of the SHA-256 of service, method, path and body.
fn digest(ask: &Request) -> u128 {
    let digest = Sha256::new()
        .chain_update(ask.service.as_str())
        .chain_update([0])
        .chain_update(&ask.method)
        .chain_update([0])
        .chain_update(&ask.path)
        .chain_update([0])
        .chain_update(&ask.body)
        .finalize();
    let first = <[u8; 32]>::from(digest);
    first.iter().take(16).fold(0, |number, byte| number << 8 | u128::from(*byte))
}
