//! Adapters of the endpoints of one side.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use oriole_adapter::{engine, service};
use oriole_core::config::Kind;
use oriole_core::engine::Batch;
use oriole_core::message::Call;
use oriole_core::name;
use oriole_core::request::Ran;
use oriole_core::side::Event;
use tokio::sync::mpsc;

/// Longest time that an engine may take for one batch.
const BATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time that an engine may take to free sequences; it delays the next batch.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which an engine is asked for its load and its cache events.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sends events to the process.
pub(crate) type Results = mpsc::UnboundedSender<Event>;

/// The adapter of one endpoint. Dropping it ends its tasks.
pub(crate) struct Adapter {
    address: SocketAddr,
    client: Client,
}

enum Client {
    Engine(mpsc::UnboundedSender<Job>),
    Service(Rc<service::Client>),
}

/// What an engine is to do, in this order.
pub(crate) enum Job {
    /// Runs a batch.
    Run(Batch),
    /// Frees a sequence.
    Release(String),
}

impl Adapter {
    /// Starts the adapter of the endpoint at `address`.
    pub(crate) fn start(
        name: &name::Endpoint,
        kind: &Kind,
        address: SocketAddr,
        results: Results,
    ) -> Self {
        let Kind::Engine { .. } = kind else {
            let client = Client::Service(Rc::new(service::Client::new(address)));
            return Self { address, client };
        };
        let (jobs, queue) = mpsc::unbounded_channel();
        let client = engine::Client::new(address);
        actix_rt::spawn(observe(name.clone(), client.clone(), jobs.downgrade(), results.clone()));
        actix_rt::spawn(work(name.clone(), client, queue, results));
        Self { address, client: Client::Engine(jobs) }
    }

    /// Where the endpoint listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives an engine something to do.
    pub(crate) fn push(&self, job: Job) {
        if let Client::Engine(jobs) = &self.client {
            // The task ends only when this adapter is dropped.
            let _ = jobs.send(job);
        }
    }

    /// Calls a plain service.
    pub(crate) fn call(&self, call: Call, limit: Duration, results: Results) {
        let Client::Service(client) = &self.client else { return };
        let client = client.clone();
        actix_rt::spawn(async move {
            let answer = client.call(&call, limit).await;
            let answer = answer.map_err(|e| if e.is_not_run() { Ran::No } else { Ran::Unknown });
            let (endpoint, request) = (call.endpoint, call.request);
            // The process may have stopped meanwhile.
            let _ = results.send(Event::CallFinished { endpoint, request, answer });
        });
    }
}

/// Carries out an engine's jobs one after the other.
async fn work(
    endpoint: name::Endpoint,
    client: engine::Client,
    mut queue: mpsc::UnboundedReceiver<Job>,
    results: Results,
) {
    let mut next = queue.recv().await;
    while let Some(job) = next.take() {
        match job {
            Job::Run(batch) => {
                let outcomes = client.steps(&batch, BATCH_TIMEOUT).await.ok();
                let outcomes = outcomes.map(|outcomes| outcomes.outcomes);
                // The process may have stopped meanwhile.
                let _ = results.send(Event::BatchFinished { endpoint: endpoint.clone(), outcomes });
            }
            Job::Release(first) => {
                let mut sequences = vec![first];
                while let Ok(job) = queue.try_recv() {
                    match job {
                        Job::Release(sequence) => sequences.push(sequence),
                        run @ Job::Run(_) => {
                            next = Some(run);
                            break;
                        }
                    }
                }
                // An engine evicts a sequence that it was not told to free, only later.
                join_all(sequences.iter().map(|s| client.free(s, RELEASE_TIMEOUT))).await;
            }
        }
        if next.is_none() {
            next = queue.recv().await;
        }
    }
}

/// Asks an engine for its load and cache events until its adapter is dropped.
async fn observe(
    endpoint: name::Endpoint,
    client: engine::Client,
    alive: mpsc::WeakUnboundedSender<Job>,
    results: Results,
) {
    let mut after = 0;
    while alive.upgrade().is_some() {
        if let Ok(load) = client.load(OBSERVE_INTERVAL).await {
            let free_tokens = load.total_tokens.saturating_sub(load.used_tokens);
            let mut stored_prefixes = Vec::new();
            if let Ok(events) = client.cache_events(after, OBSERVE_INTERVAL).await {
                after = events.last;
                stored_prefixes = events.stored;
            }
            // The process may have stopped meanwhile.
            let _ = results.send(Event::EngineObserved {
                endpoint: endpoint.clone(),
                free_tokens,
                stored_prefixes,
            });
        }
        tokio::time::sleep(OBSERVE_INTERVAL).await;
    }
}
