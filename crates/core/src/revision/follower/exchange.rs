//! The exchange of revision numbers, heads and documents with peers.

use std::time::Duration;

use super::candidate::Candidate;
use super::rng::Rng;
use super::{Context, Effect, FETCH_LIMIT_DOCUMENTS, Follower, Origin, Role};
use crate::name;
use crate::revision::{Hash, Message};
use crate::time::Instant;

/// Bounds of the random interval at which the process sends its revision number to an entry.
const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_millis(2500);
const EXCHANGE_INTERVAL_MAX: Duration = Duration::from_secs(5);

/// Longest exchange interval of a process without a revision; the shortest is half of it.
const START_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest random delay before a new head is fetched, so that one entry does not serve all
/// processes.
const FETCH_JITTER: Duration = Duration::from_secs(1);

/// Longest delay for a process without a revision; well below [`super::BOOTSTRAP_WAIT`], within
/// which a peer's head has to arrive.
const START_FETCH_JITTER: Duration = Duration::from_millis(200);

/// Entries to which a process without a revision sends its number in each exchange.
const START_EXCHANGE_PEERS: usize = 3;

/// Time after which a head that a peer has not sent is requested from another one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Most document bytes in the answer to one request.
const RESPONSE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// The schedule of number exchanges and head fetches.
pub(super) struct Schedule {
    exchange_at: Instant,
    fetch_at: Option<Instant>,
    /// The peer whose head was requested and has not arrived.
    awaited: Option<name::Host>,
}

impl Schedule {
    pub(super) fn new(now: Instant, rng: &mut Rng) -> Self {
        let exchange_at = now + rng.between(Duration::ZERO, START_EXCHANGE_INTERVAL / 4);
        Self { exchange_at, fetch_at: None, awaited: None }
    }

    pub(super) fn wake(&self) -> Instant {
        self.fetch_at.map_or(self.exchange_at, |at| at.min(self.exchange_at))
    }
}

impl Follower {
    pub(super) fn handle_connected(&mut self, cx: &mut Context, host: name::Host) {
        self.peers.connect(host.clone());
        self.send_number(cx, host);
    }

    /// Sends the number of the active revision to a peer.
    pub(super) fn send_number(&mut self, cx: &mut Context, host: name::Host) {
        self.peers.record_sent(&host, cx.now);
        cx.effects.push(Effect::Send(host, Message::Number(self.number())));
    }

    pub(super) fn handle_message(&mut self, cx: &mut Context, host: name::Host, message: Message) {
        match message {
            Message::Number(number) => self.handle_number(cx, host, number),
            Message::FetchHead => {
                if let Some(current) = &self.current {
                    let head = (*current.head).clone();
                    cx.effects.push(Effect::Send(host, Message::Head(head)));
                }
            }
            Message::Head(head) => {
                self.peers.set_number(&host, head.number, cx.now);
                self.exchange.awaited = None;
                self.evaluate(cx, head, Origin::Peer(host));
            }
            Message::Fetch(hashes) => self.send_documents(cx, &host, &hashes),
            Message::Document(hash, bytes) => self.insert_document(hash, bytes),
        }
    }

    fn handle_number(&mut self, cx: &mut Context, host: name::Host, number: u64) {
        self.peers.set_number(&host, number, cx.now);
        let own = self.number();
        if number > self.latest_number() && !self.refused.contains_announced(&host, number, cx.now)
        {
            let jitter = if own > 0 { FETCH_JITTER } else { START_FETCH_JITTER };
            let at = cx.now + cx.rng.between(Duration::ZERO, jitter);
            self.exchange.fetch_at.get_or_insert(at);
        }
        // An equal number is answered too: it shows a side that it need not call the key-value
        // service.
        let equal = number == own && own > 0 && !self.peers.sent_recently(&host, cx.now);
        if number < own || equal {
            self.send_number(cx, host);
        }
    }

    /// Returns the number of the latest revision that is active or being fetched.
    ///
    /// While none is active, a head from the key-value service does not count: the active revision
    /// of a peer may contain changes that this head lacks and still have a smaller number.
    fn latest_number(&self) -> u64 {
        let unconfirmed = |c: &&Candidate| self.current.is_none() && c.origin == Origin::Kv;
        let candidate = self.candidate.as_ref().filter(|c| !unconfirmed(c));
        candidate.map_or(0, |c| c.head.number).max(self.number())
    }

    fn send_documents(&self, cx: &mut Context, host: &name::Host, hashes: &[Hash]) {
        let mut remaining = RESPONSE_LIMIT_BYTES;
        for hash in hashes.iter().take(FETCH_LIMIT_DOCUMENTS) {
            let current = self.current.as_ref().and_then(|c| c.documents.get(hash));
            let fetched = || self.candidate.as_ref().and_then(|c| c.document(hash));
            let Some(bytes) = current.or_else(fetched) else {
                continue;
            };
            if bytes.len() > remaining {
                return;
            }
            remaining -= bytes.len();
            let document = Message::Document(*hash, bytes.to_vec());
            cx.effects.push(Effect::Send(host.clone(), document));
        }
    }

    /// Requests the head from a peer that is ahead, if a fetch is due.
    pub(super) fn fetch_head(&mut self, cx: &mut Context) {
        if self.exchange.fetch_at.is_none_or(|at| cx.now < at) {
            return;
        }
        if let Some(unresponsive) = self.exchange.awaited.take() {
            self.counts.peer_timeouts += 1;
            self.peers.forget_number(&unresponsive);
        }
        let mut ahead = self.peers.holders(self.latest_number() + 1, &self.refused, cx.now);
        let Some(host) = cx.rng.pick(&mut ahead) else {
            self.exchange.fetch_at = None;
            return;
        };
        self.exchange.fetch_at = Some(cx.now + HEAD_TIMEOUT);
        self.exchange.awaited = Some(host.clone());
        cx.effects.push(Effect::Send(host, Message::FetchHead));
    }

    /// Sends this process's number to random entries, if an exchange is due. An entry answers
    /// unless its own number is lower.
    pub(super) fn exchange_numbers(&mut self, cx: &mut Context) {
        if cx.now < self.exchange.exchange_at {
            return;
        }
        let (low, high, count) = match self.current {
            Some(_) => (EXCHANGE_INTERVAL_MIN, EXCHANGE_INTERVAL_MAX, 1),
            None => (START_EXCHANGE_INTERVAL / 2, START_EXCHANGE_INTERVAL, START_EXCHANGE_PEERS),
        };
        self.exchange.exchange_at = cx.now + cx.rng.between(low, high);
        let mut peers = self.peers.exchange_peers();
        for _ in 0..count {
            if let Some(host) = cx.rng.pick(&mut peers) {
                self.send_number(cx, host);
            }
        }
    }

    /// Requests documents that the candidate lacks. A side requests them from peers first, an entry
    /// from the source of the head.
    pub(super) fn fetch_documents(&mut self, cx: &mut Context) {
        let is_side = self.kv.role() == Role::Side;
        let Some(candidate) = self.candidate.as_mut().filter(|c| c.needs_request()) else {
            return;
        };
        // Leaves entries time to fetch the documents first, so that the sides get them from entries
        // and not from the key-value service.
        if is_side && cx.now < candidate.not_before {
            return;
        }
        let first = candidate.origin == Origin::Kv && !is_side;
        let use_kv = first != candidate.uses_alternate();
        let mut holders = self.peers.holders(candidate.head.number, &self.refused, cx.now);
        let host = cx.rng.pick(&mut holders);
        match host.filter(|_| !use_kv || !self.kv.is_idle()) {
            Some(host) => {
                let hashes = candidate.request(FETCH_LIMIT_DOCUMENTS, cx.now);
                cx.effects.push(Effect::Send(host, Message::Fetch(hashes)));
            }
            None if self.kv.is_idle() => {
                let hashes = candidate.request(self.kv.batch_size(), cx.now);
                candidate.await_kv();
                self.kv.record_call(cx.now);
                self.counts.reads += 1;
                cx.effects.push(Effect::Read(hashes));
            }
            None => drop(candidate.request(0, cx.now)),
        }
    }
}
