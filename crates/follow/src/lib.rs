//! Follows the revisions of the configuration for one process.
//!
//! The decisions are `oriole_core::revision::Follower`'s. [`Follow`] carries its effects out: it
//! calls the key-value service in tasks of their own and sends messages over the process's
//! connections. Entries and sides use the same one.

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

/// How one process follows.
pub struct Setup {
    /// The process's host.
    pub host: name::Host,
    /// Its role.
    pub role: Role,
    /// Where entries listen, for a process that has no configuration yet.
    pub seeds: BTreeMap<name::Host, SocketAddr>,
    /// The key-value service, if the process may call it.
    pub kv: Option<kv::Settings>,
}

/// Follows the revisions for one process.
pub struct Follow {
    follower: Follower,
    /// Where entries listen, by the revision in force or else by the settings.
    entries: BTreeMap<name::Host, SocketAddr>,
    documents: Option<Rc<kv::Documents>>,
    replies: mpsc::UnboundedSender<Event>,
    hub: Hub,
}

impl Follow {
    /// Starts without a revision. The receiver gives events to be passed to [`Follow::handle`].
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

    /// Takes an event in; gives the revision that is to be put in force, if there is a new one.
    pub fn handle(&mut self, now: Instant, event: Event) -> Option<Snapshot> {
        let mut adopted = None;
        for effect in self.follower.handle(now, rand::random(), event) {
            match effect {
                Effect::Send(host, message) => self.send(&host, Message::Revision(message)),
                call @ (Effect::Poll { .. } | Effect::Read(_)) => self.call(call),
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

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) -> Option<Snapshot> {
        if now < self.follower.wake() { None } else { self.handle(now, Event::Tick) }
    }

    /// The decisions, for status and counters.
    pub fn follower(&self) -> &Follower {
        &self.follower
    }

    /// Whether the key-value service can be reached, as this process sees it.
    pub fn availability(&self) -> Availability {
        self.follower.availability()
    }

    /// Number of the revision in force, 0 if there is none.
    pub fn number(&self) -> u64 {
        self.follower.number()
    }

    /// Calls the key-value service in a task of its own.
    fn call(&self, effect: Effect) {
        let replies = self.replies.clone();
        let documents = self.documents.clone();
        actix_rt::spawn(async move {
            let reply = match documents {
                Some(documents) => documents.carry_out(&effect).await,
                None => None,
            };
            // The process may have stopped meanwhile.
            let _ = replies.send(Event::Kv(reply.unwrap_or(Reply::Failed)));
        });
    }

    fn send(&self, host: &name::Host, message: Message) {
        // A message that cannot be sent may be dropped: it is sent again in the next round.
        self.hub.send(host, self.entries.get(host).copied(), message);
    }
}
