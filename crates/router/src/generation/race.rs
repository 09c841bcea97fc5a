//! Runs an attempt while the response of an earlier one is kept: whichever has an event first goes on.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use oriole_adapter::exchange::{Error, Response};
use oriole_core::forward::chain::Chain;
use oriole_core::forward::event::Splitter;
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
    /// What has been read of the response and not been forwarded; `None` in it is its end.
    pub unread: Option<Option<Bytes>>,
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
            Step::Earlier(Ok(None)) => {
                // What was read before its end is yet to be forwarded; the body tells of its end again.
                earlier.unread.get_or_insert(None);
                return Race::Earlier(earlier);
            }
            Step::Begun | Step::Earlier(Err(_)) => {
                drop(earlier);
                return Race::Ended(attempt.await, None);
            }
        }
    }
}

impl Suspended {
    /// Keeps bytes that have been read, and returns whether there is an event in all that is kept, or what
    /// cannot become one.
    fn has_event(&mut self, bytes: &[u8]) -> bool {
        let mut kept = BytesMut::from(self.unread.take().flatten().unwrap_or_default());
        kept.extend_from_slice(bytes);
        let kept = kept.freeze();
        let events = self.splitter.clone().push(&kept);
        self.unread = Some(Some(kept));
        events.map_or(true, |events| events.count > 0)
    }
}
