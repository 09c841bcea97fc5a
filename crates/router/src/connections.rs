//! Bounds the connections of one listener: one that waits for a request is closed when too many are open.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use oriole_adapter::eviction::{self, Eviction, Holder};
use oriole_core::forward::connections::{Admission, Connections as Table, Key, Phase};

use crate::metrics::Metrics;
use crate::state::Shared;

/// The connections of one listener.
pub struct Connections {
    state: Shared,
    table: RefCell<Table>,
    /// Dropped when the connection must be closed.
    holders: RefCell<BTreeMap<Key, Holder>>,
}

/// An open connection, which counts until this is dropped.
pub struct Connection {
    connections: Rc<Connections>,
    key: Key,
    eviction: Eviction,
}

impl Connections {
    /// Allows `max_count` connections at the same time.
    pub fn new(state: &Shared, max_count: usize) -> Rc<Self> {
        let table = RefCell::new(Table::new(max_count));
        Rc::new(Self { state: state.clone(), table, holders: RefCell::default() })
    }

    /// Returns whether the next connection takes the place of another one.
    pub fn is_full(&self) -> bool {
        self.table.borrow().is_full()
    }

    /// Admits a new connection, for which another one may be closed; `None` if there is no room.
    pub fn admit(self: &Rc<Self>) -> Option<Connection> {
        let key = match self.table.borrow_mut().admit(self.state.now()) {
            Admission::Admitted(key) => key,
            Admission::InPlaceOf(key, evicted) => {
                Metrics::count(&self.state.metrics.refused, "connection-closed");
                self.holders.borrow_mut().remove(&evicted);
                key
            }
            Admission::Full => {
                Metrics::count(&self.state.metrics.refused, "connections");
                return None;
            }
        };
        let (holder, eviction) = eviction::channel();
        self.holders.borrow_mut().insert(key, holder);
        Some(Connection { connections: self.clone(), key, eviction })
    }
}

impl Connection {
    /// Records that a complete request is being served.
    pub fn begin_serving(&self) {
        self.connections.table.borrow_mut().set_phase(self.key, Phase::Serving);
    }

    /// Records that the next request is awaited.
    pub fn begin_waiting(&self) {
        let phase = Phase::Waiting(self.connections.state.now());
        self.connections.table.borrow_mut().set_phase(self.key, phase);
    }

    /// Returns what tells that the connection must be closed.
    pub fn eviction(&mut self) -> &mut Eviction {
        &mut self.eviction
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().end(self.key);
        self.connections.holders.borrow_mut().remove(&self.key);
    }
}
