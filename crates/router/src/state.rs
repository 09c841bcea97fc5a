//! What the process knows, shared by its tasks.

mod chains;
pub mod load;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oriole_adapter::clock::Clock;
use oriole_core::fleet::lag::Lag;
use oriole_core::fleet::{Incarnation, Topic, View};
use oriole_core::forward::budget::Budget;
use oriole_core::forward::chain::Chain;
use oriole_core::forward::choice::Failures;
use oriole_core::forward::in_flight::Tracker;
use oriole_core::forward::queue::{Queue, Refusals};
use oriole_core::name;
use oriole_core::placement::{Model, Plan, Range};
use oriole_core::route::Table;
use oriole_core::time::Instant;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::settings::{Settings, Tunables};

/// Earlier plans whose chains may still be used.
const MAX_KEPT_PLANS: usize = 3;

/// Part of the drain bound during which a leaving endpoint still gets work.
const DRAIN_GRACE_FRACTION: f64 = 0.4;

/// Margin on the estimated time of work that must end before the process does.
const EXIT_TIME_MARGIN: f64 = 1.25;

/// Time from the end of a process to the readiness of the next one.
const RESTART_TIME: Duration = Duration::from_millis(900);

/// Time from which work that nothing else runs beside is told of: half of a usual pause between
/// two events.
const BLOCKED_THRESHOLD: Duration = Duration::from_millis(30);

/// Another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Where it listens for other entries.
    pub address: SocketAddr,
}

/// What the decisions need.
pub struct Inner {
    /// The newest routing table.
    pub table: Option<Rc<Table>>,
    /// The endpoints.
    pub view: View,
    /// The newest plan first.
    pub plans: Vec<Plan>,
    /// Usable chains by service.
    pub chains: BTreeMap<name::Service, Rc<Vec<Chain>>>,
    /// Work in progress.
    pub in_flight: Tracker,
    /// Refusals by service.
    pub refusals: BTreeMap<name::Service, Refusals>,
    /// Requests that wait for room, by service.
    pub queues: BTreeMap<name::Service, Queue>,
    /// Retries by service.
    pub budgets: BTreeMap<name::Service, Budget>,
    /// Failures of plain services' endpoints.
    pub failures: Failures,
    /// When a chain last brought an event, by its first endpoint.
    pub last_event_at: BTreeMap<name::Endpoint, Instant>,
    /// Other entries by name, from the store.
    pub peers: BTreeMap<name::Host, Peer>,
}

/// State that tasks share.
pub struct State {
    /// Settings as they were at the start; [`State::tunables`] has those that may change.
    pub settings: Settings,
    tunables: RefCell<Tunables>,
    /// The entry's name.
    pub host: name::Host,
    /// The entry's availability zone.
    pub zone: name::Zone,
    /// Counts changes of what is known.
    pub change_count: Cell<u64>,
    was_stable: Cell<bool>,
    /// When the process started.
    pub started: Instant,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The clock.
    pub clock: Clock,
    /// What the decisions need.
    pub inner: RefCell<Inner>,
    /// Wakes requests that wait for room.
    pub capacity_changed: Notify,
    /// Wakes requests whose chain may have been found not to work.
    pub health_changed: Notify,
    /// Wakes tasks that act on a new plan or new endpoints.
    pub chains_changed: Notify,
    /// Connections to other entries, once the secret is known.
    pub hub: RefCell<Option<oriole_wire::Hub>>,
    /// Layers that other entries have ordered, and until when they follow that.
    pub peer_orders: RefCell<BTreeMap<name::Endpoint, (Range, Instant)>>,
    /// In what this entry is behind others.
    pub lags: RefCell<BTreeMap<Topic, Lag>>,
    /// When endpoints were last asked for a report.
    pub report_requested_at: RefCell<BTreeMap<name::Endpoint, Instant>>,
    /// When the process ends at the latest, once it has been told to stop.
    pub exit_deadline: Cell<Option<Instant>>,
    /// When all stages of chains were last asked.
    pub chain_probed_at: RefCell<BTreeMap<name::Endpoint, Instant>>,
    /// Whether the last request has been answered and the process is about to exit.
    pub exiting: Cell<bool>,
    /// Whether idle connections are to be closed.
    pub closing: Cell<bool>,
    /// Wakes idle connections that are to be closed.
    pub closing_changed: Notify,
    /// Whether the process has been told to stop.
    pub stopping: Cell<bool>,
    /// Requests in progress.
    pub active_requests: Cell<usize>,
}

/// The state, shared.
pub type Shared = Rc<State>;

impl State {
    /// State of a process that knows nothing yet.
    pub fn new(settings: Settings) -> Shared {
        let inner = Inner {
            table: None,
            view: View::default(),
            plans: vec![],
            chains: BTreeMap::new(),
            in_flight: Tracker::default(),
            refusals: BTreeMap::new(),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            failures: Failures::default(),
            last_event_at: BTreeMap::new(),
            peers: BTreeMap::new(),
        };
        let clock = Clock::start();
        Rc::new(Self {
            change_count: Cell::new(0),
            was_stable: Cell::new(false),
            started: clock.now(),
            host: settings.name.as_str().into(),
            zone: settings.zone.as_str().into(),
            tunables: RefCell::new(Tunables::of(&settings)),
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
            chain_probed_at: RefCell::default(),
            exit_deadline: Cell::new(None),
            exiting: Cell::new(false),
            closing: Cell::new(false),
            closing_changed: Notify::new(),
            stopping: Cell::new(false),
            active_requests: Cell::new(0),
        })
    }

    /// The present time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Does `work`, during which nothing else runs, and tells if it blocked the event loop for long.
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

    /// Settings that may change while the process runs.
    pub fn tunables(&self) -> Tunables {
        self.tunables.borrow().clone()
    }

    /// Takes over settings that have been read again.
    pub fn reload(&self, settings: &Settings) {
        let tunables = Tunables::of(settings);
        let needs_restart = settings.listen != self.settings.listen
            || settings.store != self.settings.store
            || settings.name != self.settings.name
            || settings.zone != self.settings.zone;
        let changed = *self.tunables.borrow() != tunables;
        log::info!(changed, needs_restart; "settings read again");
        let bound = tunables.retries.bound();
        *self.tunables.borrow_mut() = tunables;
        for budget in self.inner.borrow_mut().budgets.values_mut() {
            budget.set_bound(bound);
        }
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        let inner = self.inner.borrow();
        inner.table.is_some() && inner.view.age(self.now()).is_some() && !self.stopping.get()
    }

    /// Whether work that takes `longest` ends before the process does.
    ///
    /// Callers that came before the balancer can have noticed the stop are always served.
    pub fn finishes_before_exit(&self, longest: Duration) -> bool {
        let Some(deadline) = self.exit_deadline.get().filter(|_| self.closing.get()) else {
            return true;
        };
        self.now() + longest.mul_f64(EXIT_TIME_MARGIN) <= deadline
    }

    /// When to come back to an entry that is about to end: when it has been started again.
    pub fn retry_after_restart(&self) -> Duration {
        let left =
            self.exit_deadline.get().map_or(Duration::ZERO, |deadline| deadline.since(self.now()));
        left + RESTART_TIME
    }

    /// Version of the routing table and revision of the plan, for logs; 0 for none.
    pub fn versions(&self) -> (u64, u64) {
        let inner = self.inner.borrow();
        let table = inner.table.as_ref().map_or(0, |t| t.version);
        (table, inner.plans.first().map_or(0, |p| p.revision))
    }

    /// The model of a service that is served by chains.
    pub fn model(&self, service: &name::Service) -> Option<Model> {
        let inner = self.inner.borrow();
        inner.table.as_ref()?.services.get(service)?.model.clone()
    }

    /// How long a leaving endpoint still gets work.
    pub fn drain_grace(&self) -> Duration {
        Duration::from_millis(self.tunables.borrow().times.drain_ms).mul_f64(DRAIN_GRACE_FRACTION)
    }

    /// Takes over a newer routing table.
    pub fn adopt_table(&self, table: Table) -> bool {
        let mut inner = self.inner.borrow_mut();
        if inner.table.as_ref().is_some_and(|t| t.version >= table.version) {
            return false;
        }
        log::info!(version = table.version, services = table.services.len(); "routing table in force");
        self.metrics.table_version.set(i64::try_from(table.version).unwrap_or(i64::MAX));
        inner.table = Some(Rc::new(table));
        drop(inner);
        self.lags.borrow_mut().remove(&Topic::Table);
        self.refresh();
        true
    }

    /// Takes over a newer plan.
    pub fn adopt_plan(&self, plan: Plan) -> bool {
        let mut inner = self.inner.borrow_mut();
        if inner.plans.first().is_some_and(|p| p.revision >= plan.revision) {
            return false;
        }
        let chains = plan.services.values().map(Vec::len).sum::<usize>();
        log::info!(number = plan.number, revision = plan.revision, chains; "plan in force");
        self.metrics.plans.inc();
        inner.plans.insert(0, plan);
        inner.plans.truncate(MAX_KEPT_PLANS);
        drop(inner);
        self.lags.borrow_mut().remove(&Topic::Plan);
        self.refresh();
        true
    }

    /// Notes that an endpoint does not work, on whose `word`.
    pub fn mark_unhealthy(&self, incarnation: &Incarnation, age: Duration, word: &str) -> bool {
        let now = self.now();
        let is_new = self.inner.borrow_mut().view.mark_unhealthy(incarnation, now - age, now);
        if is_new {
            log::warn!(endpoint = incarnation.endpoint.as_str(), word; "endpoint does not work");
            self.metrics.doubts.inc();
            self.refresh();
            self.health_changed.notify_waiters();
        }
        is_new
    }

    /// Notes that an endpoint did not answer an entry.
    pub fn suspect(&self, incarnation: &Incarnation, by: &name::Host) -> bool {
        let (now, entries) = (self.now(), self.entry_count());
        let is_new = self.inner.borrow_mut().view.suspect(incarnation, by.clone(), entries, now);
        if is_new {
            log::warn!(endpoint = incarnation.endpoint.as_str(), entries; "endpoint answers nobody");
            self.metrics.doubts.inc();
            self.refresh();
            self.health_changed.notify_waiters();
        }
        is_new
    }

    /// Gives an endpoint that refused no new work for a while.
    pub fn pause(&self, endpoint: &name::Endpoint) {
        let now = self.now();
        let is_new = self.inner.borrow_mut().view.pause(endpoint, now);
        if is_new {
            self.refresh();
        }
    }

    /// Whether an endpoint is held not to work.
    pub fn is_unhealthy(&self, endpoint: &name::Endpoint) -> bool {
        self.inner.borrow().view.is_unhealthy(endpoint, self.now())
    }

    /// Entries that are known, this one included.
    pub fn entry_count(&self) -> usize {
        let inner = self.inner.borrow();
        inner.peers.len().max(inner.in_flight.peer_count(self.now())) + 1
    }

    /// Takes one retry out of this entry's share.
    pub fn take_retry(&self, service: &name::Service) -> bool {
        // One more than is known: another entry may just be starting.
        let entries = self.entry_count() + 1;
        let now = self.now();
        let bound = self.tunables.borrow().retries.bound();
        let mut inner = self.inner.borrow_mut();
        let budget = inner.budgets.entry(service.clone()).or_insert_with(|| Budget::new(bound));
        let taken = budget.try_take(entries, now);
        if taken {
            self.metrics.retries.inc();
        }
        taken
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&self, service: &name::Service) {
        let now = self.now();
        self.metrics.requests.inc();
        let bound = self.tunables.borrow().retries.bound();
        let mut inner = self.inner.borrow_mut();
        let budget = inner.budgets.entry(service.clone()).or_insert_with(|| Budget::new(bound));
        budget.record_request(now);
    }
}
