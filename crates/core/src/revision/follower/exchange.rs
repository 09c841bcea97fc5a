//! The exchange with peers: numbers, heads and documents.

use std::time::Duration;

use super::candidate::Candidate;
use super::dice::Dice;
use super::{Effect, FETCH_LIMIT, Follower, Origin, Role, Turn};
use crate::name;
use crate::revision::{Hash, Message};
use crate::time::Instant;

/// Numbers are exchanged with one entry after a time between these.
const EXCHANGE_SHORTEST: Duration = Duration::from_millis(2500);
const EXCHANGE_LONGEST: Duration = Duration::from_secs(5);

/// The same, as long as the process has no revision.
const START_EXCHANGE: Duration = Duration::from_secs(1);

/// Spread of the fetches of a new head, so that one entry does not serve them all.
const FETCH_SPREAD: Duration = Duration::from_secs(1);

/// The same for a process that has no revision; well below the time for which it waits for a peer
/// to contradict the key-value service.
const START_FETCH_SPREAD: Duration = Duration::from_millis(200);

/// Entries to which a process without a revision tells so at once.
const START_PARTNERS: usize = 3;

/// Time after which a head that was asked of a peer is asked of another.
const HEAD_DEADLINE: Duration = Duration::from_secs(2);

/// Most bytes of documents that one request is answered with.
const SERVE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// When numbers are exchanged and heads fetched.
pub(super) struct Schedule {
    exchange_at: Instant,
    fetch_at: Option<Instant>,
    asked: Option<name::Host>,
}

impl Schedule {
    pub(super) fn new(now: Instant, dice: &mut Dice) -> Self {
        let exchange_at = now + dice.between(Duration::ZERO, START_EXCHANGE / 4);
        Self { exchange_at, fetch_at: None, asked: None }
    }

    pub(super) fn wake(&self) -> Instant {
        self.fetch_at.map_or(self.exchange_at, |at| at.min(self.exchange_at))
    }
}

impl Follower {
    pub(super) fn connected(&mut self, turn: &mut Turn, host: name::Host) {
        self.peers.up(host.clone());
        self.tell(turn, host);
    }

    /// Tells a peer the number of the revision in force.
    pub(super) fn tell(&mut self, turn: &mut Turn, host: name::Host) {
        self.peers.tell(&host, turn.now);
        turn.effects.push(Effect::Send(host, Message::Number(self.number())));
    }

    pub(super) fn receive(&mut self, turn: &mut Turn, host: name::Host, message: Message) {
        match message {
            Message::Number(number) => self.receive_number(turn, host, number),
            Message::FetchHead => {
                if let Some(current) = &self.current {
                    let head = (*current.head).clone();
                    turn.effects.push(Effect::Send(host, Message::Head(head)));
                }
            }
            Message::Head(head) => {
                self.peers.set_number(&host, head.number, turn.now);
                self.exchange.asked = None;
                self.consider(turn, head, Origin::Peer(host));
            }
            Message::Fetch(hashes) => self.serve(turn, &host, &hashes),
            Message::Document(hash, bytes) => self.put(hash, bytes),
        }
    }

    fn receive_number(&mut self, turn: &mut Turn, host: name::Host, number: u64) {
        self.peers.set_number(&host, number, turn.now);
        let own = self.number();
        if number > self.known() && !self.refused.announced(&host, number, turn.now) {
            let spread = if own > 0 { FETCH_SPREAD } else { START_FETCH_SPREAD };
            let at = turn.now + turn.dice.between(Duration::ZERO, spread);
            self.exchange.fetch_at.get_or_insert(at);
        }
        // An equal number is answered too: it shows a side that it need not call the service.
        let equal = number == own && own > 0 && !self.peers.was_told(&host, turn.now);
        if number < own || equal {
            self.tell(turn, host);
        }
    }

    /// Number of the latest revision that is in force, or being fetched.
    ///
    /// As long as none is in force, a head of the key-value service does not count: peers may have
    /// a revision in force that it leaves out, and whose number is smaller.
    fn known(&self) -> u64 {
        let unconfirmed = |c: &&Candidate| self.current.is_none() && c.origin == Origin::Service;
        let candidate = self.candidate.as_ref().filter(|c| !unconfirmed(c));
        candidate.map_or(0, |c| c.head.number).max(self.number())
    }

    fn serve(&self, turn: &mut Turn, host: &name::Host, hashes: &[Hash]) {
        let mut left = SERVE_LIMIT_BYTES;
        for hash in hashes.iter().take(FETCH_LIMIT) {
            let current = self.current.as_ref().and_then(|c| c.documents.get(hash));
            let part = || self.candidate.as_ref().and_then(|c| c.part(hash));
            let Some(bytes) = current.or_else(part) else {
                continue;
            };
            if bytes.len() > left {
                return;
            }
            left -= bytes.len();
            let document = Message::Document(*hash, bytes.to_vec());
            turn.effects.push(Effect::Send(host.clone(), document));
        }
    }

    /// Asks a peer that is ahead for its head.
    pub(super) fn fetch_head(&mut self, turn: &mut Turn) {
        if self.exchange.fetch_at.is_none_or(|at| turn.now < at) {
            return;
        }
        if let Some(silent) = self.exchange.asked.take() {
            self.counts.peer_timeouts += 1;
            self.peers.forget_number(&silent);
        }
        let mut ahead = self.peers.holders(self.known() + 1, &self.refused, turn.now);
        let Some(host) = turn.dice.take(&mut ahead) else {
            self.exchange.fetch_at = None;
            return;
        };
        self.exchange.fetch_at = Some(turn.now + HEAD_DEADLINE);
        self.exchange.asked = Some(host.clone());
        turn.effects.push(Effect::Send(host, Message::FetchHead));
    }

    /// Tells an entry this process's number; it answers unless its own is older.
    pub(super) fn exchange_numbers(&mut self, turn: &mut Turn) {
        if turn.now < self.exchange.exchange_at {
            return;
        }
        let (low, high, count) = match self.current {
            Some(_) => (EXCHANGE_SHORTEST, EXCHANGE_LONGEST, 1),
            None => (START_EXCHANGE / 2, START_EXCHANGE, START_PARTNERS),
        };
        self.exchange.exchange_at = turn.now + turn.dice.between(low, high);
        let mut partners = self.peers.partners();
        for _ in 0..count {
            if let Some(host) = turn.dice.take(&mut partners) {
                self.tell(turn, host);
            }
        }
    }

    /// Asks for documents that the candidate lacks: a side of peers first, an entry of where the
    /// head came from.
    pub(super) fn fetch_documents(&mut self, turn: &mut Turn) {
        let side = self.service.role() == Role::Side;
        let Some(candidate) = self.candidate.as_mut().filter(|c| c.wants()) else {
            return;
        };
        // A side leaves entries the time to fetch them first.
        if side && turn.now < candidate.not_before {
            return;
        }
        let first = candidate.origin == Origin::Service && !side;
        let by_service = first != candidate.alternates();
        let mut holders = self.peers.holders(candidate.head.number, &self.refused, turn.now);
        let host = turn.dice.take(&mut holders);
        match host.filter(|_| !by_service || !self.service.idle()) {
            Some(host) => {
                let hashes = candidate.ask(FETCH_LIMIT, turn.now);
                turn.effects.push(Effect::Send(host, Message::Fetch(hashes)));
            }
            None if self.service.idle() => {
                let hashes = candidate.ask(self.service.batch(), turn.now);
                candidate.wait_for_service();
                self.service.called(turn.now);
                self.counts.reads += 1;
                turn.effects.push(Effect::Read(hashes));
            }
            None => drop(candidate.ask(0, turn.now)),
        }
    }
}
