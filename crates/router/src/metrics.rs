//! Counters and latency histograms, served as text on the metrics address.
//!
//! The values of labels are fixed in the code, such as reasons and outcomes. Identifiers and names
//! from outside are never used, so that the number of time series stays bounded.

use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the histograms' buckets in seconds, from a local answer to the slowest route.
const BUCKET_BOUNDS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0];

/// Path under which the metrics are served.
pub const PATH: &str = "/metrics";

/// Label set with the single label `reason`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Reason {
    reason: String,
}

type Reasons = Family<Reason, Counter>;

/// All metrics of the process.
pub struct Metrics {
    registry: Registry,
    /// Requests that the routing table allows.
    pub requests: Counter,
    /// Answers that were forwarded completely.
    pub served: Counter,
    /// Requests that the entry answered itself, by reason.
    pub refused: Reasons,
    /// Answers that the entry ended after a part of them had been sent, by reason.
    pub cut: Reasons,
    /// Attempts that failed, by reason.
    pub failures: Reasons,
    /// Generations that ask for a chain, by whether they were refused before.
    pub standings: Reasons,
    /// Attempts beyond the first one of each request.
    pub retries: Counter,
    /// Streams that were moved to other stages because a stage does not work.
    pub moves: Counter,
    /// Findings that an endpoint is unhealthy.
    pub unhealthy: Counter,
    /// Quarantines of prompt parts that began or were heard of.
    pub quarantines: Counter,
    /// Requests that are held, as they were found or heard of.
    pub holds: Counter,
    /// What endpoints state about themselves, but for limits, by kind.
    pub statements: Reasons,
    /// Probes of silent endpoints, by how these responded.
    pub contacts: Reasons,
    /// Permits to send a request to an endpoint that limits its rate, by reply.
    pub permits: Reasons,
    /// Orders to endpoints, by answer.
    pub orders: Reasons,
    /// Plans that were adopted.
    pub plans: Counter,
    /// Calls to the store that failed, by purpose.
    pub store_failures: Reasons,
    /// Pieces of work that blocked the event loop for too long, by purpose.
    pub blocked: Reasons,
    /// Registrations of endpoints that could not be decoded.
    pub skipped_registrations: Counter,
    /// Listings that were older than the one before.
    pub outdated_listings: Counter,
    /// Time from a request's arrival to the first event of its answer.
    pub first_event: Histogram,
    /// Time between two events of a stream.
    pub pause: Histogram,
    /// Time from a request's arrival to the end of its answer.
    pub answer: Histogram,
    /// Time from when a revised plan is first due until its proposal has been answered.
    pub replan: Histogram,
    /// Duration of the calls to the store that list the endpoints.
    pub store_call: Histogram,
    /// Version of the routing table in force.
    pub table_version: Gauge,
    /// Number of usable chains.
    pub chains: Gauge,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKET_BOUNDS_S)
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("oriole"),
            requests: Counter::default(),
            served: Counter::default(),
            refused: Reasons::default(),
            cut: Reasons::default(),
            failures: Reasons::default(),
            standings: Reasons::default(),
            retries: Counter::default(),
            moves: Counter::default(),
            unhealthy: Counter::default(),
            quarantines: Counter::default(),
            holds: Counter::default(),
            statements: Reasons::default(),
            contacts: Reasons::default(),
            permits: Reasons::default(),
            orders: Reasons::default(),
            plans: Counter::default(),
            store_failures: Reasons::default(),
            blocked: Reasons::default(),
            skipped_registrations: Counter::default(),
            outdated_listings: Counter::default(),
            first_event: histogram(),
            pause: histogram(),
            answer: histogram(),
            replan: histogram(),
            store_call: histogram(),
            table_version: Gauge::default(),
            chains: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests that the routing table allows", self.requests.clone());
        r.register("served", "Answers passed on whole", self.served.clone());
        r.register("refused", "Requests answered by the entry itself", self.refused.clone());
        r.register("answers_cut", "Answers ended midway", self.cut.clone());
        r.register("attempt_failures", "Attempts that failed", self.failures.clone());
        r.register("standings", "Generations by earlier refusals", self.standings.clone());
        r.register("retries", "Attempts after a request's first one", self.retries.clone());
        r.register("moves", "Streams moved around a lost stage", self.moves.clone());
        r.register("doubts", "Endpoints found not to work", self.unhealthy.clone());
        r.register("quarantines", "Quarantined prompt parts", self.quarantines.clone());
        r.register("holds", "Requests held that crash endpoints", self.holds.clone());
        r.register("statements", "Statements of endpoints by kind", self.statements.clone());
        r.register("contacts", "Probes of silent endpoints by result", self.contacts.clone());
        r.register("permits", "Permits for endpoints with a limit", self.permits.clone());
        r.register("orders", "Orders to endpoints by answer", self.orders.clone());
        r.register("plans", "Plans taken over", self.plans.clone());
        r.register("store_failures", "Failed calls to the store", self.store_failures.clone());
        r.register("event_loop_blocked", "Work that blocked the event loop", self.blocked.clone());
        r.register(
            "registrations_skipped",
            "Unusable registrations",
            self.skipped_registrations.clone(),
        );
        r.register("listings_outdated", "Listings ignored as old", self.outdated_listings.clone());
        r.register("first_event_seconds", "Arrival to first event", self.first_event.clone());
        r.register("pause_seconds", "Between two events of a stream", self.pause.clone());
        r.register("answer_seconds", "Arrival to end of the answer", self.answer.clone());
        r.register("replan_seconds", "Need to plan in force", self.replan.clone());
        r.register("store_call_seconds", "Calls to the store", self.store_call.clone());
        r.register("table_version", "Routing table in force", self.table_version.clone());
        r.register("usable_chains", "Chains that can be used", self.chains.clone());
    }

    /// Adds one to the counter of a reason.
    pub fn count(family: &Reasons, reason: &str) {
        family.get_or_create(&Reason { reason: reason.to_owned() }).inc();
    }

    /// Records a duration in a histogram.
    pub fn time(histogram: &Histogram, duration: Duration) {
        histogram.observe(duration.as_secs_f64());
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if text::encode(&mut text, &self.registry).is_err() {
            log::error!("encoding the metrics as text failed");
        }
        text
    }
}

/// Returns the headers of an answer with metrics.
pub fn headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    headers
}
