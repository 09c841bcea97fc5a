//! Bounds the connections of one listener: one that waits for a request is closed when too many are open.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use oriole_core::forward::connections::{self, Connections as Table, Key, Phase};

use crate::clock::Clock;
use crate::eviction::{self, Eviction, Holder};

/// The connections of one listener.
pub struct Connections {
    clock: Clock,
    table: RefCell<Table>,
    /// Dropped when the connection must be closed.
    holders: RefCell<BTreeMap<Key, Holder>>,
}

/// An open connection, which counts until this is dropped.
pub struct Connection {
    connections: Rc<Connections>,
    key: Key,
}

/// The result of admitting a connection.
pub enum Admission {
    /// It is admitted. The second part tells when it must be closed.
    Admitted(Connection, Eviction),
    /// Likewise, and another one is closed for it.
    InPlaceOfOther(Connection, Eviction),
    /// There is no room.
    Full,
}

impl Connections {
    /// Allows `max_count` connections at the same time.
    pub fn new(max_count: usize, clock: Clock) -> Rc<Self> {
        let table = RefCell::new(Table::new(max_count));
        Rc::new(Self { clock, table, holders: RefCell::default() })
    }

    /// Allows any number of connections, for a server whose clients are all our own.
    pub fn unbounded() -> Rc<Self> {
        Self::new(usize::MAX, Clock::start())
    }

    /// Returns whether the next connection takes the place of another one.
    pub fn is_full(&self) -> bool {
        self.table.borrow().is_full()
    }

    /// Admits a new connection, for which another one may be closed.
    pub fn admit(self: &Rc<Self>) -> Admission {
        let admission = self.table.borrow_mut().admit(self.clock.now());
        let (key, evicted) = match admission {
            connections::Admission::Admitted(key) => (key, None),
            connections::Admission::InPlaceOf(key, evicted) => (key, Some(evicted)),
            connections::Admission::Full => return Admission::Full,
        };
        let (holder, eviction) = eviction::channel();
        let mut holders = self.holders.borrow_mut();
        holders.insert(key, holder);
        let connection = Connection { connections: self.clone(), key };
        match evicted.and_then(|evicted| holders.remove(&evicted)) {
            Some(_) => Admission::InPlaceOfOther(connection, eviction),
            None => Admission::Admitted(connection, eviction),
        }
    }
}

impl Connection {
    /// Records that a complete request is being served.
    pub fn begin_serving(&self) {
        self.connections.table.borrow_mut().set_phase(self.key, Phase::Serving);
    }

    /// Records that the next request is awaited.
    pub fn begin_waiting(&self) {
        let phase = Phase::Waiting(self.connections.clock.now());
        self.connections.table.borrow_mut().set_phase(self.key, phase);
    }
}

/// A request that is being served on a connection, until this is dropped.
pub struct Serving(Rc<Connection>);

impl Serving {
    /// Records that a complete request is being served.
    pub fn begin(connection: &Rc<Connection>) -> Self {
        connection.begin_serving();
        Self(connection.clone())
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.begin_waiting();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().end(self.key);
        self.connections.holders.borrow_mut().remove(&self.key);
    }
}
