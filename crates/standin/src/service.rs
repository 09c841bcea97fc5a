//! A plain service that counts how often each call ran, so that tests find lost and repeated calls.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::StatusCode;
use oriole_macros::data;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::fault::Switch;
use crate::http::{self, Call, Reply};

/// Counts how often each call ran; usable from any thread. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Record {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Record {
    /// Returns how often the call with this id ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.lock().get(id).copied().unwrap_or_default()
    }

    /// Returns the ids of the calls that ran more than once.
    pub fn duplicates(&self) -> Vec<String> {
        self.lock().iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of runs of all calls together.
    pub fn total(&self) -> u64 {
        self.lock().values().map(|runs| u64::from(*runs)).sum()
    }

    fn add(&self, id: &str) -> u32 {
        let mut runs = self.lock();
        let runs = runs.entry(id.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u32>> {
        // Each change of the map is one operation, so a poisoned lock can still be used.
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The JSON body of an answer.
#[data]
pub struct Answer {
    /// Id of the call.
    pub id: String,
    /// How often the call has run, including this run.
    pub runs: u32,
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
}

/// The member of a request body that identifies the call.
#[data]
struct Body {
    id: String,
}

/// Serves the service until `switch` makes it crash. Each call takes `delay`.
pub async fn serve(listener: TcpListener, delay: Duration, switch: Switch, record: Record) {
    let faults = switch.clone();
    let handler = move |call| answer(call, delay, faults.clone(), record.clone());
    http::serve(listener, switch, handler).await;
}

async fn answer(call: Call, delay: Duration, switch: Switch, record: Record) -> Reply {
    switch.wait_while_stalled().await;
    if switch.take_failure() {
        return Reply::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let id = call_id(&call);
    let runs = record.add(&id);
    sleep(switch.scale(delay)).await;
    if switch.take_lost_reply() {
        return Reply::Disconnect;
    }
    let answer = Answer { id, runs, method: call.method.to_string(), path: call.path };
    Reply::json(StatusCode::OK, &answer)
}

/// Returns the member `id` of a JSON body, or, without one, the method, path and body as text.
fn call_id(call: &Call) -> String {
    match call.json::<Body>() {
        Ok(body) => body.id,
        Err(_) => {
            format!("{} {} {}", call.method, call.path, String::from_utf8_lossy(&call.body))
        }
    }
}
