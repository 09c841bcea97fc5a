//! Cancelling, and refuse-or-report.

use std::collections::BTreeMap;

use crate::message::{Cancel, Message, Report, Resolve, State};
use crate::name;
use crate::request::Refusal;

use super::Context;
use super::gate::Gate;
use super::journal::What;

type Gates = BTreeMap<name::Endpoint, Gate>;

/// Ends attempts at a request at all endpoints.
pub(super) fn cancel(gates: &mut Gates, cx: &mut Context, cancel: &Cancel) {
    let (request, attempt) = (cancel.request, cancel.attempt);
    for gate in gates.values_mut() {
        match gate.works.get(&request) {
            Some(work) if work.open.attempt <= attempt => {
                gate.end(cx, request, attempt);
                gate.run_next(cx);
            }
            Some(_) => {}
            // The cancelled attempt's Open may still be on its way.
            None if gate.ledger.newest(request).is_none() => {
                if gate.ledger.has_room(gate.works.len()) {
                    gate.ledger.tombstone(request, attempt, false);
                }
            }
            None => gate.refuse_waiting(cx, request, Some(attempt), Refusal::Cancelled),
        }
    }
}

/// Refuses a request that has not started at any endpoint, and says which.
pub(super) fn resolve(gates: &mut Gates, cx: &mut Context, from: &name::Host, asked: &Resolve) {
    let (request, attempt) = (asked.request, asked.attempt);
    let mut state = State::Refused;
    for gate in gates.values_mut() {
        state = worse(state, gate.resolve(cx, asked));
    }
    cx.reply(from, Message::Report(Report { request, attempt, state }));
    if state == State::Done {
        for gate in gates.values_mut() {
            gate.repeat_answer(cx, from, request);
        }
    }
}

/// The state that says more against "not run".
fn worse(a: State, b: State) -> State {
    let rank = |state: State| match state {
        State::Refused => 0,
        State::Unknown => 1,
        State::Started => 2,
        State::Done => 3,
    };
    if rank(a) >= rank(b) { a } else { b }
}

impl Gate {
    fn resolve(&mut self, cx: &mut Context, asked: &Resolve) -> State {
        let Some(work) = self.works.get(&asked.request) else {
            let state = self.ledger.resolve(asked.request, asked.attempt, asked.term);
            if state == State::Refused {
                self.drop_waiting(cx, asked.request);
                self.note(cx, asked.request, asked.attempt, What::FencedOff);
            }
            return state;
        };
        if work.started {
            return State::Started;
        }
        if work.open.attempt <= asked.attempt {
            self.end(cx, asked.request, asked.attempt);
            self.note(cx, asked.request, asked.attempt, What::FencedOff);
        }
        State::Refused
    }
}
