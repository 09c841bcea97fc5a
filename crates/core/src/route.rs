//! The operator's routing table, which maps the host and path of a request to a service and the
//! rules under which it is handled.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_macros::{data, key};

use crate::{name, placement};

/// How often a request may run, and the form of its answer.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming,
}

/// A service that takes a weighted share of a route's requests.
#[data]
pub struct Share {
    /// The service that takes the requests.
    pub service: name::Service,
    /// Its weight relative to the other shares of the route.
    pub weight: u32,
}

/// How requests to one host and path prefix are handled.
#[data]
pub struct Route {
    /// The operator's name for the route, for logs.
    pub name: String,
    /// Path prefix that starts and ends with a slash.
    pub prefix: String,
    /// How often a request may run, and the form of its answer.
    pub kind: Kind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Target time until the answer, or until the first event of a stream.
    pub objective: Duration,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// The services that take its requests; never empty.
    pub shares: Vec<Share>,
    /// Most endpoints on which one request may be attempted.
    pub max_attempts: u32,
    /// Whether requests are allowed without a key.
    pub public: bool,
    /// Whether a broken stream may resume on another endpoint.
    pub resumable: bool,
    /// Longest time between events of a stream that is on time; `None` if there is no bound.
    pub pause: Option<Duration>,
}

impl Route {
    /// Returns whether a request may run again after an attempt with unknown outcome.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Streaming => self.resumable,
            Kind::NonIdempotent => false,
        }
    }

    /// Picks a service by weight, using the random number `random`; `None` if there are no shares.
    pub fn pick_service(&self, random: u64) -> Option<&name::Service> {
        let total = self.shares.iter().map(|s| u64::from(s.weight)).sum::<u64>();
        let mut left = random.checked_rem(total).unwrap_or_default();
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        self.shares.first().map(|s| &s.service)
    }
}

/// A service that requests are routed to.
#[data]
pub struct Service {
    /// Most connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Path at which its endpoints say whether they work; `None` if the operator names none.
    #[serde(default)]
    pub health_path: Option<String>,
    /// The model that is split over its endpoints, or `None` if it is not served by chains.
    pub model: Option<placement::Model>,
}

/// A workspace as the routing table describes it.
#[data]
pub struct Workspace {
    /// The operator's name for it, which is passed on to endpoints.
    pub name: name::Workspace,
    /// Priority of its requests, which takes precedence over the route's.
    pub priority: Option<u8>,
}

/// Limits on the size of callers' requests and on idle connections.
#[data]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time in which a caller must have sent the head of a request.
    pub head_timeout: Duration,
    /// Longest time between two requests on one connection.
    pub idle_timeout: Duration,
}

/// One version of the routing table.
#[data]
pub struct Table {
    /// Version of the table, which increases with each change.
    pub version: u64,
    /// Routes by host name, those with the longest prefix first.
    pub hosts: BTreeMap<String, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Workspaces by key; `None` if requests need no keys.
    pub keys: Option<BTreeMap<String, Workspace>>,
}

/// Why the table does not allow a request.
#[key]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    Unauthorized,
}

impl Table {
    /// Returns the services with a model whose streaming routes differ in priority, so that their requests compete.
    pub fn ranked_services(&self) -> BTreeSet<name::Service> {
        let mut priorities: BTreeMap<&name::Service, BTreeSet<u8>> = BTreeMap::new();
        for route in self.hosts.values().flatten().filter(|r| r.kind == Kind::Streaming) {
            for share in &route.shares {
                priorities.entry(&share.service).or_default().insert(route.priority);
            }
        }
        let has_model = |s: &name::Service| self.services.get(s).is_some_and(|s| s.model.is_some());
        let ranked = priorities.into_iter().filter(|(s, p)| p.len() > 1 && has_model(s));
        ranked.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the route of a request to `host` (with or without a port) and `path`, or `None` if
    /// no route matches. Looks the host up as given, then in lower case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the route of a request and the workspace of its key.
    ///
    /// There is no workspace if the table has no keys, or if the route is public and the key is
    /// missing or unknown.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Workspace>), Denial> {
        let route = self.find(host, path).ok_or(Denial::NoRoute)?;
        let Some(keys) = &self.keys else {
            return Ok((route, None));
        };
        let workspace = key.and_then(|key| keys.get(key));
        if workspace.is_none() && !route.public {
            return Err(Denial::Unauthorized);
        }
        Ok((route, workspace))
    }
}
