//! How a process learns of revisions: from the key-value service, and from its peers.
//!
//! Only entries poll the key-value service, at a rate that all of them share. A process announces
//! a revision to its connected peers when it adopts it, and all exchange numbers with a random
//! entry every few seconds; who is behind fetches the head and the missing documents from a peer.
//! A side calls the key-value service only if it hears of no peer with a revision. The rates are
//! worked out in `docs/design/revisions.md`.
//!
//! A revision is adopted only if it is whole, valid, and contains all changes of the one in force.
//!
//! # Wiring
//!
//! One task of the process owns the follower. It passes in connections and
//! [`Message`](super::Message)s from peers, the answers of the key-value service, and
//! [`Event::Tick`] at [`Follower::wake`] at the latest, each with the present time and a random
//! number, and carries out the effects:
//!
//! - [`Effect::Poll`] and [`Effect::Read`]: call the adapter in a task of its own
//!   (`oriole_adapter::kv::Documents`) and pass its answer in as [`Event::Service`]. There is
//!   never more than one such call, and it ends within [`CALL_TIMEOUT`].
//! - [`Effect::Send`]: send over the hub. The address of a seed stands in the settings, that of
//!   another entry in the configuration in force; a message that cannot be sent may be dropped.
//! - [`Effect::Adopt`]: put the configuration in force, in this order: stop using the old one,
//!   then use the new one.

mod candidate;
mod dice;
mod event;
mod exchange;
mod peers;
mod service;

use std::time::Duration;

use self::candidate::Candidate;
use self::dice::Dice;
pub use self::event::{
    Availability, CALL_TIMEOUT, Counts, Effect, Event, Reply, Role, Settings, Version,
};
use self::peers::{Peers, Refused};
use self::service::Service;
use super::{Adopted, Head, HeadError, Refusal, Relation};
use crate::name;
use crate::time::Instant;

/// Time for which a starting process waits for a peer to contradict the key-value service.
const BOOTSTRAP_WAIT: Duration = Duration::from_secs(2);

/// Most documents that are asked of a peer at once.
const FETCH_LIMIT: usize = 64;

/// Where a head came from.
#[derive(Clone, Debug, PartialEq)]
enum Origin {
    Service,
    Peer(name::Host),
}

/// Follows the revisions for one process.
pub struct Follower {
    current: Option<Adopted>,
    candidate: Option<Candidate>,
    peers: Peers,
    service: Service,
    refused: Refused,
    exchange: exchange::Schedule,
    counts: Counts,
}

/// One event's circumstances.
struct Turn {
    now: Instant,
    dice: Dice,
    effects: Vec<Effect>,
}

impl Follower {
    /// A follower without a revision.
    pub fn new(settings: Settings, now: Instant, random: u64) -> Self {
        let mut dice = Dice::new(random);
        Self {
            current: None,
            candidate: None,
            service: Service::new(settings.role, now, &mut dice),
            peers: Peers::new(settings.host, settings.seeds, now),
            refused: Refused::default(),
            exchange: exchange::Schedule::new(now, &mut dice),
            counts: Counts::default(),
        }
    }

    /// Starts from a revision that is known to be in force.
    pub fn with_revision(mut self, adopted: Adopted) -> Self {
        self.peers.configure(&adopted);
        self.current = Some(adopted);
        self
    }

    /// The revision in force.
    pub fn current(&self) -> Option<&Adopted> {
        self.current.as_ref()
    }

    /// Number of the revision in force, 0 if there is none.
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.head.number)
    }

    /// Whether the key-value service can be reached.
    pub fn availability(&self) -> Availability {
        match (self.service.up, self.service.set_back) {
            (None, _) => Availability::Unused,
            (Some(false), _) => Availability::Down,
            (Some(true), true) => Availability::SetBack,
            (Some(true), false) => Availability::Up,
        }
    }

    /// What happened since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// When [`Event::Tick`] is due at the latest.
    pub fn wake(&self) -> Instant {
        let service = self.service.wake(self.peers.heard);
        let candidate = self.candidate.as_ref().map(Candidate::wake);
        let times = [Some(self.exchange.wake()), candidate];
        times.into_iter().flatten().fold(service, Instant::min)
    }

    /// Takes an event in. `random` is any random number.
    pub fn handle(&mut self, now: Instant, random: u64, event: Event) -> Vec<Effect> {
        let mut turn = Turn { now, dice: Dice::new(random), effects: Vec::new() };
        match event {
            Event::Tick => {}
            Event::Up(host) => self.connected(&mut turn, host),
            Event::Lost(host) => self.peers.lost(&host),
            Event::Message(host, message) => self.receive(&mut turn, host, message),
            Event::Service(reply) => self.answered(&mut turn, reply),
        }
        self.advance(&mut turn);
        turn.effects
    }

    /// Does all that is due.
    fn advance(&mut self, turn: &mut Turn) {
        if self.service.overdue(turn.now) {
            self.answered(turn, Reply::Failed);
        }
        self.expire(turn);
        self.adopt(turn);
        self.fetch_documents(turn);
        self.fetch_head(turn);
        self.exchange_numbers(turn);
        if self.service.poll_due(turn.now, self.peers.heard) {
            let known = self.service.version;
            self.service.called(turn.now);
            self.service.schedule(turn.now, self.peers.entry_count(), &mut turn.dice);
            self.counts.polls += 1;
            turn.effects.push(Effect::Poll { known });
        }
    }

    fn answered(&mut self, turn: &mut Turn, reply: Reply) {
        if self.service.idle() {
            return;
        }
        if matches!(reply, Reply::Failed) {
            self.counts.service_failures += 1;
            self.service.failed();
            self.service.schedule(turn.now, self.peers.entry_count(), &mut turn.dice);
            if let Some(candidate) = self.candidate.as_mut().filter(|c| c.is_at_service()) {
                candidate.fail();
            }
            return;
        }
        self.service.answered();
        match reply {
            Reply::Unchanged | Reply::Failed => {}
            Reply::Absent => self.absent(),
            Reply::Head(version, bytes) => self.read_head(turn, version, &bytes),
            Reply::Documents(documents) => self.read_documents(documents),
        }
    }

    /// A service without a head has lost it if one is in force here.
    fn absent(&mut self) {
        self.service.version = None;
        if self.current.is_some() {
            self.service.set_back = true;
            self.counts.set_back += 1;
        }
    }

    fn read_head(&mut self, turn: &mut Turn, version: Version, bytes: &[u8]) {
        self.service.version = Some(version);
        match Head::decode(bytes) {
            Ok(head) => self.consider(turn, head, Origin::Service),
            Err(e) => self.count_head(e),
        }
    }

    fn count_head(&mut self, e: HeadError) {
        match e {
            HeadError::Oversized => self.counts.oversized += 1,
            _ => self.counts.corrupt += 1,
        }
    }

    fn read_documents(&mut self, documents: Vec<(super::Hash, Vec<u8>)>) {
        for (hash, bytes) in documents {
            self.put(hash, bytes);
        }
        if let Some(candidate) = self.candidate.as_mut().filter(|c| c.is_at_service()) {
            candidate.fail();
        }
    }

    /// Takes a document in for the candidate.
    fn put(&mut self, hash: super::Hash, bytes: Vec<u8>) {
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        match candidate.put(hash, bytes) {
            Ok(()) => {}
            Err(Refusal::Oversized) => self.counts.oversized += 1,
            Err(_) => self.counts.corrupt += 1,
        }
    }

    /// Decides whether a head is to be followed.
    fn consider(&mut self, turn: &mut Turn, head: Head, origin: Origin) {
        if let Err(e) = head.check() {
            return self.count_head(e);
        }
        if self.refused.head(&head.hash(), turn.now) {
            return self.refused.insert_peer(&head, &origin, turn.now);
        }
        if !self.succeeds(turn, &head, &origin) || !self.precedes(&head, &origin) {
            return;
        }
        let wait = self.current.is_none() && origin == Origin::Service;
        let mut candidate = Candidate::new(head, origin, self.current.as_ref());
        if wait {
            candidate.not_before = turn.now + BOOTSTRAP_WAIT;
        }
        self.candidate = Some(candidate);
    }

    /// Whether a head may replace the one in force.
    fn succeeds(&mut self, turn: &Turn, head: &Head, origin: &Origin) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let relation = head.relation(&current.head);
        if relation == Relation::Fork {
            self.counts.forks += 1;
            self.refused.insert(head, origin, turn.now);
        }
        if *origin == Origin::Service {
            self.service.set_back = matches!(relation, Relation::Older | Relation::Fork);
            self.counts.set_back += u64::from(self.service.set_back);
        }
        matches!(relation, Relation::Successor | Relation::Unproven)
    }

    /// Whether a head is to be fetched rather than the candidate. Of two that exclude each other,
    /// the peers' goes first: it is in force somewhere.
    fn precedes(&mut self, head: &Head, origin: &Origin) -> bool {
        let Some(candidate) = &self.candidate else {
            return true;
        };
        let relation = head.relation(&candidate.head);
        let by_peer = candidate.origin != Origin::Service;
        if *origin == Origin::Service && by_peer {
            let set_back = matches!(relation, Relation::Older | Relation::Fork);
            self.service.set_back = set_back;
            self.counts.set_back += u64::from(set_back);
        }
        match relation {
            Relation::Successor | Relation::Unproven => true,
            Relation::Same | Relation::Older => false,
            Relation::Fork => {
                self.counts.forks += 1;
                *origin != Origin::Service && !by_peer
            }
        }
    }

    /// Puts the candidate in force if it is whole and valid.
    fn adopt(&mut self, turn: &mut Turn) {
        let ready = |c: &mut Candidate| c.is_whole() && turn.now >= c.not_before;
        let Some(candidate) = self.candidate.take_if(ready) else {
            return;
        };
        match candidate.adopt() {
            Ok(adopted) => self.put_in_force(turn, adopted),
            Err(_) => {
                self.counts.invalid += 1;
                self.refused.insert(&candidate.head, &candidate.origin, turn.now);
            }
        }
    }

    fn put_in_force(&mut self, turn: &mut Turn, adopted: Adopted) {
        let unproven = |c: &Adopted| adopted.head.relation(&c.head) == Relation::Unproven;
        self.counts.unproven += u64::from(self.current.as_ref().is_some_and(unproven));
        self.counts.adopted += 1;
        self.peers.configure(&adopted);
        self.current = Some(adopted.clone());
        turn.effects.push(Effect::Adopt(adopted));
        for host in self.peers.behind(self.number()) {
            self.tell(turn, host);
        }
    }

    /// Gives up requests that were not answered.
    fn expire(&mut self, turn: &Turn) {
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        self.counts.peer_timeouts += u64::from(candidate.expire(turn.now));
        if candidate.is_exhausted() {
            self.counts.incomplete += 1;
            // The next poll is to return the head again although it has not changed.
            self.service.version = None;
            self.candidate = None;
        }
    }
}
