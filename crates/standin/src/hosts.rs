//! The platform's list of live and leaving hosts. Changes show in the list only after a lag.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::{Method, StatusCode};
use oriole_adapter::hosts::{List, PATH};
use oriole_core::membership::Listing;
use oriole_core::name;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::fault::Switch;
use crate::http::{self, Call, Reply};

/// The listed hosts, usable from any thread. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    /// The list as callers see it, without the changes that are not due yet.
    visible: BTreeMap<name::Host, Listing>,
    /// Changes that are not applied yet, each with the time at which it is due.
    pending: Vec<(Instant, name::Host, Option<Listing>)>,
}

impl Hosts {
    /// Sets the lag of subsequent changes.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Lists a host, or removes it if `listing` is `None`; takes effect after the lag.
    pub fn set(&self, host: name::Host, listing: Option<Listing>) {
        let mut state = self.lock();
        let due = Instant::now() + state.lag;
        state.pending.push((due, host, listing));
    }

    /// Applies the changes that are due and returns the list.
    pub fn list(&self) -> List {
        let mut state = self.lock();
        let now = Instant::now();
        let pending = std::mem::take(&mut state.pending);
        for (due, host, listing) in pending {
            if due > now {
                state.pending.push((due, host, listing));
                continue;
            }
            match listing {
                Some(listing) => state.visible.insert(host, listing),
                None => state.visible.remove(&host),
            };
        }
        List { hosts: state.visible.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No panic leaves the state half changed, so a poisoned lock can still be used.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves the list until `switch` makes it crash.
pub async fn serve(listener: TcpListener, hosts: Hosts, switch: Switch) {
    let faults = switch.clone();
    let handler = move |call| answer(call, hosts.clone(), faults.clone());
    http::serve(listener, switch, handler).await;
}

async fn answer(call: Call, hosts: Hosts, switch: Switch) -> Reply {
    switch.wait_while_stalled().await;
    if switch.take_failure() {
        return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if call.method != Method::GET || call.path != PATH {
        return Reply::status(StatusCode::NOT_FOUND);
    }
    let reply = Reply::json(StatusCode::OK, &hosts.list());
    if switch.take_lost_reply() { Reply::Disconnect } else { reply }
}
