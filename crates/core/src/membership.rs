//! Decides which hosts may get new work, from the host list and from direct observation.
//!
//! The host list lags, flaps and may contradict what this process observes, so neither source
//! decides alone:
//!
//! - A host counts as leaving as soon as the list or the host itself says so. The list takes this
//!   back only after it has shown the host as live without interruption for [`Settings::settle`].
//! - A host from which messages arrive is alive, even if the list omits it.
//! - A host that cannot be reached gets no work until its next trial, whatever the list says.
//! - A host that has been neither listed nor heard for [`Settings::forget`] is gone.
//! - A new or returning host gets its full weight gradually.
//!
//! The state is one record for each host of the configuration. Entries do not exchange it.

mod roster;

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::name;
use crate::time::Instant;
use crate::units;

pub use roster::propose_roster;

/// Weight of a host that gets its full share of the work.
pub const FULL_WEIGHT: u32 = 1000;

/// Weight of a host that has just joined.
const INITIAL_WEIGHT: u32 = 100;

/// Durations that govern when a host is used, retried or considered gone.
#[data]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Settings {
    /// How long the list must show a host that was leaving as live before the host is used again.
    #[serde(with = "units::duration")]
    pub settle: Duration,
    /// Time over which the weight of a host that joins rises to [`FULL_WEIGHT`].
    #[serde(with = "units::duration")]
    pub ramp: Duration,
    /// Time until an unreachable host is tried again for the first time. It doubles with each
    /// further failure.
    #[serde(with = "units::duration")]
    pub first_trial: Duration,
    /// Upper limit on the time until the next trial.
    #[serde(with = "units::duration")]
    pub last_trial: Duration,
    /// Time after which a host that is neither listed nor heard counts as gone.
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

/// State of a host in the host list.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Listing {
    /// The host is alive.
    Live,
    /// The host is about to be stopped.
    Leaving,
}

/// Whether a host may get work.
#[key]
pub enum Eligibility {
    /// Gets new work, in proportion to a weight of at most [`FULL_WEIGHT`].
    Open(u32),
    /// Gets no new work; work in progress may finish.
    Leaving,
    /// Gets no work until its next trial.
    Unreachable,
    /// Gets no work; the host no longer exists.
    Gone,
}

/// State of the hosts that the configuration names.
#[derive(Debug)]
pub struct Directory {
    settings: Settings,
    hosts: BTreeMap<name::Host, Record>,
    last_list_at: Option<Instant>,
}

#[derive(Debug)]
struct Record {
    listing: Option<Listing>,
    /// Since when the list has shown the host as live without interruption.
    live_since: Option<Instant>,
    /// Whether the list or the host said that it is leaving, and this has not been taken back.
    leaving: bool,
    last_heard: Option<Instant>,
    /// When the host was last listed or heard.
    last_known: Instant,
    /// Since when the host has been open, which is the start of its ramp.
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
    /// Creates a directory of the hosts that the configuration names. All start with full weight,
    /// since a process that has just started cannot tell new hosts from old ones.
    pub fn new(now: Instant, settings: Settings, hosts: Vec<name::Host>) -> Self {
        let ramp_start = now - settings.ramp;
        let record = || Record { open_since: Some(ramp_start), ..Record::new(now) };
        let hosts = hosts.into_iter().map(|host| (host, record())).collect();
        Self { settings, hosts, last_list_at: None }
    }

    /// Replaces the hosts by those of a new configuration. New hosts start with a low weight.
    pub fn on_config_hosts(&mut self, now: Instant, hosts: Vec<name::Host>) {
        let mut old = std::mem::take(&mut self.hosts);
        for host in hosts {
            let record = old.remove(&host);
            let record =
                record.unwrap_or_else(|| Record { open_since: Some(now), ..Record::new(now) });
            self.hosts.insert(host, record);
        }
    }

    /// Processes a host list. Hosts that the configuration does not name are ignored.
    pub fn on_host_list(&mut self, now: Instant, list: &BTreeMap<name::Host, Listing>) {
        self.last_list_at = Some(now);
        for (host, record) in &mut self.hosts {
            record.on_listing(now, list.get(host).copied(), &self.settings);
        }
    }

    /// Records that a message from a host arrived.
    pub fn on_heard(&mut self, now: Instant, host: &name::Host) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.mark_heard(now, &self.settings);
        }
    }

    /// Records that a host itself announced whether it is leaving. The host cannot take back a
    /// leaving state that the list still shows.
    pub fn on_announced(&mut self, now: Instant, host: &name::Host, leaving: bool) {
        let Some(record) = self.hosts.get_mut(host) else { return };
        record.mark_heard(now, &self.settings);
        if leaving {
            record.mark_leaving();
        } else if record.listing != Some(Listing::Leaving) {
            record.clear_leaving(now);
        }
    }

    /// Records that a host could not be reached.
    pub fn on_unreachable(&mut self, now: Instant, host: &name::Host) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.mark_unreachable(now, &self.settings);
        }
    }

    /// Returns whether `host` may get work at `now`.
    pub fn eligibility(&self, now: Instant, host: &name::Host) -> Eligibility {
        let Some(record) = self.hosts.get(host) else { return Eligibility::Gone };
        if record.is_gone(now, &self.settings, self.last_list_at) {
            return Eligibility::Gone;
        }
        if record.leaving {
            return Eligibility::Leaving;
        }
        if record.trial.is_some_and(|trial| now < trial.at) {
            return Eligibility::Unreachable;
        }
        Eligibility::Open(record.weight(now, &self.settings))
    }

    /// Returns the hosts of the configuration, sorted by name.
    pub fn hosts(&self) -> impl Iterator<Item = &name::Host> {
        self.hosts.keys()
    }

    /// Returns the time since `host` was last listed or heard, or `None` for an unknown host.
    fn time_unseen(&self, now: Instant, host: &name::Host) -> Option<Duration> {
        self.hosts.get(host).map(|record| now.since(record.last_known))
    }
}

impl Record {
    fn new(now: Instant) -> Self {
        Self {
            listing: None,
            live_since: None,
            leaving: false,
            last_heard: None,
            last_known: now,
            open_since: None,
            trial: None,
        }
    }

    fn on_listing(&mut self, now: Instant, listing: Option<Listing>, settings: &Settings) {
        self.listing = listing;
        match listing {
            Some(Listing::Live) => {
                self.last_known = now;
                let since = *self.live_since.get_or_insert(now);
                if self.leaving && now.since(since) >= settings.settle {
                    self.clear_leaving(now);
                }
            }
            Some(Listing::Leaving) => {
                self.last_known = now;
                self.live_since = None;
                self.mark_leaving();
            }
            None => self.live_since = None,
        }
    }

    fn mark_leaving(&mut self) {
        self.leaving = true;
        self.open_since = None;
        self.live_since = None;
    }

    fn clear_leaving(&mut self, now: Instant) {
        self.leaving = false;
        self.open_since.get_or_insert(now);
    }

    fn mark_heard(&mut self, now: Instant, settings: &Settings) {
        self.last_heard = Some(now);
        self.last_known = now;
        // After more than a brief loss, the host starts with a low weight again.
        if let Some(trial) = self.trial.take()
            && trial.pause > settings.first_trial * 2
        {
            self.open_since = Some(now);
        }
    }

    fn mark_unreachable(&mut self, now: Instant, settings: &Settings) {
        let pause = match self.trial {
            // Several connections that are lost at once count as one failure.
            Some(trial) if now < trial.at => return,
            Some(trial) => (trial.pause * 2).min(settings.last_trial),
            None => settings.first_trial,
        };
        self.trial = Some(Trial { at: now + pause, pause });
    }

    fn is_gone(&self, now: Instant, settings: &Settings, last_list_at: Option<Instant>) -> bool {
        // Without a recent list, silence alone does not show that the host is gone.
        let list_is_recent = last_list_at.is_some_and(|at| now.since(at) < settings.forget);
        let is_silent = self.last_heard.is_none_or(|at| now.since(at) >= settings.forget);
        list_is_recent
            && self.listing.is_none()
            && is_silent
            && now.since(self.last_known) >= settings.forget
    }

    fn weight(&self, now: Instant, settings: &Settings) -> u32 {
        let Some(since) = self.open_since else { return INITIAL_WEIGHT };
        let ramp = settings.ramp.as_secs_f64().max(f64::MIN_POSITIVE);
        let progress = (now.since(since).as_secs_f64() / ramp).min(1.0);
        let gained = f64::from(FULL_WEIGHT - INITIAL_WEIGHT) * progress;
        // The sum is at most `FULL_WEIGHT` and not negative.
        INITIAL_WEIGHT + gained as u32
    }
}
