//! Keeps one process up to date with the revisions of the configuration.
//!
//! `oriole_core::revision::follower` decides what to do, without I/O. [`Follow`] carries its
//! effects out: it calls the key-value service in separate tasks and sends messages over the
//! process's connections. Entries and sides both use it.

pub mod daemon;
mod source;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use oriole_adapter::kv;
use oriole_core::message::Message;
use oriole_core::name;
use oriole_core::revision::follower::{Availability, Effect, Event, Follower, Reply, Role};
use oriole_core::revision::{Snapshot, follower};
use oriole_core::time::Instant;
use oriole_wire::Hub;
use tokio::sync::mpsc;

pub use source::{Error, Source};

/// Inputs of [`Follow::new`].
pub struct Setup {
    /// Host that the process runs for.
    pub host: name::Host,
    /// Role of the process.
    pub role: Role,
    /// Addresses at which entries listen, used until the process has a configuration.
    pub seeds: BTreeMap<name::Host, SocketAddr>,
    /// Settings of the key-value service; `None` if the process must not call it.
    pub kv: Option<kv::Settings>,
}

/// Obtains new revisions for one process and reports which one to put in force.
pub struct Follow {
    follower: Follower,
    /// Addresses at which entries listen: those of the revision in force, or of the settings if
    /// there is none yet.
    entries: BTreeMap<name::Host, SocketAddr>,
    documents: Option<Rc<kv::Documents>>,
    replies: mpsc::UnboundedSender<Event>,
    hub: Hub,
}

impl Follow {
    /// Starts without a revision.
    ///
    /// The caller must pass the events of the returned receiver to [`Follow::handle`].
    pub fn new(setup: Setup, hub: Hub, now: Instant) -> (Self, mpsc::UnboundedReceiver<Event>) {
        let seeds = setup.seeds.keys().cloned().collect();
        let settings = follower::Settings { host: setup.host, role: setup.role, seeds };
        let (replies, receiver) = mpsc::unbounded_channel();
        let documents =
            setup.kv.map(|settings| Rc::new(kv::Documents::new(kv::Client::new(settings))));
        let follow = Self {
            follower: Follower::new(settings, now, rand::random()),
            entries: setup.seeds,
            documents,
            replies,
            hub,
        };
        (follow, receiver)
    }

    /// Processes an event and returns the revision to put in force, if there is a new one.
    pub fn handle(&mut self, now: Instant, event: Event) -> Option<Snapshot> {
        let mut adopted = None;
        for effect in self.follower.handle(now, rand::random(), event) {
            match effect {
                Effect::Send(host, message) => self.send(&host, Message::Revision(message)),
                call @ (Effect::Poll { .. } | Effect::Read(_)) => self.spawn_call(call),
                Effect::Adopt(revision) => adopted = Some(revision),
            }
        }
        if let Some(revision) = &adopted {
            let entries = revision.config.entries.iter();
            self.entries = entries.map(|(host, entry)| (host.clone(), entry.address)).collect();
            log::info!(revision = revision.head.number; "a revision is in force");
        }
        adopted
    }

    /// Processes the passing of time, if a timer is due, and returns the revision to put in force,
    /// if there is a new one.
    pub fn tick(&mut self, now: Instant) -> Option<Snapshot> {
        if now < self.follower.wake() { None } else { self.handle(now, Event::Tick) }
    }

    /// Returns the underlying state machine, for status and counters.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Returns whether the key-value service can be reached, as this process sees it.
    pub fn availability(&self) -> Availability {
        self.follower.availability()
    }

    /// Returns the number of the revision in force, 0 if there is none.
    pub fn number(&self) -> u64 {
        self.follower.number()
    }

    /// Spawns a task that calls the key-value service and queues its reply as an event.
    fn spawn_call(&self, effect: Effect) {
        let replies = self.replies.clone();
        let documents = self.documents.clone();
        actix_rt::spawn(async move {
            let reply = match documents {
                Some(documents) => documents.carry_out(&effect).await,
                None => None,
            };
            // The receiver is gone if the process is stopping.
            let _ = replies.send(Event::Kv(reply.unwrap_or(Reply::Failed)));
        });
    }

    fn send(&self, host: &name::Host, message: Message) {
        // A message that cannot be sent may be dropped; the follower repeats it periodically.
        self.hub.send(host, self.entries.get(host).copied(), message);
    }
}
