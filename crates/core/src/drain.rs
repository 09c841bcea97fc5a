//! Tracks whether an endpoint accepts new work.
//!
//! Several sources may drain an endpoint at once. It accepts new work only when none of them does.

use std::collections::BTreeSet;

use oriole_macros::key;

/// Source of a drain. Each source ends only its own drain.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The process received a signal to stop.
    Signal,
    /// An operator requested it from this side.
    Operator,
    /// The configuration orders a drain.
    Configuration,
    /// The host list shows the host as leaving.
    HostList,
    /// An order is about to change the layers or the model version that the engine holds.
    Order,
}

/// The causes for which an endpoint is draining. It accepts new work while there are none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drain {
    causes: BTreeSet<Cause>,
}

impl Drain {
    /// Sets or clears one cause. Returns whether this opened or closed the endpoint.
    pub fn set(&mut self, cause: Cause, leaving: bool) -> bool {
        let before = self.is_open();
        if leaving {
            self.causes.insert(cause);
        } else {
            self.causes.remove(&cause);
        }
        before != self.is_open()
    }

    /// Returns whether a cause is set.
    pub fn has(&self, cause: Cause) -> bool {
        self.causes.contains(&cause)
    }

    /// Returns whether the endpoint accepts new work.
    pub fn is_open(&self) -> bool {
        self.causes.is_empty()
    }

    /// Returns the causes that are set, in the order of [`Cause`].
    pub fn causes(&self) -> impl Iterator<Item = Cause> + '_ {
        self.causes.iter().copied()
    }
}
