//! What a test looks for among the effects of an event.

use oriole_core::engine::Batch;
use oriole_core::message::{Fault, Message, Step};
use oriole_core::request::Refused;
use oriole_core::side::Effect;

pub fn messages(out: &[Effect]) -> impl Iterator<Item = &Message> {
    out.iter().filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    })
}

pub fn refused(out: &[Effect]) -> Option<&Refused> {
    messages(out).find_map(|m| match m {
        Message::Refuse(refuse) => Some(&refuse.refused),
        _ => None,
    })
}

pub fn batches(out: &[Effect]) -> Vec<&Batch> {
    let batches = out.iter().filter_map(|effect| match effect {
        Effect::Run { batch, .. } => Some(batch),
        _ => None,
    });
    batches.collect()
}

pub fn steps(out: &[Effect]) -> Vec<&Step> {
    let steps = messages(out).filter_map(|m| match m {
        Message::Step(step) => Some(step),
        _ => None,
    });
    steps.collect()
}

pub fn broken(out: &[Effect]) -> Option<Fault> {
    messages(out).find_map(|m| match m {
        Message::Broken(broken) => Some(broken.fault),
        _ => None,
    })
}
