//! One call of a plain service, without a network: the test plays the sides.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_core::entry::{Effect, Event, Outcome, Request};
use oriole_core::message::{Claim, Claimed, Message, Settle, Verdict};
use oriole_core::name::Host;
use oriole_core::request::{Ran, Refusal};

use crate::simulation::{Simulation, TICK_US, id};

fn call(path: &str) -> Request {
    Request {
        workspace: "w".into(),
        service: "s".into(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        content_type: String::new(),
        body: Vec::new(),
        key: None,
        deadline: Some(Duration::from_secs(5)),
    }
}

/// Drives one call without a network: the test answers each message itself.
pub struct Calls {
    pub sim: Simulation,
    pub sent: Vec<(Host, Message)>,
}

impl Calls {
    pub fn start(path: &str) -> Self {
        let mut calls = Self { sim: Simulation::new(7), sent: Vec::new() };
        calls.handle(Event::Call(id(1), call(path)));
        calls
    }

    pub fn handle(&mut self, event: Event) {
        for effect in self.sim.machine.handle(self.sim.now, event) {
            match effect {
                Effect::Send { host, message, .. } => {
                    self.sent.push((host, message));
                }
                Effect::Finish { request, outcome } => {
                    self.sim.outcomes.entry(request).or_default().push(outcome);
                }
                Effect::Deliver { .. } => panic!("calls have no tokens"),
            }
        }
    }

    pub fn message(&mut self, message: Message) {
        self.handle(Event::Message { from: "side".into(), message });
    }

    pub fn wait(&mut self, ms: u64) {
        for _ in 0..ms * 1000 / TICK_US {
            self.sim.now = self.sim.now + Duration::from_micros(TICK_US);
            self.handle(Event::Tick);
        }
    }

    /// Returns the hosts to which the call was sent.
    pub fn hosts(&self) -> BTreeSet<Host> {
        let calls = self.sent.iter().filter(|(_, m)| matches!(m, Message::Call(_)));
        calls.map(|(host, _)| host.clone()).collect()
    }

    pub fn refused(&self) -> Option<(Refusal, Ran)> {
        match self.sim.outcomes.get(&id(1)).map(Vec::as_slice) {
            Some([Outcome::Refused(refused)]) => Some((refused.reason, refused.ran)),
            _ => None,
        }
    }
}

/// Starts a call with an idempotency key and returns the claim that was sent.
pub fn keyed() -> (Calls, Claim) {
    let mut calls = Calls { sim: Simulation::new(7), sent: Vec::new() };
    let key = Some(0x0190_0000_0000_7000_8000_0000_0000_0001);
    calls.handle(Event::Call(id(1), Request { key, ..call("/once") }));
    let claim = match &calls.sent[..] {
        [(_, Message::Claim(claim))] => claim.clone(),
        other => panic!("{other:?}"),
    };
    (calls, claim)
}

pub fn claimed(calls: &mut Calls, verdict: Verdict) {
    calls.message(Message::Claimed(Claimed { request: id(1), verdict }));
}

pub fn settled(calls: &Calls) -> Vec<&Settle> {
    calls
        .sent
        .iter()
        .filter_map(|(_, m)| match m {
            Message::Settle(settle) => Some(settle),
            _ => None,
        })
        .collect()
}
