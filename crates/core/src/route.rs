//! The operator's routing table: which service a request goes to and what it may do there.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_macros::{data, key};

use crate::{name, placement};

/// What may be repeated of a request.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// The answer is a series of events.
    Streaming,
}

/// A share of a route's requests.
#[data]
pub struct Share {
    /// The service that takes the share.
    pub service: name::Service,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// How requests of one host and path prefix are handled.
#[data]
pub struct Route {
    /// The operator's name for the route, for logs.
    pub name: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time in which an answer (of a stream: its first event) has its full worth.
    pub objective: Duration,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// The services that take its requests; never empty.
    pub shares: Vec<Share>,
    /// Most endpoints that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub resumable: bool,
    /// Longest pause between events of an answer that is on time.
    pub pause: Option<Duration>,
}

impl Route {
    /// Whether a request may run again after a run of which the outcome is unknown.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Streaming => self.resumable,
            Kind::NonIdempotent => false,
        }
    }

    /// The service for a request, by a random number.
    pub fn service(&self, random: u64) -> Option<&name::Service> {
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
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// The model that its endpoints hold parts of, if it is served by chains.
    pub model: Option<placement::Model>,
}

/// A customer with its keys.
#[data]
pub struct Workspace {
    /// The operator's name, which endpoints are told.
    pub name: name::Workspace,
    /// Rank of its requests, before the route's.
    pub priority: Option<u8>,
}

/// What callers may send and how long they may stay idle.
#[data]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest time between requests of one connection.
    pub idle_timeout: Duration,
}

/// One version of the routing table.
#[data]
pub struct Table {
    /// Grows with each change.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub hosts: BTreeMap<String, Vec<Route>>,
    /// All services.
    pub services: BTreeMap<name::Service, Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Workspaces by key; none where keys are not asked for.
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
    /// The route for a request to `host` (with or without a port) and `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// The route of a request and the workspace that it counts for.
    pub fn admit(
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
