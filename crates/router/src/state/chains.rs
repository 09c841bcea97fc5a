//! Which chains can be used, by what the process knows.

use std::collections::BTreeMap;
use std::rc::Rc;

use oriole_core::forward::lane::{self, Source};

use super::State;

impl State {
    /// Works out anew which chains can be used, since something has changed.
    pub fn refresh(&self) {
        self.changes.set(self.changes.get() + 1);
        self.rebuild();
    }

    /// Works out anew which chains can be used where time alone may have changed that.
    pub fn tick(&self) {
        let is_settled = {
            let inner = self.inner.borrow();
            inner.view.is_settled(self.drain_grace(), self.now())
        };
        // The first tick after the last period has run out still counts.
        if is_settled && self.was_settled.replace(true) {
            return;
        }
        self.was_settled.set(is_settled);
        self.refresh();
    }

    fn rebuild(&self) {
        self.timed("chains", || self.rebuild_lanes());
        self.room.notify_waiters();
        self.changed.notify_waiters();
    }

    fn rebuild_lanes(&self) {
        let now = self.now();
        let grace = self.drain_grace();
        let mut inner = self.inner.borrow_mut();
        let Some(table) = inner.table.clone() else {
            return;
        };
        let mut all = BTreeMap::new();
        for (service, s) in &table.services {
            if let Some(model) = &s.model {
                let source = Source { model, service, view: &inner.view, grace, now };
                let lanes = lane::all(&source, &inner.plans);
                all.insert(service.clone(), Rc::new(lanes));
            }
        }
        if all != inner.lanes {
            for lane in all.values().flat_map(|l| l.iter()) {
                let (head, crossings, path) = (lane.head().as_str(), lane.crossings(), lane.path());
                log::info!(head, crossings, path = path.as_str(); "usable chain");
            }
        }
        let chains = all.values().map(|l| l.len()).sum::<usize>();
        self.metrics.chains.set(chains as i64);
        inner.lanes = all;
    }
}
