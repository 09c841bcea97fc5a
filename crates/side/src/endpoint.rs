//! Adapters through which a side uses its endpoints.

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

/// Maximum time for an engine to run one batch.
const BATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time for an engine to free sequences. It is short because it delays the next batch.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between reads of an engine's load and cache events, and the timeout of each read.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sends events to the state machine of the side.
pub(crate) type EventSender = mpsc::UnboundedSender<Event>;

/// The adapter of one endpoint. Dropping it stops its tasks once they have run the jobs queued.
pub(crate) struct Adapter {
    address: SocketAddr,
    client: Client,
}

enum Client {
    Engine(mpsc::UnboundedSender<Job>),
    Service(Rc<service::Client>),
}

/// A job for an engine. Jobs run in the order in which they were queued.
pub(crate) enum Job {
    /// Runs a batch of steps.
    Run(Batch),
    /// Frees the KV cache of a sequence.
    Release(String),
}

impl Adapter {
    /// Starts the adapter of the endpoint at `address`.
    pub(crate) fn start(
        name: &name::Endpoint,
        kind: &Kind,
        address: SocketAddr,
        event_sender: EventSender,
    ) -> Self {
        let Kind::Engine { .. } = kind else {
            let client = Client::Service(Rc::new(service::Client::new(address)));
            return Self { address, client };
        };
        let (jobs, queue) = mpsc::unbounded_channel();
        let client = engine::Client::new(address);
        actix_rt::spawn(observe(
            name.clone(),
            client.clone(),
            jobs.downgrade(),
            event_sender.clone(),
        ));
        actix_rt::spawn(run_jobs(name.clone(), client, queue, event_sender));
        Self { address, client: Client::Engine(jobs) }
    }

    /// Returns the address of the endpoint.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a job for an engine; does nothing for a plain service.
    pub(crate) fn push(&self, job: Job) {
        if let Client::Engine(jobs) = &self.client {
            // The receiving task ends only when this adapter is dropped.
            let _ = jobs.send(job);
        }
    }

    /// Calls a plain service in a separate task, within `timeout`; does nothing for an engine.
    pub(crate) fn call(&self, call: Call, timeout: Duration, event_sender: EventSender) {
        let Client::Service(client) = &self.client else { return };
        let client = client.clone();
        actix_rt::spawn(async move {
            let answer = client.call(&call, timeout).await;
            let answer = answer.map_err(|e| if e.is_not_run() { Ran::No } else { Ran::Unknown });
            let (endpoint, request) = (call.endpoint, call.request);
            // The send fails if the process has stopped.
            let _ = event_sender.send(Event::CallFinished { endpoint, request, answer });
        });
    }
}

/// Runs an engine's jobs one after the other. Consecutive releases are sent together.
async fn run_jobs(
    endpoint: name::Endpoint,
    client: engine::Client,
    mut queue: mpsc::UnboundedReceiver<Job>,
    event_sender: EventSender,
) {
    let mut next = queue.recv().await;
    while let Some(job) = next.take() {
        match job {
            Job::Run(batch) => {
                let outcomes = client.steps(&batch, BATCH_TIMEOUT).await.ok();
                let outcomes = outcomes.map(|outcomes| outcomes.outcomes);
                // The send fails if the process has stopped.
                let _ = event_sender
                    .send(Event::BatchFinished { endpoint: endpoint.clone(), outcomes });
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
                // Failed releases are ignored: the engine evicts the sequences itself, only later.
                join_all(sequences.iter().map(|s| client.free(s, RELEASE_TIMEOUT))).await;
            }
        }
        if next.is_none() {
            next = queue.recv().await;
        }
    }
}

/// Reads the load and the cache events of an engine regularly until its adapter is dropped.
async fn observe(
    endpoint: name::Endpoint,
    client: engine::Client,
    jobs: mpsc::WeakUnboundedSender<Job>,
    event_sender: EventSender,
) {
    let mut last_event = 0;
    while jobs.upgrade().is_some() {
        if let Ok(load) = client.load(OBSERVE_INTERVAL).await {
            let free_tokens = load.total_tokens.saturating_sub(load.used_tokens);
            let mut stored_prefixes = Vec::new();
            if let Ok(events) = client.cache_events(last_event, OBSERVE_INTERVAL).await {
                last_event = events.last;
                stored_prefixes = events.stored;
            }
            // The send fails if the process has stopped.
            let _ = event_sender.send(Event::EngineObserved {
                endpoint: endpoint.clone(),
                free_tokens,
                stored_prefixes,
            });
        }
        tokio::time::sleep(OBSERVE_INTERVAL).await;
    }
}
