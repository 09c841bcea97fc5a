//! Calls of plain services in progress.

use crate::config::Kind;
use crate::message::{Call, Message, Refuse, Reply, Report, Resolve, Stage, State, not_run};
use crate::request::{Id, Ran, Refusal, Refused};
use crate::time::{Instant, as_us};

use super::{Effect, Machine, Outcome, Request, refuse, send};

/// Time before the deadline at which a side is asked whether the call has run.
const RESOLVE_MS: u64 = 500;

/// One call.
pub(super) struct Pending {
    call: Call,
    stage: Stage,
    deadline: Instant,
    resolving: bool,
}

impl Machine {
    pub(super) fn on_call(
        &mut self,
        now: Instant,
        id: Id,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        let Some(contract) = self.config.contracts.get(&request.workspace) else {
            effects.push(refuse(id, Refusal::Unauthorized, None));
            return;
        };
        let service = contract.service.clone();
        let Some(stage) = self.choose(&request) else {
            effects.push(refuse(id, Refusal::NoChain, None));
            return;
        };
        let asked = request.deadline.unwrap_or(service.default_deadline);
        let deadline = now + asked.min(service.longest_deadline);
        let call = Call {
            request: id,
            attempt: 1,
            endpoint: stage.endpoint.clone(),
            workspace: request.workspace.clone(),
            priority: service.priority,
            weight: service.weight,
            deadline_ms: as_us(deadline.since(now)) / 1000,
            idempotent: self.is_idempotent(&request),
            method: request.method,
            path: request.path,
            content_type: request.content_type,
            body: request.body,
            roster: 0,
            term: self.term(&stage.endpoint),
        };
        effects.push(send(&stage, Message::Call(call.clone())));
        self.calls.insert(id, Pending { call, stage, deadline, resolving: false });
    }

    pub(super) fn on_reply(&mut self, reply: Reply, effects: &mut Vec<Effect>) {
        if self.calls.remove(&reply.request).is_some() {
            let outcome = Outcome::Answered(reply.answer);
            effects.push(Effect::Finish { request: reply.request, outcome });
        }
    }

    pub(super) fn on_call_refused(&mut self, refuse: Refuse, effects: &mut Vec<Effect>) {
        self.calls.remove(&refuse.request);
        let outcome = Outcome::Refused(refuse.refused);
        effects.push(Effect::Finish { request: refuse.request, outcome });
    }

    pub(super) fn on_report(&mut self, report: &Report, effects: &mut Vec<Effect>) {
        if report.state == State::Refused && self.calls.remove(&report.request).is_some() {
            effects.push(refuse(report.request, Refusal::Deadline, None));
        }
    }

    pub(super) fn tick_calls(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let mut over = Vec::new();
        for (id, pending) in &mut self.calls {
            if pending.deadline <= now {
                over.push(*id);
            } else if !pending.resolving && as_us(pending.deadline.since(now)) < RESOLVE_MS * 1000 {
                pending.resolving = true;
                let (attempt, term) = (pending.call.attempt, pending.call.term);
                let resolve = Resolve { request: *id, attempt, term };
                effects.push(send(&pending.stage, Message::Resolve(resolve)));
            }
        }
        for request in over {
            self.calls.remove(&request);
            let refused = Refused { ran: Ran::Unknown, ..not_run(Refusal::Deadline, None) };
            effects.push(Effect::Finish { request, outcome: Outcome::Refused(refused) });
        }
    }

    fn is_idempotent(&self, request: &Request) -> bool {
        let service = self.config.services.get(&request.service);
        !service.is_some_and(|service| {
            service.non_idempotent.iter().any(|route| {
                route.method == request.method && request.path.starts_with(&route.path)
            })
        })
    }

    fn choose(&mut self, request: &Request) -> Option<Stage> {
        let mut found = Vec::new();
        for (name, endpoint) in &self.config.endpoints {
            let open = self.loads.get(name).is_none_or(|load| load.open) && !endpoint.drain;
            let fits = matches!(&endpoint.kind,
                Kind::Service { service, .. } if *service == request.service);
            if fits && open {
                found.push(Stage {
                    endpoint: name.clone(),
                    host: endpoint.host.clone(),
                    address: endpoint.side,
                    first: 0,
                    end: 0,
                });
            }
        }
        if found.is_empty() {
            return None;
        }
        let index = self.draw(found.len());
        Some(found.swap_remove(index))
    }
}
