//! Which hosts may be given new work, from the host list and from what is seen of them.
//!
//! The host list lags, flaps and may contradict what is seen, so neither source rules alone:
//!
//! - Leaving is believed from either source at once, and taken back only when the list has said
//!   live without a break for [`Settings::settle`].
//! - A host that is heard is alive, whatever the list leaves out.
//! - A host that cannot be reached gets no work until its next trial, whatever the list says.
//! - A host that is neither listed nor heard for [`Settings::forget`] is gone.
//! - A host that arrives, or comes back, is given its full weight gradually.
//!
//! State is one record a host of the configuration; nothing is exchanged between entries.

mod roster;

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::name;
use crate::time::Instant;
use crate::units;

pub use roster::propose;

/// Weight of a host that takes its full part of the work.
pub const FULL_WEIGHT: u32 = 1000;

/// Weight of a host that has just arrived.
const FIRST_WEIGHT: u32 = 100;

/// Times by which hosts are judged.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Settings {
    /// How long the list must say live before a host that was leaving is used again.
    #[serde(with = "units::duration")]
    pub settle: Duration,
    /// Time over which a host that arrives is brought to its full weight.
    #[serde(with = "units::duration")]
    pub ramp: Duration,
    /// Time until an unreachable host is first tried again; doubled after each failure.
    #[serde(with = "units::duration")]
    pub first_trial: Duration,
    /// Longest time between two trials.
    #[serde(with = "units::duration")]
    pub last_trial: Duration,
    /// Time after which a host that is neither listed nor heard is gone.
    #[serde(with = "units::duration")]
    pub forget: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            settle: Duration::from_secs(10),
            ramp: Duration::from_secs(20),
            first_trial: Duration::from_millis(500),
            last_trial: Duration::from_secs(30),
            forget: Duration::from_secs(60),
        }
    }
}

/// What the host list says of a host.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Listing {
    /// It is alive.
    Live,
    /// It is going to be stopped.
    Leaving,
}

/// What a host may be given.
#[key]
pub enum Standing {
    /// New work, in proportion to a weight of at most [`FULL_WEIGHT`].
    Open(u32),
    /// Nothing new; what is in progress may finish.
    Leaving,
    /// Nothing until the next trial.
    Unreachable,
    /// Nothing; the host is not there any more.
    Gone,
}

/// What is known of the hosts.
#[derive(Debug)]
pub struct Directory {
    settings: Settings,
    hosts: BTreeMap<name::Host, Record>,
    listed_at: Option<Instant>,
}

#[derive(Debug)]
struct Record {
    listing: Option<Listing>,
    /// Since when the list has said live without a break.
    live_since: Option<Instant>,
    /// Whether either source has said that it leaves, and the list has not yet taken it back.
    leaving: bool,
    heard: Option<Instant>,
    /// When the host was last known by either source.
    known: Instant,
    /// Since when it has been given work, for the gradual start.
    open_since: Option<Instant>,
    trial: Option<Trial>,
}

/// An unreachable host's next trial.
#[derive(Clone, Copy, Debug)]
struct Trial {
    at: Instant,
    pause: Duration,
}

impl Directory {
    /// A directory of the hosts that the configuration names. All start with full weight, since
    /// an entry that has just started says nothing about their age.
    pub fn new(now: Instant, settings: Settings, hosts: Vec<name::Host>) -> Self {
        let full = now - settings.ramp;
        let record = || Record { open_since: Some(full), ..Record::new(now) };
        let hosts = hosts.into_iter().map(|host| (host, record())).collect();
        Self { settings, hosts, listed_at: None }
    }

    /// Takes in the hosts of a new configuration; a new one starts gradually.
    pub fn on_hosts(&mut self, now: Instant, hosts: Vec<name::Host>) {
        let mut old = std::mem::take(&mut self.hosts);
        for host in hosts {
            let record = old.remove(&host);
            let record =
                record.unwrap_or_else(|| Record { open_since: Some(now), ..Record::new(now) });
            self.hosts.insert(host, record);
        }
    }

    /// Takes in the host list. Hosts that the configuration does not name are ignored.
    pub fn on_list(&mut self, now: Instant, list: &BTreeMap<name::Host, Listing>) {
        self.listed_at = Some(now);
        for (host, record) in &mut self.hosts {
            record.list(now, list.get(host).copied(), &self.settings);
        }
    }

    /// Says that a host was heard.
    pub fn on_heard(&mut self, now: Instant, host: &name::Host) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.hear(now, &self.settings);
        }
    }

    /// Says that a host told us itself whether it is leaving.
    pub fn on_said(&mut self, now: Instant, host: &name::Host, leaving: bool) {
        let Some(record) = self.hosts.get_mut(host) else { return };
        record.hear(now, &self.settings);
        if leaving {
            record.leave();
        } else if record.listing != Some(Listing::Leaving) {
            record.stay(now);
        }
    }

    /// Says that a host could not be reached.
    pub fn on_lost(&mut self, now: Instant, host: &name::Host) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.lose(now, &self.settings);
        }
    }

    /// What `host` may be given now.
    pub fn standing(&self, now: Instant, host: &name::Host) -> Standing {
        let Some(record) = self.hosts.get(host) else { return Standing::Gone };
        if record.is_gone(now, &self.settings, self.listed_at) {
            return Standing::Gone;
        }
        if record.leaving {
            return Standing::Leaving;
        }
        if record.trial.is_some_and(|trial| now < trial.at) {
            return Standing::Unreachable;
        }
        Standing::Open(record.weight(now, &self.settings))
    }

    /// Hosts known, in order.
    pub fn hosts(&self) -> impl Iterator<Item = &name::Host> {
        self.hosts.keys()
    }

    /// How long `host` has been neither listed nor heard.
    fn absent(&self, now: Instant, host: &name::Host) -> Option<Duration> {
        self.hosts.get(host).map(|record| now.since(record.known))
    }
}

impl Record {
    fn new(now: Instant) -> Self {
        Self {
            listing: None,
            live_since: None,
            leaving: false,
            heard: None,
            known: now,
            open_since: None,
            trial: None,
        }
    }

    fn list(&mut self, now: Instant, listing: Option<Listing>, settings: &Settings) {
        self.listing = listing;
        match listing {
            Some(Listing::Live) => {
                self.known = now;
                let since = *self.live_since.get_or_insert(now);
                if self.leaving && now.since(since) >= settings.settle {
                    self.stay(now);
                }
            }
            Some(Listing::Leaving) => {
                self.known = now;
                self.live_since = None;
                self.leave();
            }
            None => self.live_since = None,
        }
    }

    fn leave(&mut self) {
        self.leaving = true;
        self.open_since = None;
        self.live_since = None;
    }

    fn stay(&mut self, now: Instant) {
        self.leaving = false;
        self.open_since.get_or_insert(now);
    }

    fn hear(&mut self, now: Instant, settings: &Settings) {
        self.heard = Some(now);
        self.known = now;
        // A host that was away for longer than a passing loss starts gradually.
        if let Some(trial) = self.trial.take()
            && trial.pause > settings.first_trial * 2
        {
            self.open_since = Some(now);
        }
    }

    fn lose(&mut self, now: Instant, settings: &Settings) {
        let pause = match self.trial {
            // Several connections lost at once are one failure.
            Some(trial) if now < trial.at => return,
            Some(trial) => (trial.pause * 2).min(settings.last_trial),
            None => settings.first_trial,
        };
        self.trial = Some(Trial { at: now + pause, pause });
    }

    fn is_gone(&self, now: Instant, settings: &Settings, listed_at: Option<Instant>) -> bool {
        // Without a recent list, silence alone proves nothing.
        let list_is_recent = listed_at.is_some_and(|at| now.since(at) < settings.forget);
        let unheard = self.heard.is_none_or(|at| now.since(at) >= settings.forget);
        list_is_recent
            && self.listing.is_none()
            && unheard
            && now.since(self.known) >= settings.forget
    }

    fn weight(&self, now: Instant, settings: &Settings) -> u32 {
        let Some(since) = self.open_since else { return FIRST_WEIGHT };
        let ramp = settings.ramp.as_secs_f64().max(f64::MIN_POSITIVE);
        let part = (now.since(since).as_secs_f64() / ramp).min(1.0);
        let gained = f64::from(FULL_WEIGHT - FIRST_WEIGHT) * part;
        // At most `FULL_WEIGHT`, and not negative.
        FIRST_WEIGHT + gained as u32
    }
}
