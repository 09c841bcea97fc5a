//! Runs open-loop workloads on several threads and collects the answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use tokio::sync::mpsc;

use crate::arrivals::Arrivals;
use crate::caller::{Answer, Caller, Generation};
use crate::tally::{Durations, Tally};

/// A load balancer that spreads requests over entries at random. Clones share the entries, also
/// between threads.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    entries: Arc<RwLock<Vec<SocketAddr>>>,
}

impl Balancer {
    /// Creates a balancer in front of `entries`.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries: Arc::new(RwLock::new(entries)) }
    }

    /// Replaces the entries that further requests are sent to.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        if let Ok(mut current) = self.entries.write() {
            *current = entries;
        }
    }

    fn pick(&self, index: usize) -> Option<SocketAddr> {
        let entries = self.entries.read().ok()?;
        entries.get(index % entries.len().max(1)).copied()
    }
}

/// Requests of one workspace, sent at random times.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Template of the requests; each one gets a random prompt as its content.
    pub generation: Generation,
    /// Number of words in each prompt.
    pub prompt_words: usize,
    /// Mean number of requests per second.
    pub per_second: f64,
    /// Period in which requests are sent.
    pub duration: Duration,
    /// Seed of the arrival times and prompts.
    pub seed: u64,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the workload.
    pub workload: usize,
    /// The request.
    pub generation: Generation,
    /// Address of the entry that received the request.
    pub entry: SocketAddr,
    /// Answer that the caller received.
    pub answer: Answer,
}

/// Workloads that are running. Dropping it stops them.
pub struct Run {
    /// Time at which the workloads started.
    pub start: Instant,
    samples: mpsc::UnboundedReceiver<Sample>,
    threads: Vec<Arbiter>,
}

impl Drop for Run {
    fn drop(&mut self) {
        for thread in &self.threads {
            thread.stop();
        }
    }
}

impl Run {
    /// Starts `workloads` on `threads` threads; `balancer` picks the entry of each request.
    pub fn start(workloads: Vec<Workload>, balancer: &Balancer, threads: usize) -> Self {
        let start = Instant::now();
        let (sender, samples) = mpsc::unbounded_channel();
        let threads: Vec<Arbiter> = (0..threads.max(1)).map(|_| Arbiter::new()).collect();
        for (index, workload) in workloads.into_iter().enumerate() {
            let (balancer, sender) = (balancer.clone(), sender.clone());
            if let Some(thread) = threads.get(index % threads.len()) {
                thread.spawn_fn(move || {
                    actix_rt::spawn(run_workload(index, workload, balancer, sender, start));
                });
            }
        }
        Self { start, samples, threads }
    }

    /// Waits until all requests have ended; returns their samples in the order of their ends.
    pub async fn finish(mut self) -> Vec<Sample> {
        let mut samples = Vec::new();
        while let Some(sample) = self.samples.recv().await {
            samples.push(sample);
        }
        samples
    }
}

async fn run_workload(
    index: usize,
    workload: Workload,
    balancer: Balancer,
    sender: mpsc::UnboundedSender<Sample>,
    start: Instant,
) {
    let caller = Rc::new(Caller::new());
    let mut arrivals = Arrivals::new(workload.per_second, workload.seed);
    while let Some(at) = arrivals.next() {
        if at > workload.duration {
            return;
        }
        tokio::time::sleep_until((start + at).into()).await;
        let Some(entry) = balancer.pick(arrivals.index(usize::MAX)) else { continue };
        let generation = Generation {
            content: arrivals.prompt(workload.prompt_words),
            ..workload.generation.clone()
        };
        let (caller, sender) = (caller.clone(), sender.clone());
        actix_rt::spawn(async move {
            let answer = caller.generate(entry, &generation, |_, _| ()).await;
            // Sending fails only if the `Run` was dropped.
            let _ = sender.send(Sample { workload: index, generation, entry, answer });
        });
    }
}

/// Counts and latencies of samples.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Counts of requests by their outcome.
    pub tally: Tally,
    /// Times from sending a request to its first token.
    pub first_token: Durations,
    /// Times between two consecutive tokens of an answer.
    pub inter_token: Durations,
}

/// Summarizes the samples: counts all of them, and takes the latencies of tokens that arrived
/// within `window`.
pub fn summarize(samples: &[Sample], window: std::ops::Range<Instant>) -> Summary {
    let mut summary = Summary::default();
    for Sample { generation, answer, .. } in samples {
        summary.tally.add(generation, answer);
        if answer.token_times.first().is_some_and(|first| window.contains(first)) {
            summary.first_token.record(answer.first_token().unwrap_or_default());
        }
        for (_, gap) in answer.gaps().filter(|(end, _)| window.contains(end)) {
            summary.inter_token.record(gap);
        }
    }
    summary
}
