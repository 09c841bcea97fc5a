//! Serves streaming requests over chains.
//!
//! A request waits for capacity on a chain, is sent to the first endpoint of the chain, and resumes
//! on another chain if this one breaks. All attempts write to the same response, so that the caller
//! sees one stream without gaps or repeated events.

mod admission;
mod attempt;
mod repath;
mod timing;
mod watch;

use std::io;

use oriole_core::forward::event::Splitter;
use oriole_core::forward::outcome::{Attempts, Failure};
use oriole_core::forward::queue;
use std::time::Duration;

use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::serve::{Reason, Request, give_up};
use crate::state::Shared;

pub use admission::{Refusal, Slot};
use attempt::{Attempt, Outcome};
use timing::Timing;

/// Longest wait for capacity after a failed attempt; callers disconnect soon after.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1200);

/// Serves the request, with further attempts on other chains as far as its route allows.
///
/// An error means that the connection to the caller is lost.
pub async fn run(state: &Shared, request: &Request, writer: &mut Writer) -> io::Result<()> {
    let mut splitter = Splitter::after(request.parameters.last_event_id.clone());
    let mut attempts = Attempts::default();
    let timing = Timing::default();
    let mut wait_until =
        queue::wait_deadline(request.arrived, request.route.objective, request.deadline);
    let mut reserved = None;
    let mut failed_chain = None;
    loop {
        let admitted = match reserved.take() {
            Some(admitted) => Ok(admitted),
            None => {
                let ran_at = &attempts.ran_at;
                admission::acquire(state, request, ran_at, failed_chain.as_ref(), wait_until).await
            }
        };
        let (mut chain, slot) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => {
                let reason = match refusal {
                    Refusal::NoRoom => Reason::NoRoom,
                    Refusal::Stopping => Reason::Stopping,
                };
                return give_up(state, request, writer, reason, !attempts.may_have_run).await;
            }
        };
        let sent = state.now();
        let outcome = attempt::run(
            Attempt { state, request, attempts: &attempts, slot: &slot, timing: &timing },
            &mut chain,
            &mut splitter,
            writer,
        )
        .await;
        drop(slot);
        let now = state.now();
        let head = chain.head().as_str();
        let took_ms = now.since(sent).as_millis() as u64;
        let waited_ms = sent.since(request.arrived).as_millis() as u64;
        let failure = match outcome {
            Outcome::Complete => {
                let first_ms = timing.first_event_after(request.arrived).as_millis() as u64;
                let pause_ms = timing.longest_pause().as_millis() as u64;
                log::info!(
                    id = request.id(), head, waited_ms, first_ms, pause_ms, took_ms;
                    "served"
                );
                state.metrics.served.inc();
                Metrics::time(&state.metrics.answer, now.since(request.arrived));
                return Ok(());
            }
            Outcome::CallerLost(error) => return Err(error),
            Outcome::DeadlineExceeded => {
                return give_up(state, request, writer, Reason::Timeout, false).await;
            }
            Outcome::Rerouted(chain, slot) => {
                reserved = Some((chain, slot));
                Failure::Doubted
            }
            Outcome::Failed(failure) => failure,
        };
        log::info!(id = request.id(), head, waited_ms, took_ms, failure:?; "attempt failed");
        Metrics::count(&state.metrics.failures, failure.as_str());
        attempts.record(chain.head(), failure);
        if reserved.is_some() {
            continue;
        }
        let not_run = !attempts.may_have_run;
        if !attempts.may_retry(&request.route, failure) {
            return give_up(state, request, writer, Reason::Failed, not_run).await;
        }
        if !state.take_retry(&request.service) {
            return give_up(state, request, writer, Reason::NoBudget, not_run).await;
        }
        failed_chain = Some(chain.key);
        wait_until = (now + MAX_RESUME_WAIT).min(request.deadline);
    }
}
