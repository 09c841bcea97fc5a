//! Sides that are silent for a while and then go on. Silence alone ends no request: its attempt is
//! left only if there is a retry and another place for it.
#![allow(clippy::unwrap_used)] // test helpers panic on failure, as tests do

#[path = "silent_side/calls.rs"]
mod calls;
#[path = "silent_side/generations.rs"]
mod generations;
#[path = "entry/simulation.rs"]
#[allow(dead_code, reason = "each test file uses a part")]
mod simulation;

use oriole_core::entry::{Effect, Event, Outcome};
use oriole_core::message::{Message, Refuse, not_run};
use oriole_core::request::{Id, Refusal};
use simulation::{Simulation, generate, id};

/// Requests that only use up retries.
const DRAINING: std::ops::Range<u64> = 1000..1100;

/// Uses up the retries of the entry: sides refuse new generations until one is refused for good.
fn use_up_retries(sim: &mut Simulation) {
    assert!(is_refused_for_want_of_retries(sim));
    for seq in DRAINING {
        sim.machine.handle(sim.now, Event::CallerLeft(id(seq)));
    }
}

fn is_refused_for_want_of_retries(sim: &mut Simulation) -> bool {
    for seq in DRAINING {
        let event = Event::Generate(id(seq), generate(vec![1, 2, 3], 5));
        let mut effects = sim.machine.handle(sim.now, event);
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Send { message: Message::Open(open), .. } if open.stage == 0 => {
                    let event = refusal(open.request, open.attempt);
                    effects.extend(sim.machine.handle(sim.now, event));
                }
                Effect::Finish { outcome: Outcome::Refused(refused), .. } => {
                    assert_eq!(refused.reason, Refusal::RetryBudget);
                    return true;
                }
                _ => {}
            }
        }
    }
    false
}

/// The first stage of an attempt refuses to open, since its queue is full.
fn refusal(request: Id, attempt: u32) -> Event {
    let refused = not_run(Refusal::QueueFull, None);
    let message = Message::Refuse(Refuse { request, attempt, stage: 0, refused });
    Event::Message { from: "side".into(), message }
}
