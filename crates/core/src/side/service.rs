//! Calls of plain services.

use crate::message::{Answer, Call, Message, Refuse, Reply, Report, Resolve, State, not_run};
use crate::name;
use crate::request::{Id, Ran, Refusal, Refused};

use super::{Effect, Gate, Machine, reply};

/// What the side knows of one call.
pub(super) struct Record {
    attempt: u32,
    entry: name::Host,
    state: Progress,
}

enum Progress {
    /// Fenced off: it did not run and will not.
    Refused,
    Started,
    Done(Answer),
    /// It started and no answer came.
    Failed,
}

impl Machine {
    pub(super) fn on_call(&mut self, from: &name::Host, call: Call, effects: &mut Vec<Effect>) {
        let effect = match self.gates.get_mut(&call.endpoint) {
            Some(gate) => gate.call(from, call),
            None => Some(refuse_call(from, &call, Refusal::NotFound)),
        };
        effects.extend(effect);
    }

    pub(super) fn on_answered(
        &mut self,
        endpoint: &name::Endpoint,
        request: Id,
        answer: Option<Answer>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(gate) = self.gates.get_mut(endpoint) else { return };
        let Some(record) = gate.calls.get_mut(&request) else { return };
        record.state = answer.map_or(Progress::Failed, Progress::Done);
        effects.push(record.outcome(request));
    }

    pub(super) fn on_resolve(
        &mut self,
        from: &name::Host,
        resolve: &Resolve,
        effects: &mut Vec<Effect>,
    ) {
        let mut state = State::Refused;
        for gate in self.gates.values_mut() {
            // The tombstone keeps a call that is still on its way from running.
            let record = gate.calls.entry(resolve.request).or_insert_with(|| Record {
                attempt: resolve.attempt,
                entry: from.clone(),
                state: Progress::Refused,
            });
            match record.state {
                Progress::Refused => {}
                Progress::Started | Progress::Failed => state = State::Started,
                Progress::Done(_) => state = State::Done,
            }
        }
        let report = Report { request: resolve.request, attempt: resolve.attempt, state };
        effects.push(reply(from, Message::Report(report)));
    }
}

impl Gate {
    pub(super) fn has_calls(&self) -> bool {
        self.calls.values().any(|record| matches!(record.state, Progress::Started))
    }

    fn call(&mut self, from: &name::Host, call: Call) -> Option<Effect> {
        if let Some(record) = self.calls.get_mut(&call.request) {
            record.entry = from.clone();
            return match record.state {
                Progress::Started => None,
                _ => Some(record.outcome(call.request)),
            };
        }
        if self.leaving {
            return Some(refuse_call(from, &call, Refusal::Leaving));
        }
        let record =
            Record { attempt: call.attempt, entry: from.clone(), state: Progress::Started };
        self.calls.insert(call.request, record);
        Some(Effect::Call { call })
    }
}

impl Record {
    fn outcome(&self, request: Id) -> Effect {
        let attempt = self.attempt;
        let message = match &self.state {
            Progress::Done(answer) => {
                Message::Reply(Reply { request, attempt, answer: answer.clone() })
            }
            Progress::Refused => {
                let refused = not_run(Refusal::Fenced, None);
                Message::Refuse(Refuse { request, attempt, stage: 0, refused })
            }
            Progress::Started | Progress::Failed => {
                let reason = Refusal::EndpointFailed;
                let refused = Refused { reason, ran: Ran::Unknown, retry_after_ms: None };
                Message::Refuse(Refuse { request, attempt, stage: 0, refused })
            }
        };
        reply(&self.entry, message)
    }
}

fn refuse_call(host: &name::Host, call: &Call, reason: Refusal) -> Effect {
    let refused = not_run(reason, None);
    let (request, attempt) = (call.request, call.attempt);
    reply(host, Message::Refuse(Refuse { request, attempt, stage: 0, refused }))
}
