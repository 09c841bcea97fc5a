//! Whether an endpoint takes new work.

use std::collections::BTreeSet;

use oriole_macros::key;

/// Who says that an endpoint is leaving. Each takes back only what it said itself.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The process was told to stop.
    Signal,
    /// An operator told this side.
    Operator,
    /// The configuration orders a drain.
    Configuration,
    /// The host list says that the host leaves.
    HostList,
    /// The engine is being given another role.
    Order,
}

/// The causes for which an endpoint is leaving; it takes new work while there are none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drain {
    causes: BTreeSet<Cause>,
}

impl Drain {
    /// Sets or clears one cause. Returns whether that opened or closed the endpoint.
    pub fn set(&mut self, cause: Cause, leaving: bool) -> bool {
        let before = self.is_open();
        if leaving {
            self.causes.insert(cause);
        } else {
            self.causes.remove(&cause);
        }
        before != self.is_open()
    }

    /// Whether a cause is set.
    pub fn has(&self, cause: Cause) -> bool {
        self.causes.contains(&cause)
    }

    /// Whether new work is taken.
    pub fn is_open(&self) -> bool {
        self.causes.is_empty()
    }

    /// The causes, for operators.
    pub fn causes(&self) -> impl Iterator<Item = Cause> + '_ {
        self.causes.iter().copied()
    }
}
