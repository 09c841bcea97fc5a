//! A list of live and leaving hosts that lags behind what happens.

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

/// The hosts, usable from any thread. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    visible: BTreeMap<name::Host, Listing>,
    pending: Vec<(Instant, name::Host, Option<Listing>)>,
}

impl Hosts {
    /// Sets the time after which later changes show.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Lists a host, or takes it off the list; shows after the lag.
    pub fn set(&self, host: name::Host, listing: Option<Listing>) {
        let mut state = self.lock();
        let due = Instant::now() + state.lag;
        state.pending.push((due, host, listing));
    }

    /// What the list shows now.
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
        // Each change of the state is whole, even if a holder panicked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves the list until the switch tells it to die.
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
