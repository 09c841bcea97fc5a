//! The plan in force, and what the store holds of it.

use oriole_core::fleet::Topic;
use oriole_core::placement::Plan;
use oriole_core::placement::stored::Stored;

use super::{MAX_KEPT_PLANS, State};

impl State {
    /// Puts a plan in force if it is newer, and returns whether it is.
    ///
    /// The plan in force may also have been written to the store again, at a later position.
    pub fn adopt_plan(&self, plan: Plan) -> bool {
        let mut inner = self.inner.borrow_mut();
        let current = inner.plans.first_mut();
        if current.as_ref().is_some_and(|current| !plan.is_newer_than(current)) {
            return false;
        }
        let chains = plan.services.values().map(Vec::len).sum::<usize>();
        let (number, era, revision) = (plan.number, plan.position.era(), plan.position.revision());
        match current.filter(|c| c.number == plan.number && c.services == plan.services) {
            Some(current) => {
                log::info!(number, era, revision; "plan in force was written again");
                current.position = plan.position;
            }
            None => {
                log::info!(number, era, revision, chains; "plan in force");
                self.metrics.plans.inc();
                inner.plans.insert(0, plan);
                inner.plans.truncate(MAX_KEPT_PLANS);
            }
        }
        drop(inner);
        self.lags.borrow_mut().remove(&Topic::Plan);
        self.refresh();
        true
    }

    /// Records what the store holds of the plan, unless that is of an older era than what is known.
    pub fn record_stored_plan(&self, stored: Stored) {
        if self.stored_plan.get().is_none_or(|known| !stored.is_outdated(&known)) {
            self.stored_plan.set(Some(stored));
        }
    }

    /// Returns the plan in force if the store has lost it.
    pub fn lost_plan(&self) -> Option<Plan> {
        let stored = self.stored_plan.get()?;
        let inner = self.inner.borrow();
        inner.plans.first().filter(|plan| stored.lacks(plan)).cloned()
    }

    /// Returns the revision on the condition of which a newer plan is written to the store.
    pub fn expected_plan_revision(&self) -> u64 {
        let inner = self.inner.borrow();
        let plan = inner.plans.first();
        match self.stored_plan.get() {
            Some(stored) => stored.expected_revision(plan),
            None => plan.map_or(0, |p| p.position.revision()),
        }
    }
}
