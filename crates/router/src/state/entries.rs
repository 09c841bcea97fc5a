//! What this entry knows of the other entries, and its shares of what they use together.

use std::time::Duration;

use oriole_core::forward::budget::{Budget, Pass, Standing};
use oriole_core::forward::stop;
use oriole_core::name;

use super::State;

impl State {
    /// Returns the time after which a caller that this stopping entry turns away may come back.
    pub fn retry_after_stop(&self) -> Duration {
        let peer = self.inner.borrow().liveness.ready_in(self.now());
        stop::retry_after(self.ready_in(), peer, rand::random())
    }

    /// Returns the time after which this entry gets new connections.
    pub fn ready_in(&self) -> Duration {
        stop::ready_in(match self.exit_deadline.get() {
            Some(deadline) => stop::Phase::Stopping(deadline.since(self.now())),
            None if self.announced.get() => stop::Phase::Ready,
            None => stop::Phase::Starting,
        })
    }

    /// Returns the number of known entries, this one included.
    pub fn entry_count(&self) -> usize {
        let inner = self.inner.borrow();
        inner.peers.len().max(inner.in_flight.peer_count(self.now())) + 1
    }

    /// Returns the number of other entries for which `is_before` holds, and which act before this
    /// one where one of them suffices.
    pub fn rank(&self, is_before: impl Fn(&name::Host) -> bool) -> usize {
        let inner = self.inner.borrow();
        inner.liveness.rank(inner.peers.keys(), is_before, self.now())
    }

    /// Returns the [`State::rank`] of this entry by the names of the hosts.
    pub fn rank_by_name(&self) -> usize {
        self.rank(|host| *host < self.host)
    }

    /// Returns the [`State::rank`] of this entry for work on an endpoint.
    ///
    /// Ranks by a hash of the host and the endpoint, which spreads the endpoints over the entries.
    pub fn rank_for(&self, endpoint: &name::Endpoint) -> usize {
        let own = hash(&self.host, endpoint);
        self.rank(|host| hash(host, endpoint) < own)
    }

    /// Returns the entry that acts for all on an endpoint: the one whose [`State::rank_for`] is 0.
    pub fn first_for(&self, endpoint: &name::Endpoint) -> name::Host {
        let inner = self.inner.borrow();
        let others = inner.liveness.acting(inner.peers.keys(), self.now());
        let all = others.into_iter().chain([&self.host]);
        let first = all.min_by_key(|host| hash(host, endpoint));
        first.unwrap_or(&self.host).clone()
    }

    /// Returns what decides how much of the fixed part of retry budgets this entry may use.
    fn standing(&self) -> Standing {
        let (now, window) = (self.now(), self.retry_window());
        let inner = self.inner.borrow();
        let sharing = || inner.presence.sharing(inner.peers.keys(), window, now);
        let entries = if inner.knows_peers { sharing() } else { None };
        Standing { age: now.since(self.started), entries }
    }

    fn retry_window(&self) -> Duration {
        self.tunables.borrow().retries.bound().window
    }

    /// Records that another entry is registered or has sent gossip.
    pub fn record_present(&self, host: name::Host) {
        let (now, window) = (self.now(), self.retry_window());
        self.inner.borrow_mut().presence.record(host, window, now);
    }

    /// Forgets that an entry is registered; it was until now.
    pub fn forget_registration(&self, host: &name::Host) {
        self.record_present(host.clone());
        self.inner.borrow_mut().peers.remove(host);
    }

    /// Forgets which entries are registered; they were until now.
    pub fn forget_registrations(&self) {
        let hosts: Vec<name::Host> = self.inner.borrow().peers.keys().cloned().collect();
        hosts.iter().for_each(|host| self.forget_registration(host));
    }

    /// Takes a retry out of this entry's share of the service's retry budget.
    ///
    /// Returns `None`, and takes nothing, if the share is used up.
    pub fn take_retry(&self, service: &name::Service) -> Option<Pass> {
        let (now, standing) = (self.now(), self.standing());
        let pass = self.with_budget(service, |budget| budget.try_take(standing, now))?;
        log::info!(service = service.as_str(), standing:?; "retry");
        self.metrics.retries.inc();
        Some(pass)
    }

    /// Counts a caller's request, which adds to the retry budget of the service, and returns the pass of its
    /// first attempt.
    pub fn count_request(&self, service: &name::Service) -> Pass {
        let now = self.now();
        self.metrics.requests.inc();
        self.with_budget(service, |budget| budget.record_request(now))
    }

    /// Records that an attempt of a request to the service is sent.
    pub fn spend(&self, service: &name::Service, pass: Pass) {
        let now = self.now();
        self.with_budget(service, |budget| budget.spend(pass, now));
    }

    fn with_budget<T>(&self, service: &name::Service, work: impl FnOnce(&mut Budget) -> T) -> T {
        let bound = self.tunables.borrow().retries.bound();
        let mut inner = self.inner.borrow_mut();
        work(inner.budgets.entry(service.clone()).or_insert_with(|| Budget::new(bound)))
    }
}

fn hash(host: &name::Host, endpoint: &name::Endpoint) -> u64 {
    let bytes = host.as_str().bytes().chain(endpoint.as_str().bytes());
    bytes.fold(0_u64, |sum, b| (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
