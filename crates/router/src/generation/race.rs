//! Runs an attempt while the response of an earlier one is kept: whichever has an event first goes on.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

use bytes::Bytes;
use oriole_adapter::exchange::{Error, Response};
use oriole_core::forward::chain::Chain;
use oriole_core::forward::event::{self, Batch, Splitter};
use oriole_core::forward::quarantine::Begin;

use super::Slot;
use super::attempt::Outcome;

/// The response of a chain that was left for another one because a stage was silent.
///
/// Its stages may go on, and the other chain may fail. Dropping it ends the request on its chain.
pub struct Suspended {
    /// The chain of the response.
    pub chain: Chain,
    /// Capacity on the chain.
    pub slot: Slot,
    /// The response, without what has been forwarded.
    pub response: Response,
    /// Events that have been read of the response and not been forwarded, or why what was read is none.
    pub unread: Option<Result<Batch, event::Error>>,
    /// Events of the response so far.
    pub splitter: Splitter,
}

/// How a race ended.
pub enum Race {
    /// The attempt ended. The earlier response is returned unless the attempt had an event, or the
    /// response itself failed.
    Ended(Outcome, Option<Box<Suspended>>),
    /// The earlier response went on before the attempt had an event.
    Earlier(Box<Suspended>),
}

/// Which part of a race moved first.
enum Step {
    Ended(Outcome),
    Begun,
    Earlier(Result<Option<Bytes>, Error>),
}

/// Runs `attempt`, which sets `begin` at its first event, beside an earlier response.
pub async fn run(
    attempt: impl Future<Output = Outcome>,
    begin: &Cell<Option<Begin>>,
    earlier: Option<Box<Suspended>>,
) -> Race {
    let mut attempt = pin!(attempt);
    let Some(mut earlier) = earlier else {
        return Race::Ended(attempt.await, None);
    };
    loop {
        let step = {
            let mut next = pin!(earlier.response.body.next());
            poll_fn(|context| {
                if let Poll::Ready(outcome) = attempt.as_mut().poll(context) {
                    return Poll::Ready(Step::Ended(outcome));
                }
                if begin.get().is_some() {
                    return Poll::Ready(Step::Begun);
                }
                next.as_mut().poll(context).map(Step::Earlier)
            })
            .await
        };
        match step {
            Step::Ended(outcome) => {
                let is_kept = begin.get().is_none();
                return Race::Ended(outcome, is_kept.then_some(earlier));
            }
            Step::Earlier(Ok(Some(bytes))) if !earlier.has_event(&bytes) => {}
            Step::Earlier(Ok(Some(_))) => return Race::Earlier(earlier),
            // The body tells of its end again.
            Step::Earlier(Ok(None)) => return Race::Earlier(earlier),
            Step::Begun | Step::Earlier(Err(_)) => {
                drop(earlier);
                return Race::Ended(attempt.await, None);
            }
        }
    }
}

impl Suspended {
    /// Splits further bytes, and returns whether there is an event in them, which is kept, or what cannot become
    /// one. Comments are dropped: they show that a connection is open, which the caller's is anyway.
    fn has_event(&mut self, bytes: &[u8]) -> bool {
        let events = self.splitter.push(bytes);
        if events.as_ref().is_ok_and(|events| events.count == 0) {
            return false;
        }
        self.unread = Some(events);
        true
    }
}
