//! What an entry knows of one endpoint: its speed, its load and what its prefix cache holds.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::config::Kind;
use crate::estimate::Excess;
use crate::membership::{Eligibility, FULL_WEIGHT};
use crate::message::{Hop, Load, Stage};
use crate::name;
use crate::plan::link;
use crate::report_interval::Intervals;
use crate::time::Instant;

/// Upper bound on the age of a load report on arrival.
const MAX_REPORT_LAG: Duration = Duration::from_millis(500);

/// Time after which a dispatch of this entry counts as run even without a report that includes it.
const DISPATCH_TTL: Duration = Duration::from_secs(2);

/// Time without observations in which the excess step time of an endpoint halves.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Most prefix hashes kept for each endpoint.
const MAX_PREFIXES: usize = 512;

/// Fraction of a hinted prefix that is assumed to be cached, since cache events come late and with
/// gaps.
const PREFIX_HIT_FRACTION: f64 = 0.7;

/// Configured speed and capacity of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Fixed time of one batch, without its prompt tokens, in microseconds.
    pub step_us: f64,
    /// Additional time of each prompt token, in microseconds.
    pub prompt_token_us: f64,
    /// Most sequences or calls in one batch.
    pub batch: f64,
    /// Most sequences held at once; unbounded for plain services.
    pub sequences: u32,
}

impl Speed {
    /// Returns the speed of an endpoint of this kind.
    pub fn new(kind: &Kind) -> Self {
        match kind {
            Kind::Engine { step_us, prompt_token_us, batch, sequences, .. } => Self {
                step_us: f64::from(*step_us),
                prompt_token_us: f64::from(*prompt_token_us),
                batch: f64::from((*batch).max(1)),
                sequences: *sequences,
            },
            Kind::Service { concurrency, .. } => Self {
                step_us: SERVICE_CALL_US,
                prompt_token_us: 0.0,
                batch: f64::from((*concurrency).max(1)),
                sequences: u32::MAX,
            },
        }
    }
}

/// Assumed time of a plain service's call before any was observed, in microseconds.
const SERVICE_CALL_US: f64 = 20_000.0;

/// The state of one endpoint as seen by an entry.
#[derive(Clone, Debug)]
pub struct Node {
    /// The stage that the endpoint can serve.
    pub stage: Stage,
    /// Its location, for link estimates.
    pub location: link::Location,
    /// Its configured speed.
    pub speed: Speed,
    /// Whether the configuration asks for it to be drained.
    pub draining: bool,
    /// What work its host may get.
    pub eligibility: Eligibility,
    /// Time until which the endpoint is used only if there are no others, because it failed.
    pub suspect_until: Instant,
    /// Time until which the endpoint is not used, because its host is unreachable.
    pub unreachable_until: Instant,
    /// Sequences of this entry in progress at the endpoint.
    pub in_flight: u32,
    report: Option<(Instant, Report)>,
    /// Time for which a load report is valid.
    pub report_ttl: Duration,
    dispatched: VecDeque<(Instant, u32)>,
    excess: Excess,
    prefixes: BTreeMap<u64, Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    open: bool,
    queued: u32,
    running: u32,
}

impl Node {
    /// Creates the state of an endpoint without any reports or observations.
    pub fn new(stage: Stage, location: link::Location, speed: Speed) -> Self {
        Self {
            stage,
            location,
            speed,
            draining: false,
            eligibility: Eligibility::Open(FULL_WEIGHT),
            suspect_until: Instant::default(),
            unreachable_until: Instant::default(),
            in_flight: 0,
            report: None,
            report_ttl: Intervals::default().lifetime,
            dispatched: VecDeque::new(),
            excess: Excess::default(),
            prefixes: BTreeMap::new(),
        }
    }

    /// Returns whether new work may be sent to the endpoint.
    pub fn is_usable(&self, now: Instant) -> bool {
        let open = self.fresh_report(now).is_none_or(|report| report.open);
        let stays = !matches!(self.eligibility, Eligibility::Leaving | Eligibility::Gone);
        open && stays && !self.draining && now >= self.unreachable_until
    }

    /// Returns its weight in sampling, at most [`FULL_WEIGHT`]; lower while its host is ramped up.
    pub fn weight(&self) -> u32 {
        match self.eligibility {
            Eligibility::Open(weight) => weight,
            _ => FULL_WEIGHT,
        }
    }

    /// Returns whether it failed recently.
    pub fn is_suspected(&self, now: Instant) -> bool {
        now < self.suspect_until
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Instant, load: &Load) {
        let report = Report { open: load.open, queued: load.queued, running: load.running };
        self.report = Some((now, report));
        // The report includes dispatches older than the lag, but possibly not later ones.
        while self.dispatched.front().is_some_and(|(at, _)| now.since(*at) > MAX_REPORT_LAG) {
            self.dispatched.pop_front();
        }
        for &prefix in &load.prefixes {
            self.prefixes.insert(prefix, now);
        }
        while self.prefixes.len() > MAX_PREFIXES {
            let oldest = self.prefixes.iter().min_by_key(|(_, at)| **at).map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.prefixes.remove(&hash));
        }
    }

    /// Treats the endpoint as closed until the next report.
    pub fn mark_closed(&mut self, now: Instant) {
        let report =
            self.fresh_report(now).unwrap_or(Report { open: false, queued: 0, running: 0 });
        self.report = Some((now, Report { open: false, ..report }));
    }

    /// Records the dispatch of a sequence with `tokens` tokens to prefill.
    pub fn record_dispatch(&mut self, now: Instant, tokens: u32) {
        self.in_flight += 1;
        self.dispatched.push_back((now, tokens));
        while self.dispatched.front().is_some_and(|(at, _)| now.since(*at) > DISPATCH_TTL) {
            self.dispatched.pop_front();
        }
    }

    /// Records the end of a sequence.
    pub fn record_finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Corrects the excess step time by the timing of one decode step or call.
    pub fn observe_step(&mut self, now: Instant, hop: Hop) {
        let observed = f64::from(hop.queue_us) + f64::from(hop.run_us);
        let error = observed - self.token_us(now);
        self.excess.correct(now, HALF_LIFE, error);
    }

    /// Estimates the sequences in progress: those reported plus this entry's later dispatches, but
    /// at least those of this entry itself.
    pub fn sequences(&self, now: Instant) -> u32 {
        let reported = self.fresh_report(now).map_or(0, |report| report.running);
        let since = u32::try_from(self.dispatched.len()).unwrap_or(u32::MAX);
        let since = if self.fresh_report(now).is_some() { since } else { 0 };
        reported.saturating_add(since).max(self.in_flight)
    }

    /// Estimates the queued tokens: those reported plus this entry's later dispatches; 0 without a
    /// valid report.
    pub fn queued(&self, now: Instant) -> u32 {
        let Some(report) = self.fresh_report(now) else { return 0 };
        let recent = self.dispatched.iter().filter(|(at, _)| now.since(*at) <= DISPATCH_TTL);
        recent.fold(report.queued, |sum, (_, tokens)| sum.saturating_add(*tokens))
    }

    /// Estimates the microseconds between tokens with one additional sequence.
    pub fn token_us(&self, now: Instant) -> f64 {
        let rounds = (f64::from(self.sequences(now) + 1) / self.speed.batch).ceil();
        self.speed.step_us * rounds.max(1.0) + self.excess.current_us(now, HALF_LIFE)
    }

    /// Estimates the microseconds to prefill `tokens` tokens in `chunks` steps, after the queue.
    pub fn prompt_us(&self, now: Instant, tokens: u32, chunks: f64) -> f64 {
        let tokens = f64::from(self.queued(now)) + f64::from(tokens);
        tokens * self.speed.prompt_token_us + chunks * self.token_us(now)
    }

    /// Returns the tokens of a prompt that the endpoint need not prefill, according to cache hints.
    ///
    /// `prefixes` holds hashes of the prompt's prefixes with their lengths in tokens, longest
    /// first.
    pub fn cached(&self, prefixes: &[(u64, u32)]) -> u32 {
        let hit = prefixes.iter().find(|(hash, _)| self.prefixes.contains_key(hash));
        hit.map_or(0, |(_, tokens)| (f64::from(*tokens) * PREFIX_HIT_FRACTION) as u32)
    }

    /// Copies what was learned of the endpoint before a change of the configuration.
    pub fn inherit(&mut self, old: &Self) {
        self.suspect_until = old.suspect_until;
        self.unreachable_until = old.unreachable_until;
        self.in_flight = old.in_flight;
        self.report = old.report;
        self.dispatched.clone_from(&old.dispatched);
        self.excess = old.excess;
        self.prefixes.clone_from(&old.prefixes);
    }

    /// Returns the name of the endpoint.
    pub fn name(&self) -> &name::Endpoint {
        &self.stage.endpoint
    }

    /// Returns the last report if it is still valid.
    fn fresh_report(&self, now: Instant) -> Option<Report> {
        let (at, report) = self.report?;
        (now.since(at) < self.report_ttl).then_some(report)
    }
}
