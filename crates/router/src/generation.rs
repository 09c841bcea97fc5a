//! Serves streaming requests over chains.
//!
//! A request waits for capacity on a chain, is sent to the first endpoint of the chain, and resumes
//! on another chain if this one breaks. All attempts write to the same response, so that the caller
//! sees one stream without gaps or repeated events.

mod admission;
mod attempt;
mod crash;
mod race;
mod rank;
mod repath;
mod stream;
mod timing;
mod watch;

use std::cell::Cell;
use std::io;
use std::time::Duration;

use oriole_core::forward::Part;
use oriole_core::forward::budget::Pass;
use oriole_core::forward::chain::Chain;
use oriole_core::forward::event::Splitter;
use oriole_core::forward::hold::Caution;
use oriole_core::forward::outcome::{Attempts, Failure};
use oriole_core::forward::quarantine::Begin;
use oriole_core::forward::queue;
use oriole_core::name;
use oriole_core::time::Instant;
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::reply::Writer;
use crate::run::Run;
use crate::serve::{Reason, Request, check_crashes, give_up};
use crate::state::{Shared, pause};

use admission::Acquire;
pub use admission::{Refusal, Slot};
use attempt::{Attempt, Continued, Detour, Outcome, Source};
use race::{Race, Suspended};
use timing::Timing;

/// Longest wait for capacity after a failed attempt; callers disconnect soon after.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1200);

/// What a request does next.
enum Next {
    /// It waits for capacity on a chain, other than `failed` if possible, until `until`.
    Wait { failed: Option<name::Endpoint>, until: Instant, pass: Pass },
    /// It runs on a chain on which capacity has been reserved.
    Run(Chain, Slot, Pass),
    /// It goes on with the response of an earlier attempt.
    Continue(Box<Suspended>),
}

/// A chain with capacity on which an attempt starts, or goes on with a response.
struct Start {
    chain: Chain,
    slot: Slot,
    source: Source,
}

/// A request and its attempts so far.
struct Generation<'a> {
    state: &'a Shared,
    request: &'a Request,
    attempts: Attempts,
    timing: Timing,
    /// The beginning of the answer of the current attempt, once it has had an event.
    begin: Cell<Option<Begin>>,
    /// The run of the current attempt, until it is known whether it may crash its endpoint.
    run: Cell<Option<Run>>,
}

/// Serves the request, with further attempts on other chains as far as its route allows. `pass` is that of
/// the first one.
///
/// An error means that the connection to the caller is lost.
pub async fn run(
    state: &Shared,
    request: &Request,
    pass: Pass,
    writer: &mut Writer,
) -> io::Result<()> {
    let mut generation = Generation {
        state,
        request,
        attempts: Attempts::default(),
        timing: Timing::default(),
        begin: Cell::default(),
        run: Cell::default(),
    };
    let mut splitter = Splitter::after(request.parameters.last_event_id.clone());
    let until = queue::wait_deadline(request.arrived, request.route.objective, request.deadline);
    let mut next = Next::Wait { failed: None, until, pass };
    let mut suspended: Option<Box<Suspended>> = None;
    loop {
        let started = generation.start(next, &mut splitter).await;
        let Start { mut chain, slot, source } = match started {
            Ok(start) => start,
            Err(reason) => return generation.give_up(writer, reason).await,
        };
        let sent = state.now();
        generation.begin.set(None);
        // One detour at a time, and none from a response that the request has come back to.
        let may_leave = matches!(source, Source::Send(_)) && suspended.is_none();
        let context = generation.context(&slot, may_leave);
        let attempt = attempt::run(context, &mut chain, source, &mut splitter, writer);
        let race = race::run(attempt, &generation.begin, suspended.take()).await;
        let (outcome, earlier) = match race {
            Race::Ended(outcome, earlier) => (outcome, earlier),
            Race::Earlier(earlier) => (Outcome::Failed(Failure::Doubted), Some(earlier)),
        };
        let failure = match outcome {
            Outcome::Complete => {
                generation.finish(&chain, sent);
                return Ok(());
            }
            Outcome::CallerLost(error) => return Err(error),
            Outcome::DeadlineExceeded => {
                drop(slot);
                return give_up(state, request, writer, Reason::Timeout, false).await;
            }
            Outcome::Rerouted(detour) => {
                generation.record_failure(&chain, Failure::Doubted, sent).await;
                (next, suspended) = leave(chain, slot, splitter.clone(), *detour);
                continue;
            }
            Outcome::Failed(failure) => failure,
        };
        drop(slot);
        generation.record_failure(&chain, failure, sent).await;
        let decided = match earlier {
            Some(earlier) => Ok(Next::Continue(earlier)),
            None => generation.after_failure(chain, failure),
        };
        next = match decided {
            Ok(next) => next,
            Err(reason) => return generation.give_up(writer, reason).await,
        };
    }
}

/// Leaves a chain for another one, and keeps the response of the one that is left if it has a head.
fn leave(
    chain: Chain,
    slot: Slot,
    splitter: Splitter,
    detour: Detour,
) -> (Next, Option<Box<Suspended>>) {
    slot.suspend_stream();
    let suspended = detour
        .left
        .map(|response| Box::new(Suspended { chain, slot, response, unread: None, splitter }));
    (Next::Run(detour.chain, detour.slot, detour.pass), suspended)
}

impl Generation<'_> {
    /// Gets capacity for what the request does next, or returns why it does nothing.
    ///
    /// `splitter` is replaced by that of an earlier response that goes on.
    async fn start(&self, next: Next, splitter: &mut Splitter) -> Result<Start, Reason> {
        let (state, request) = (self.state, self.request);
        pause::settle(state).await;
        let (chain, slot, pass) = match next {
            Next::Continue(earlier) => {
                log::info!(id = request.id(); "going on with the response of an earlier attempt");
                let Suspended { chain, slot, response, unread, splitter: earlier } = *earlier;
                *splitter = earlier;
                let source = Source::Continue(Box::new(Continued { response, unread }));
                return Ok(Start { chain, slot, source });
            }
            Next::Run(chain, slot, pass) => (chain, slot, pass),
            Next::Wait { failed, until, pass } => {
                let ran_at = &self.attempts.ran_at;
                let (dealt, waited) = self.take_turn().await;
                let is_resumed = failed.is_some() || !ran_at.is_empty();
                let may_have_run = self.attempts.may_have_run;
                let failed = failed.as_ref();
                let acquire = Acquire { ran_at, failed, dealt, is_resumed, may_have_run };
                let until = (until + waited).min(request.deadline);
                let (chain, slot) = admission::acquire(state, request, acquire, until).await?;
                (chain, slot, pass)
            }
        };
        check_crashes(state, request)?;
        state.record_run(&request.parameters.shared_parts);
        Ok(Start { chain, slot, source: Source::Send(pass) })
    }

    /// Waits until the request may run in view of the crashes of which it is suspect. Returns which of the
    /// chains it should go to, if that matters, and how long it waited.
    async fn take_turn(&self) -> (Option<usize>, Duration) {
        let (state, request) = (self.state, self.request);
        let chains = state.chain_count(&request.service);
        let Caution::Apart { chain, not_before } = state.caution(request.fingerprint, chains)
        else {
            return (None, Duration::ZERO);
        };
        let wait = not_before.min(request.deadline).since(state.now());
        if !wait.is_zero() {
            let wait_ms = wait.as_millis() as u64;
            log::info!(id = request.id(), wait_ms; "suspect of several crashes waits for its turn");
            sleep(wait).await;
        }
        (Some(chain), wait)
    }

    /// Returns the context of the next attempt, for which `slot` is reserved.
    fn context<'a>(&'a self, slot: &'a Slot, may_leave: bool) -> Attempt<'a> {
        let Self { state, request, attempts, timing, begin, run } = self;
        Attempt { state, request, attempts, slot, timing, begin, run, may_leave }
    }

    /// Decides what follows a failed attempt on `chain`, or why nothing does.
    fn after_failure(&self, chain: Chain, failure: Failure) -> Result<Next, Reason> {
        let (state, request) = (self.state, self.request);
        if failure == Failure::NoMemory {
            return Err(Reason::NoMemory);
        }
        if !self.attempts.may_retry(&request.route, failure) {
            return Err(Reason::Failed);
        }
        let caution = crash::caution(state, request, self.begin.get());
        if !failure.is_not_run() && caution == Caution::Stopped {
            return Err(Reason::Quarantined);
        }
        let pass = state.take_retry(&request.service).ok_or(Reason::NoBudget)?;
        let until = (state.now() + MAX_RESUME_WAIT).min(request.deadline);
        Ok(Next::Wait { failed: Some(chain.key), until, pass })
    }

    async fn give_up(&self, writer: &mut Writer, reason: Reason) -> io::Result<()> {
        give_up(self.state, self.request, writer, reason, !self.attempts.may_have_run).await
    }

    /// Records, logs and counts a failed attempt that was sent at `sent`, and examines whether it crashed
    /// its endpoint.
    async fn record_failure(&mut self, chain: &Chain, failure: Failure, sent: Instant) {
        let (id, head) = (self.request.id(), chain.head().as_str());
        let took_ms = self.state.now().since(sent).as_millis() as u64;
        let waited_ms = sent.since(self.request.arrived).as_millis() as u64;
        let writing = self.begin.get().map(|b| self.state.now().since(b.first_event_at));
        let writing_ms = writing.map_or(0, |time| time.as_millis() as u64);
        let parts = self.request.parameters.shared_parts.iter().map(Part::to_string);
        let parts = parts.collect::<Vec<_>>().join(",");
        log::info!(
            id, fingerprint:% = self.request.fingerprint, head, waited_ms, took_ms, failure:?, writing_ms,
            parts = parts.as_str();
            "attempt failed"
        );
        Metrics::count(&self.state.metrics.failures, failure.as_str());
        self.attempts.record(chain.head(), failure);
        let run = self.run.take();
        let begin = self.begin.get();
        if crash::examine(self.state, self.request, run, failure, begin).await {
            self.attempts.record_crash(chain.head());
        }
    }

    /// Records, logs and counts a request whose response has been forwarded completely; its last attempt
    /// was sent at `sent`.
    fn finish(&self, chain: &Chain, sent: Instant) {
        let (now, arrived) = (self.state.now(), self.request.arrived);
        let (id, head) = (self.request.id(), chain.head().as_str());
        let took_ms = now.since(sent).as_millis() as u64;
        let waited_ms = sent.since(arrived).as_millis() as u64;
        let first_ms = self.timing.first_event_after(arrived).as_millis() as u64;
        let pause_ms = self.timing.longest_pause().as_millis() as u64;
        log::info!(id, head, waited_ms, first_ms, pause_ms, took_ms; "served");
        self.state.metrics.served.inc();
        Metrics::time(&self.state.metrics.answer, now.since(arrived));
        if let Some(begin) = self.begin.get() {
            crash::record_complete(self.state, self.request, self.run.take(), chain, begin);
        }
    }
}
