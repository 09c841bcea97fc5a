//! Cancellation, and requests to resolve an attempt: to refuse it unless it has started, and to
//! report its state.

use std::collections::BTreeMap;

use crate::message::{Cancel, Message, Report, Resolve, State};
use crate::name;
use crate::request::Refusal;

use super::Context;
use super::dispatcher::Dispatcher;
use super::journal::Transition;

type Dispatchers = BTreeMap<name::Endpoint, Dispatcher>;

/// Ends the attempts of a request up to the cancelled one at all endpoints.
pub(super) fn cancel(dispatchers: &mut Dispatchers, cx: &mut Context, cancel: &Cancel) {
    let (request, attempt) = (cancel.request, cancel.attempt);
    for dispatcher in dispatchers.values_mut() {
        match dispatcher.sequences.get(&request) {
            Some(sequence) if sequence.open.attempt <= attempt => {
                dispatcher.end_sequence(cx, request, attempt);
                dispatcher.run_next_batch(cx);
            }
            Some(_) => {}
            // The Open of the cancelled attempt may arrive later; the tombstone causes its refusal.
            None if dispatcher.ledger.newest_attempt(request).is_none() => {
                if dispatcher.ledger.has_room(dispatcher.sequences.len()) {
                    dispatcher.ledger.tombstone(request, attempt, false);
                }
            }
            None => dispatcher.refuse_waiting(cx, request, Some(attempt), Refusal::Cancelled),
        }
    }
}

/// Refuses a request wherever it has not started and reports its state over all endpoints. If it is
/// done, the answer is sent again if it is still stored.
pub(super) fn resolve(
    dispatchers: &mut Dispatchers,
    cx: &mut Context,
    from: &name::Host,
    query: &Resolve,
) {
    let (request, attempt) = (query.request, query.attempt);
    let mut state = State::Refused;
    for dispatcher in dispatchers.values_mut() {
        state = combine(state, dispatcher.resolve(cx, query));
    }
    cx.reply(from, Message::Report(Report { request, attempt, state }));
    if state == State::Done {
        for dispatcher in dispatchers.values_mut() {
            dispatcher.resend_answer(cx, from, request);
        }
    }
}

/// Returns the state that is further from a proof that the request did not run.
fn combine(a: State, b: State) -> State {
    let rank = |state: State| match state {
        State::Refused => 0,
        State::Unknown => 1,
        State::Started => 2,
        State::Done => 3,
    };
    if rank(a) >= rank(b) { a } else { b }
}

impl Dispatcher {
    fn resolve(&mut self, cx: &mut Context, query: &Resolve) -> State {
        let Some(sequence) = self.sequences.get(&query.request) else {
            let state = self.ledger.resolve(query.request, query.attempt, query.term);
            if state == State::Refused {
                self.remove_waiting(cx, query.request);
                self.note(cx, query.request, query.attempt, Transition::FencedOff);
            }
            return state;
        };
        if sequence.started {
            return State::Started;
        }
        if sequence.open.attempt <= query.attempt {
            self.end_sequence(cx, query.request, query.attempt);
            self.note(cx, query.request, query.attempt, Transition::FencedOff);
        }
        State::Refused
    }
}
