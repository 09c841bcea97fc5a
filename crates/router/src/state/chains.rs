//! Keeps the usable chains up to date with the routing table, the plans and the endpoints.

use std::collections::BTreeMap;
use std::rc::Rc;

use oriole_core::forward::chain::{self, Resolver};
use oriole_core::name;

use super::State;

impl State {
    /// Returns the number of usable chains of a service.
    pub fn chain_count(&self, service: &name::Service) -> usize {
        self.inner.borrow().chains.get(service).map_or(0, |chains| chains.len())
    }

    /// Rebuilds the usable chains after a change of the routing state, and wakes waiting requests.
    pub fn refresh(&self) {
        self.change_count.set(self.change_count.get() + 1);
        self.rebuild();
    }

    /// Rebuilds the usable chains if the passing of time may have changed them.
    ///
    /// Called at a fixed interval. Does nothing while no unhealthy, paused or draining period is
    /// running.
    pub fn tick(&self) {
        self.record_tick();
        let is_stable = {
            let inner = self.inner.borrow();
            inner.view.has_no_pending_expiry(self.drain_grace(), self.now())
        };
        // The first call after the last period has ended still rebuilds, since that changes the
        // result.
        if is_stable && self.was_stable.replace(true) {
            return;
        }
        self.was_stable.set(is_stable);
        self.refresh();
    }

    fn rebuild(&self) {
        self.timed("chains", || self.rebuild_chains());
        self.capacity_changed.notify_waiters();
        self.chains_changed.notify_waiters();
    }

    fn rebuild_chains(&self) {
        let now = self.now();
        let grace = self.drain_grace();
        let mut inner = self.inner.borrow_mut();
        let Some(table) = inner.table.clone() else {
            return;
        };
        let mut all = BTreeMap::new();
        for (service, s) in &table.services {
            if let Some(model) = &s.model {
                let resolver = Resolver { model, service, view: &inner.view, grace, now };
                let chains = chain::usable(&resolver, &inner.plans);
                all.insert(service.clone(), Rc::new(chains));
            }
        }
        if all != inner.chains {
            for chain in all.values().flat_map(|c| c.iter()) {
                let (head, crossings, path) =
                    (chain.head().as_str(), chain.crossings(), chain.path());
                log::info!(head, crossings, path = path.as_str(); "usable chain");
            }
        }
        let chains = all.values().map(|c| c.len()).sum::<usize>();
        self.metrics.chains.set(chains as i64);
        let previous = std::mem::replace(&mut inner.chains, all.clone());
        for (service, chains) in &all {
            let before = previous.get(service).map_or(&[][..], |c| c.as_slice());
            for key in chain::with_other_stages(before, chains) {
                inner.in_flight.forget_pauses(key, now);
            }
        }
    }
}
