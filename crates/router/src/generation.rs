//! A request that runs over a chain, and goes on over another one when the chain breaks.

mod admission;
mod attempt;
mod pace;
mod repath;
mod watch;

use std::io;

use oriole_core::forward::event::Splitter;
use oriole_core::forward::outcome::{Failure, Tries};
use oriole_core::forward::queue;
use std::time::Duration;

use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::serve::{Reason, Request, give_up};
use crate::state::Shared;

pub use admission::{Refusal, Slot};
use attempt::{Attempt, End};
use pace::Pace;

/// How long a stream in progress may wait for another chain; callers leave soon after.
const RESUME_WAIT: Duration = Duration::from_millis(1200);

/// Serves the request.
pub async fn run(state: &Shared, request: &Request, writer: &mut Writer) -> io::Result<()> {
    let mut splitter = Splitter::after(request.parameters.last_event_id.clone());
    let mut tries = Tries::default();
    let pace = Pace::default();
    let mut until =
        queue::wait_deadline(request.arrived, request.route.objective, request.deadline);
    let mut next = None;
    let mut failed = None;
    loop {
        let admitted = match next.take() {
            Some(admitted) => Ok(admitted),
            None => {
                let ran_at = &tries.ran_at;
                admission::acquire(state, request, ran_at, failed.as_ref(), until).await
            }
        };
        let (mut chain, slot) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => {
                let reason = match refusal {
                    Refusal::NoRoom => Reason::NoRoom,
                    Refusal::Stopping => Reason::Stopping,
                };
                return give_up(state, request, writer, reason, !tries.may_have_run).await;
            }
        };
        let sent = state.now();
        let end = attempt::run(
            Attempt { state, request, tries: &tries, slot: &slot, pace: &pace },
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
        let failure = match end {
            End::Complete => {
                let first_ms = pace.first_after(request.arrived).as_millis() as u64;
                let pause_ms = pace.longest_pause().as_millis() as u64;
                log::info!(id = request.id(), head, waited_ms, first_ms, pause_ms, took_ms; "served");
                state.metrics.served.inc();
                Metrics::time(&state.metrics.answer, now.since(request.arrived));
                return Ok(());
            }
            End::Caller(error) => return Err(error),
            End::Deadline => {
                return give_up(state, request, writer, Reason::Timeout, false).await;
            }
            End::Elsewhere(chain, slot) => {
                next = Some((chain, slot));
                Failure::Doubted
            }
            End::Failed(failure) => failure,
        };
        log::info!(id = request.id(), head, waited_ms, took_ms, failure:?; "attempt failed");
        Metrics::count(&state.metrics.failures, failure.as_str());
        tries.record(chain.head(), failure);
        if next.is_some() {
            continue;
        }
        let not_run = !tries.may_have_run;
        if !tries.may_retry(&request.route, failure) {
            return give_up(state, request, writer, Reason::Failed, not_run).await;
        }
        if !state.take_retry(&request.service) {
            return give_up(state, request, writer, Reason::NoBudget, not_run).await;
        }
        failed = Some(chain.key);
        until = (now + RESUME_WAIT).min(request.deadline);
    }
}
