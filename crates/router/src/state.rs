//! State of the process, shared by its tasks.
//!
//! It holds the routing table, plans, endpoints and work in progress, and wakes waiting requests
//! when these change. All tasks run on one thread, so that cells take the place of locks.

mod chains;
mod entries;
mod health;
pub mod hold;
pub mod limit;
pub mod load;
pub mod pause;
mod plan;
pub mod quarantine;
mod refusal;
pub mod statement;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriole_adapter::clock::Clock;
use oriole_adapter::memory::Memory;
use oriole_core::fleet::freshness::Freshness;
use oriole_core::fleet::lag::Lag;
use oriole_core::fleet::liveness::Liveness;
use oriole_core::fleet::presence::Presence;
use oriole_core::fleet::resumption::Resumption;
use oriole_core::fleet::{Incarnation, Topic, View};
use oriole_core::forward::budget::Budget;
use oriole_core::forward::chain::Chain;
use oriole_core::forward::choice::Failures;
use oriole_core::forward::headroom::Demand;
use oriole_core::forward::hold::Holds;
use oriole_core::forward::in_flight::Tracker;
use oriole_core::forward::quarantine::{Quarantine, Suspect};
use oriole_core::forward::queue::{Departures, Queue, Refusals};
use oriole_core::forward::rate;
use oriole_core::forward::returns::Ledger;
use oriole_core::forward::runs::Runs;
use oriole_core::forward::stop;
use oriole_core::name;
use oriole_core::placement::stored::Stored;
use oriole_core::placement::{Model, Plan};
use oriole_core::route::Table;
use oriole_core::time::Instant;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::settings::{Settings, Tunables};

/// Number of plans, the current one included, whose chains may be used.
const MAX_KEPT_PLANS: usize = 3;

/// Fraction of the drain time during which a draining endpoint still gets work.
const DRAIN_GRACE_FRACTION: f64 = 0.7;

/// Time for which work may block the event loop before it is logged: half of a usual pause between
/// two events.
const BLOCKED_THRESHOLD: Duration = Duration::from_millis(30);

/// Another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Address on which it listens for other entries.
    pub address: SocketAddr,
}

/// State from which routing decisions are made.
pub struct Inner {
    /// The routing table in force; `None` until one is known.
    pub table: Option<Rc<Table>>,
    /// Services whose routes differ in priority.
    pub ranked_services: BTreeSet<name::Service>,
    /// When it was last known to be the newest.
    pub freshness: Freshness,
    /// Endpoints and their health.
    pub view: View,
    /// The plan in force, followed by earlier ones.
    pub plans: Vec<Plan>,
    /// Usable chains by service.
    pub chains: BTreeMap<name::Service, Rc<Vec<Chain>>>,
    /// Work in progress of this entry and its peers.
    pub in_flight: Tracker,
    /// Recent refusals by service, from which `retry-after` is derived.
    pub refusals: BTreeMap<name::Service, Refusals>,
    /// Requests that wait for capacity, by service.
    pub queues: BTreeMap<name::Service, Queue>,
    /// Requests that began lately, by service.
    pub departures: BTreeMap<name::Service, Departures>,
    /// Demand for chains by priority, by service.
    pub demand: BTreeMap<name::Service, Demand>,
    /// Callers of generations that were refused by any entry.
    pub returns: Ledger,
    /// Retry budgets by service.
    pub budgets: BTreeMap<name::Service, Budget>,
    /// Parts of prompts that crash endpoints.
    pub quarantine: Quarantine,
    /// Which requests of this entry run at which endpoint.
    pub runs: Runs,
    /// Requests that crash endpoints.
    pub holds: Holds,
    /// Limits on the rate of requests that endpoints name.
    pub limits: rate::Limits,
    /// Permits to send requests to endpoints with a limit.
    pub permits: rate::Permits,
    /// Recent failures of endpoints of plain services, and of first stages that sent what is no answer.
    pub failures: Failures,
    /// When this entry last got an event from a chain, by key of the chain.
    pub last_event_at: BTreeMap<name::Endpoint, Instant>,
    /// Which other entries are running.
    pub liveness: Liveness,
    /// Which entries share the retry budget.
    pub presence: Presence,
    /// Other entries registered in the store, by host.
    pub peers: BTreeMap<name::Host, Peer>,
    /// Whether the registrations of entries have been read.
    pub knows_peers: bool,
}

/// State that tasks share.
pub struct State {
    /// Settings at the start; [`State::tunables`] returns those that may change since.
    pub settings: Settings,
    tunables: RefCell<Tunables>,
    /// Host of this entry.
    pub host: name::Host,
    /// Availability zone of this entry.
    pub zone: name::Zone,
    /// Number of changes to the routing state; tasks compare it to detect changes.
    pub change_count: Cell<u64>,
    /// Whether no unhealthy, paused or draining period was running at the last [`State::tick`].
    was_stable: Cell<bool>,
    /// Whether the process was paused.
    resumption: Cell<Resumption>,
    /// When the process started.
    pub started: Instant,
    /// Memory of requests, until they are answered.
    pub request_memory: Memory,
    /// Memory of responses that are kept until they are complete and the caller has read them.
    pub response_memory: Memory,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Clock that all tasks use.
    pub clock: Clock,
    /// State from which routing decisions are made.
    pub inner: RefCell<Inner>,
    /// Wakes requests that wait for capacity.
    pub capacity_changed: Notify,
    /// Wakes requests in progress when an endpoint becomes unhealthy.
    pub health_changed: Notify,
    /// Wakes requests that wait for another chain when the usable chains are rebuilt.
    pub chains_changed: Notify,
    /// Connections to other entries; `None` until the shared secret is known.
    pub hub: RefCell<Option<oriole_wire::Hub>>,
    /// Until when other entries monitor orders, by endpoint.
    pub peer_orders: RefCell<BTreeMap<name::Endpoint, Instant>>,
    /// Topics on which this entry is behind its peers.
    pub lags: RefCell<BTreeMap<Topic, Lag>>,
    /// When each endpoint was last asked for a report.
    pub report_requested_at: RefCell<BTreeMap<name::Endpoint, Instant>>,
    /// Suspects of crashes that are about to be told to the other entries.
    pub untold_suspects: RefCell<BTreeMap<Incarnation, Vec<Suspect>>>,
    /// The registration of this entry.
    pub registration: crate::follow::registration::Own,
    /// The secret by which entries authenticate to each other.
    pub secret: crate::secret::Secret,
    /// What the store holds of the plan; `None` until it has been read.
    pub stored_plan: Cell<Option<Stored>>,
    /// The quarantines that the store holds.
    pub stored_quarantine: RefCell<crate::quarantine::Known>,
    /// The requests that crash endpoints, as the store holds them.
    pub stored_holds: RefCell<crate::hold::Known>,
    /// Wakes the task that stores them when they have changed.
    pub holds_changed: Notify,
    /// Wakes the task that stores quarantines when they have changed.
    pub quarantine_changed: Notify,
    /// Endpoints of which a warning has been logged that they state something unreadable, and what.
    pub unreadable_statements: RefCell<BTreeSet<(Incarnation, &'static str)>>,
    /// When the process exits at the latest; `None` until it has been signalled to stop.
    pub exit_deadline: Cell<Option<Instant>>,
    /// When all stages of a chain were last asked for a report, by key of the chain.
    pub chain_probed_at: RefCell<BTreeMap<name::Endpoint, Instant>>,
    /// Whether the last request has been answered and the process is about to exit.
    pub exiting: Cell<bool>,
    /// Whether idle connections are being closed.
    pub closing: Cell<bool>,
    /// Wakes idle connections when they must close.
    pub closing_changed: Notify,
    /// Whether the load balancer has been told that the entry is ready.
    pub announced: Cell<bool>,
    /// Whether the process has been signalled to stop.
    pub stopping: Cell<bool>,
    /// Number of requests in progress.
    pub active_requests: Cell<usize>,
}

/// Handle through which tasks share the state.
pub type Shared = Rc<State>;

impl State {
    /// Creates the state of a process that has no routing table, plan or endpoints yet.
    pub fn new(settings: Settings) -> Shared {
        let host: name::Host = settings.name.as_str().into();
        let heartbeat = Duration::from_millis(settings.times.heartbeat_ms);
        let inner = Inner {
            table: None,
            ranked_services: BTreeSet::new(),
            freshness: Freshness::default(),
            view: View::of_entry(host.clone(), heartbeat),
            plans: vec![],
            chains: BTreeMap::new(),
            in_flight: Tracker::default(),
            refusals: BTreeMap::new(),
            queues: BTreeMap::new(),
            departures: BTreeMap::new(),
            demand: BTreeMap::new(),
            returns: Ledger::default(),
            budgets: BTreeMap::new(),
            quarantine: Quarantine::default(),
            runs: Runs::default(),
            holds: Holds::default(),
            limits: rate::Limits::default(),
            permits: rate::Permits::default(),
            failures: Failures::default(),
            last_event_at: BTreeMap::new(),
            liveness: Liveness::default(),
            presence: Presence::default(),
            peers: BTreeMap::new(),
            knows_peers: false,
        };
        let clock = Clock::start();
        Rc::new(Self {
            change_count: Cell::new(0),
            was_stable: Cell::new(false),
            resumption: Cell::default(),
            started: clock.now(),
            host,
            zone: settings.zone.as_str().into(),
            tunables: RefCell::new(Tunables::of(&settings)),
            request_memory: Memory::new(settings.limits.request_bytes()),
            response_memory: Memory::new(settings.limits.response_bytes()),
            settings,
            metrics: Metrics::default(),
            clock,
            inner: RefCell::new(inner),
            capacity_changed: Notify::new(),
            health_changed: Notify::new(),
            chains_changed: Notify::new(),
            hub: RefCell::new(None),
            peer_orders: RefCell::default(),
            lags: RefCell::default(),
            report_requested_at: RefCell::default(),
            untold_suspects: RefCell::default(),
            registration: crate::follow::registration::Own::default(),
            secret: crate::secret::Secret::default(),
            stored_plan: Cell::default(),
            stored_quarantine: RefCell::default(),
            stored_holds: RefCell::default(),
            holds_changed: Notify::new(),
            quarantine_changed: Notify::new(),
            unreadable_statements: RefCell::default(),
            chain_probed_at: RefCell::default(),
            exit_deadline: Cell::new(None),
            exiting: Cell::new(false),
            closing: Cell::new(false),
            closing_changed: Notify::new(),
            announced: Cell::new(false),
            stopping: Cell::new(false),
            active_requests: Cell::new(0),
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Runs `work`, and logs and counts it under `purpose` if it blocked the event loop for long.
    ///
    /// The purposes are labels of the metric `event_loop_blocked`, so they keep their names.
    pub fn timed<T>(&self, purpose: &'static str, work: impl FnOnce() -> T) -> T {
        let began = self.now();
        let result = work();
        let took = self.now().since(began);
        if took >= BLOCKED_THRESHOLD {
            Metrics::count(&self.metrics.blocked, purpose);
            log::warn!(purpose, took_ms = took.as_millis() as u64; "event loop blocked");
        }
        result
    }

    /// Returns the settings that may change while the process runs.
    pub fn tunables(&self) -> Tunables {
        self.tunables.borrow().clone()
    }

    /// Applies settings that have been read again, as far as they may change without a restart.
    pub fn reload(&self, settings: &Settings) {
        let tunables = Tunables::of(settings);
        let needs_restart = settings.listen != self.settings.listen
            || settings.store != self.settings.store
            || settings.name != self.settings.name
            || settings.zone != self.settings.zone
            || settings.limits != self.settings.limits;
        let changed = *self.tunables.borrow() != tunables;
        log::info!(changed, needs_restart; "settings read again");
        let bound = tunables.retries.bound();
        *self.tunables.borrow_mut() = tunables;
        for budget in self.inner.borrow_mut().budgets.values_mut() {
            budget.set_bound(bound);
        }
    }

    /// Returns whether the entry is ready for new connections.
    ///
    /// It needs a routing table, a listing of the endpoints and the word of another entry, and must not
    /// be stopping.
    pub fn is_ready(&self) -> bool {
        let inner = self.inner.borrow();
        let knows_store = inner.table.is_some() && inner.view.age(self.now()).is_some();
        knows_store && self.has_heard(&inner) && !self.stopping.get()
    }

    /// Returns whether another entry has told what it knows, such as the limits of endpoints, or none is
    /// there to tell. An entry waits for that no longer than until it must keep all bounds.
    fn has_heard(&self, inner: &Inner) -> bool {
        let is_alone = inner.knows_peers && inner.peers.is_empty();
        let is_late = self.now().since(self.started) >= self.contact_time();
        is_alone || is_late || inner.liveness.has_heard()
    }

    /// Returns whether an answer that begins now ends before the process exits. It takes at most `estimate`, if
    /// that is known, and has `left` until its deadline.
    ///
    /// Always true until idle connections are closed: before that, the load balancer may not have
    /// noticed the stop yet, and its callers are served.
    pub fn finishes_before_exit(&self, estimate: Option<Duration>, left: Duration) -> bool {
        let Some(deadline) = self.exit_deadline.get().filter(|_| self.closing.get()) else {
            return true;
        };
        self.now() + stop::longest_answer(estimate, left) <= deadline
    }

    /// Returns the version of the routing table and the revision of the plan, for logs; 0 for none.
    pub fn versions(&self) -> (u64, u64) {
        let inner = self.inner.borrow();
        let table = inner.table.as_ref().map_or(0, |t| t.version);
        (table, inner.plans.first().map_or(0, |p| p.position.revision()))
    }

    /// Returns the model of a service, or `None` if the service is plain or unknown.
    pub fn model(&self, service: &name::Service) -> Option<Model> {
        let inner = self.inner.borrow();
        inner.table.as_ref()?.services.get(service)?.model.clone()
    }

    /// Returns the time within which a draining endpoint must stop getting requests.
    pub fn drain_time(&self) -> Duration {
        Duration::from_millis(self.tunables.borrow().times.drain_ms)
    }

    /// Returns the time within which an acknowledged configuration must be in force.
    pub fn apply_time(&self) -> Duration {
        Duration::from_millis(self.tunables.borrow().times.apply_ms)
    }

    /// Returns the time without disturbance after which this entry must keep all bounds again.
    pub fn contact_time(&self) -> Duration {
        Duration::from_millis(self.tunables.borrow().times.contact_ms)
    }

    /// Returns how long a draining endpoint still gets work.
    pub fn drain_grace(&self) -> Duration {
        self.drain_time().mul_f64(DRAIN_GRACE_FRACTION)
    }

    /// Puts a routing table in force if it is newer, and returns whether it is. `source` names the store
    /// or the entry that sent it.
    pub fn adopt_table(&self, table: Table, source: &str) -> bool {
        let mut inner = self.inner.borrow_mut();
        if inner.table.as_ref().is_some_and(|t| t.version >= table.version) {
            return false;
        }
        log::info!(
            version = table.version, services = table.services.len(),
            ranked = table.ranked_services().len(), source;
            "routing table in force"
        );
        self.metrics.table_version.set(i64::try_from(table.version).unwrap_or(i64::MAX));
        inner.ranked_services = table.ranked_services();
        inner.table = Some(Rc::new(table));
        drop(inner);
        self.lags.borrow_mut().remove(&Topic::Table);
        self.refresh();
        true
    }
}
