//! How a process obtains revisions from the key-value service and from its peers.
//!
//! Only entries poll the key-value service regularly, at a rate that all entries share. A process
//! announces a revision to its connected peers when it adopts it. In addition, every process
//! exchanges revision numbers with a random entry every few seconds. A process that is behind
//! fetches the head and the missing documents from a peer. A side calls the key-value service only
//! if it has not heard from a peer that has a revision. `docs/design/revisions.md` derives the
//! rates.
//!
//! A revision is adopted, which means that it comes into force as the process's active revision,
//! only if it is complete and valid and contains all changes of the active one, as far as the
//! listed changes show.
//!
//! # Wiring
//!
//! One task of the process owns the follower. It passes in connections of peers, their
//! [`Message`](super::Message)s, replies of the key-value service, and an [`Event::Tick`] no later
//! than [`Follower::wake`], each with the present time and a random number. It carries out the
//! returned effects:
//!
//! - [`Effect::Poll`] and [`Effect::Read`]: call the adapter (`oriole_adapter::kv::Documents`) in
//!   a separate task and pass its reply in as [`Event::Kv`]. At most one such call is in progress
//!   at a time, and it must end within [`CALL_TIMEOUT`].
//! - [`Effect::Send`]: send over the hub. The address of a seed is in the settings, that of any
//!   other entry in the active configuration. A message that cannot be sent may be dropped.
//! - [`Effect::Adopt`]: activate the configuration. Stop using the old one before using the new
//!   one.

mod candidate;
mod event;
mod exchange;
mod kv;
mod peers;
mod rng;

use std::time::Duration;

use self::candidate::Candidate;
pub use self::event::{
    Availability, CALL_TIMEOUT, Counts, Effect, Event, Reply, Role, Settings, Version,
};
use self::kv::Calls;
use self::peers::{Peers, Refused};
use self::rng::Rng;
use super::{Head, HeadError, Relation, Snapshot, SnapshotError};
use crate::name;
use crate::time::Instant;

/// Time for which a process without a revision delays adopting a head from the key-value service,
/// so that a peer can announce a different one.
const BOOTSTRAP_WAIT: Duration = Duration::from_secs(2);

/// Most documents in one request to a peer.
const FETCH_LIMIT_DOCUMENTS: usize = 64;

/// The source of a head.
#[derive(Clone, Debug, PartialEq)]
enum Origin {
    Kv,
    Peer(name::Host),
}

/// Keeps one process at the latest revision.
pub struct Follower {
    current: Option<Snapshot>,
    candidate: Option<Candidate>,
    peers: Peers,
    kv: Calls,
    refused: Refused,
    exchange: exchange::Schedule,
    counts: Counts,
}

/// What the handling of one event needs: the present time, random numbers and the effects so far.
struct Context {
    now: Instant,
    rng: Rng,
    effects: Vec<Effect>,
}

impl Follower {
    /// Creates a follower without a revision. `random` is any random number.
    pub fn new(settings: Settings, now: Instant, random: u64) -> Self {
        let mut rng = Rng::new(random);
        Self {
            current: None,
            candidate: None,
            kv: Calls::new(settings.role, now, &mut rng),
            peers: Peers::new(settings.host, settings.seeds, now),
            refused: Refused::default(),
            exchange: exchange::Schedule::new(now, &mut rng),
            counts: Counts::default(),
        }
    }

    /// Sets the active revision, for a process that starts with one.
    pub fn with_revision(mut self, snapshot: Snapshot) -> Self {
        self.peers.set_entries(&snapshot);
        self.current = Some(snapshot);
        self
    }

    /// Returns the active revision, `None` if the process has none yet.
    pub fn current(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// Returns the number of the active revision, 0 if there is none.
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.head.number)
    }

    /// Returns whether the key-value service answers and is up to date.
    pub fn availability(&self) -> Availability {
        match (self.kv.reachable, self.kv.set_back) {
            (None, _) => Availability::Unused,
            (Some(false), _) => Availability::Down,
            (Some(true), true) => Availability::SetBack,
            (Some(true), false) => Availability::Up,
        }
    }

    /// Returns the event counters since the process started.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the latest time at which the next [`Event::Tick`] is due.
    pub fn wake(&self) -> Instant {
        let kv = self.kv.wake(self.peers.last_heard);
        let candidate = self.candidate.as_ref().map(Candidate::wake);
        let times = [Some(self.exchange.wake()), candidate];
        times.into_iter().flatten().fold(kv, Instant::min)
    }

    /// Handles an event and returns the effects to carry out. `random` is any random number.
    pub fn handle(&mut self, now: Instant, random: u64, event: Event) -> Vec<Effect> {
        let mut cx = Context { now, rng: Rng::new(random), effects: Vec::new() };
        match event {
            Event::Tick => {}
            Event::Connected(host) => self.handle_connected(&mut cx, host),
            Event::Disconnected(host) => self.peers.disconnect(&host),
            Event::Message(host, message) => self.handle_message(&mut cx, host, message),
            Event::Kv(reply) => self.handle_reply(&mut cx, reply),
        }
        self.advance(&mut cx);
        cx.effects
    }

    /// Carries out all actions that are due.
    fn advance(&mut self, cx: &mut Context) {
        if self.kv.is_overdue(cx.now) {
            self.handle_reply(cx, Reply::Failed);
        }
        self.expire_requests(cx);
        self.adopt(cx);
        self.fetch_documents(cx);
        self.fetch_head(cx);
        self.exchange_numbers(cx);
        if self.kv.is_poll_due(cx.now, self.peers.last_heard) {
            let known = self.kv.version;
            self.kv.record_call(cx.now);
            self.kv.schedule_poll(cx.now, self.peers.entry_count(), &mut cx.rng);
            self.counts.polls += 1;
            cx.effects.push(Effect::Poll { known });
        }
    }

    fn handle_reply(&mut self, cx: &mut Context, reply: Reply) {
        if self.kv.is_idle() {
            return;
        }
        if matches!(reply, Reply::Failed) {
            self.counts.service_failures += 1;
            self.kv.record_failure();
            self.kv.schedule_poll(cx.now, self.peers.entry_count(), &mut cx.rng);
            if let Some(candidate) = self.candidate.as_mut().filter(|c| c.awaits_kv()) {
                candidate.record_failure();
            }
            return;
        }
        self.kv.record_answer();
        match reply {
            Reply::Unchanged | Reply::Failed => {}
            Reply::Absent => self.handle_absent_head(),
            Reply::Head(version, bytes) => self.handle_head(cx, version, &bytes),
            Reply::Documents(documents) => self.handle_documents(documents),
        }
    }

    /// Records that the key-value service holds no head. If this process has a revision, the
    /// service has lost its contents.
    fn handle_absent_head(&mut self) {
        self.kv.version = None;
        if self.current.is_some() {
            self.kv.set_back = true;
            self.counts.set_back += 1;
        }
    }

    fn handle_head(&mut self, cx: &mut Context, version: Version, bytes: &[u8]) {
        self.kv.version = Some(version);
        match Head::decode(bytes) {
            Ok(head) => self.evaluate(cx, head, Origin::Kv),
            Err(e) => self.count_head_error(e),
        }
    }

    fn count_head_error(&mut self, e: HeadError) {
        match e {
            HeadError::Oversized => self.counts.oversized += 1,
            _ => self.counts.corrupt += 1,
        }
    }

    fn handle_documents(&mut self, documents: Vec<(super::Hash, Vec<u8>)>) {
        for (hash, bytes) in documents {
            self.insert_document(hash, bytes);
        }
        if let Some(candidate) = self.candidate.as_mut().filter(|c| c.awaits_kv()) {
            candidate.record_failure();
        }
    }

    /// Adds a received document to the candidate.
    fn insert_document(&mut self, hash: super::Hash, bytes: Vec<u8>) {
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        match candidate.insert(hash, bytes) {
            Ok(()) => {}
            Err(SnapshotError::Oversized) => self.counts.oversized += 1,
            Err(_) => self.counts.corrupt += 1,
        }
    }

    /// Makes a received head the candidate if it may be adopted.
    fn evaluate(&mut self, cx: &mut Context, head: Head, origin: Origin) {
        if let Err(e) = head.check() {
            return self.count_head_error(e);
        }
        if self.refused.contains_head(&head.hash(), cx.now) {
            return self.refused.insert_holder(&head, &origin, cx.now);
        }
        if !self.supersedes_current(cx, &head, &origin)
            || !self.supersedes_candidate(&head, &origin)
        {
            return;
        }
        let wait = self.current.is_none() && origin == Origin::Kv;
        let mut candidate = Candidate::new(head, origin, self.current.as_ref());
        if wait {
            candidate.not_before = cx.now + BOOTSTRAP_WAIT;
        }
        self.candidate = Some(candidate);
    }

    /// Returns whether a head may replace the active one.
    fn supersedes_current(&mut self, cx: &Context, head: &Head, origin: &Origin) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let relation = head.relation(&current.head);
        if relation == Relation::Fork {
            self.counts.forks += 1;
            self.refused.insert(head, origin, cx.now);
        }
        if *origin == Origin::Kv {
            self.kv.set_back = matches!(relation, Relation::Older | Relation::Fork);
            self.counts.set_back += u64::from(self.kv.set_back);
        }
        matches!(relation, Relation::Successor | Relation::Unproven)
    }

    /// Returns whether a head is to be fetched in place of the candidate. If the two have diverged,
    /// one from a peer takes precedence over one from the key-value service, since it is active on
    /// at least one process.
    fn supersedes_candidate(&mut self, head: &Head, origin: &Origin) -> bool {
        let Some(candidate) = &self.candidate else {
            return true;
        };
        let relation = head.relation(&candidate.head);
        let from_peer = candidate.origin != Origin::Kv;
        if *origin == Origin::Kv && from_peer {
            let set_back = matches!(relation, Relation::Older | Relation::Fork);
            self.kv.set_back = set_back;
            self.counts.set_back += u64::from(set_back);
        }
        match relation {
            Relation::Successor | Relation::Unproven => true,
            Relation::Same | Relation::Older => false,
            Relation::Fork => {
                self.counts.forks += 1;
                *origin != Origin::Kv && !from_peer
            }
        }
    }

    /// Adopts the candidate if it is complete and valid.
    fn adopt(&mut self, cx: &mut Context) {
        let ready = |c: &mut Candidate| c.is_complete() && cx.now >= c.not_before;
        let Some(candidate) = self.candidate.take_if(ready) else {
            return;
        };
        match candidate.to_snapshot() {
            Ok(snapshot) => self.activate(cx, snapshot),
            Err(_) => {
                self.counts.invalid += 1;
                self.refused.insert(&candidate.head, &candidate.origin, cx.now);
            }
        }
    }

    fn activate(&mut self, cx: &mut Context, snapshot: Snapshot) {
        let unproven = |c: &Snapshot| snapshot.head.relation(&c.head) == Relation::Unproven;
        self.counts.unproven += u64::from(self.current.as_ref().is_some_and(unproven));
        self.counts.adopted += 1;
        self.peers.set_entries(&snapshot);
        self.current = Some(snapshot.clone());
        cx.effects.push(Effect::Adopt(snapshot));
        for host in self.peers.behind(self.number()) {
            self.send_number(cx, host);
        }
    }

    /// Counts requests that were not answered in time, and drops the candidate after too many.
    fn expire_requests(&mut self, cx: &Context) {
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        self.counts.peer_timeouts += u64::from(candidate.expire(cx.now));
        if candidate.is_exhausted() {
            self.counts.incomplete += 1;
            // Makes the next poll return the head again although it has not changed.
            self.kv.version = None;
            self.candidate = None;
        }
    }
}
