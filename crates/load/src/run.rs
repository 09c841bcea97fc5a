//! Runs streams of open-loop arrivals on several threads.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use tokio::sync::mpsc;

use crate::arrivals::Arrivals;
use crate::caller::{Answer, Caller, Generation};
use crate::tally::{Durations, Tally};

/// Entries that the balancer sends arrivals to, usable from any thread. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    entries: Arc<RwLock<Vec<SocketAddr>>>,
}

impl Balancer {
    /// A balancer before `entries`.
    pub fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries: Arc::new(RwLock::new(entries)) }
    }

    /// Sends further arrivals to `entries`.
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

/// Arrivals of one workspace.
#[derive(Clone, Debug)]
pub struct Workload {
    /// What is asked for; the content is drawn anew for each arrival.
    pub generation: Generation,
    /// Words of each prompt.
    pub prompt_words: usize,
    /// Mean arrivals a second.
    pub per_second: f64,
    /// Time for which they come.
    pub duration: Duration,
    /// Start of the random numbers.
    pub seed: u64,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the stream.
    pub workload: usize,
    /// The request.
    pub generation: Generation,
    /// The entry it was sent to.
    pub entry: SocketAddr,
    /// What the caller received.
    pub answer: Answer,
}

/// A load that runs.
pub struct Run {
    /// When it started.
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
    /// Starts `streams` on `threads` threads, each arrival at the entry that `balancer` picks.
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

    /// Waits until all requests have ended.
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
            // The receiver is gone only when the run was dropped.
            let _ = sender.send(Sample { workload: index, generation, entry, answer });
        });
    }
}

/// Counts and times of samples.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Counts.
    pub tally: Tally,
    /// Times to the first token.
    pub first_token: Durations,
    /// Times between tokens.
    pub inter_token: Durations,
}

/// Sums up the samples; only tokens that arrived within `window` count for the times.
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
