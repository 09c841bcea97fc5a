//! Follows the revisions of the configuration over the side's connections.

use std::collections::BTreeSet;

use oriole_core::config::Config;
use oriole_core::message::Message;
use oriole_core::name;
use oriole_core::revision::Adopted;
use oriole_core::revision::follower::{Effect, Event, Follower, Reply, Role, Settings};
use oriole_core::time::Instant;
use oriole_wire::Hub;

/// Follows the revisions for one side.
pub(crate) struct Follow {
    follower: Follower,
    config: Config,
    hub: Hub,
}

impl Follow {
    /// Starts without a revision; `config` is in force until one is adopted.
    pub(crate) fn new(host: &name::Host, config: &Config, hub: Hub, now: Instant) -> Self {
        let seeds: BTreeSet<name::Host> = config.entries.keys().cloned().collect();
        let settings = Settings { host: host.clone(), role: Role::Side, seeds };
        let follower = Follower::new(settings, now, rand::random());
        Self { follower, config: config.clone(), hub }
    }

    /// Takes an event in, and gives the revision that is to be put in force, if there is a new
    /// one.
    pub(crate) fn handle(&mut self, now: Instant, event: Event) -> Option<Adopted> {
        let mut adopted = None;
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.follower.handle(now, rand::random(), event) {
                match effect {
                    Effect::Send(host, message) => self.send(&host, Message::Revision(message)),
                    // A side without an adapter of the key-value service learns from its peers.
                    Effect::Poll { .. } | Effect::Read(_) => {
                        events.push(Event::Service(Reply::Failed));
                    }
                    Effect::Adopt(revision) => {
                        self.config = (*revision.config).clone();
                        adopted = Some(revision);
                    }
                }
            }
        }
        adopted
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Instant) -> Option<Adopted> {
        if now < self.follower.wake() { None } else { self.handle(now, Event::Tick) }
    }

    /// Number of the revision in force, 0 if there is none.
    pub(crate) fn number(&self) -> u64 {
        self.follower.number()
    }

    fn send(&self, host: &name::Host, message: Message) {
        let address = self.config.entries.get(host).map(|entry| entry.address);
        // A message that cannot be sent may be dropped.
        self.hub.send(host, address, message);
    }
}
