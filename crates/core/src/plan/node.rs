//! What an entry knows of one endpoint's state.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::config::Kind;
use crate::estimate::Excess;
use crate::membership::{FULL_WEIGHT, Standing};
use crate::message::{Hop, Load, Stage};
use crate::name;
use crate::plan::link;
use crate::report_interval::Intervals;
use crate::time::Instant;

/// Bound on the age of what a load report says when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Time after which an own dispatch counts as run even if no report has said so.
const DISPATCH_LIFE: Duration = Duration::from_secs(2);

/// Time without observations after which an endpoint's excess step time is halved.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Prefixes remembered for each endpoint.
const PREFIXES: usize = 512;

/// Part of a hinted prefix that is counted on; events are late and have gaps.
const PREFIX_TRUST: f64 = 0.7;

/// How fast an endpoint is, by its configuration.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Microseconds of one batch, before its tokens.
    pub step_us: f64,
    /// Microseconds that each prompt token adds.
    pub prompt_token_us: f64,
    /// Most sequences or calls in one batch.
    pub batch: f64,
    /// Most sequences or calls held at once.
    pub sequences: u32,
}

impl Speed {
    /// Speed of an endpoint of `kind`.
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

/// Time of a call of a plain service before any was observed, in microseconds.
const SERVICE_CALL_US: f64 = 20_000.0;

/// One endpoint as an entry sees it.
#[derive(Clone, Debug)]
pub struct Node {
    /// The stage that it can serve.
    pub stage: Stage,
    /// Its end of links.
    pub place: link::Node,
    /// How fast it is.
    pub speed: Speed,
    /// Ordered to be drained by the configuration.
    pub leaving: bool,
    /// What its host may be given.
    pub standing: Standing,
    /// Not to be used until then unless nothing else can be, because it is suspected.
    pub suspect_until: Instant,
    /// Not to be used until then, because its host cannot be reached.
    pub lost_until: Instant,
    /// Sequences that this entry has there now.
    pub in_flight: u32,
    report: Option<(Instant, Report)>,
    /// Time for which a report counts.
    pub report_life: Duration,
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
    /// An endpoint of which nothing has been heard.
    pub fn new(stage: Stage, place: link::Node, speed: Speed) -> Self {
        Self {
            stage,
            place,
            speed,
            leaving: false,
            standing: Standing::Open(FULL_WEIGHT),
            suspect_until: Instant::default(),
            lost_until: Instant::default(),
            in_flight: 0,
            report: None,
            report_life: Intervals::default().lifetime,
            dispatched: VecDeque::new(),
            excess: Excess::default(),
            prefixes: BTreeMap::new(),
        }
    }

    /// Whether new work may be sent there.
    pub fn usable(&self, now: Instant) -> bool {
        let open = self.fresh(now).is_none_or(|report| report.open);
        let stays = !matches!(self.standing, Standing::Leaving | Standing::Gone);
        open && stays && !self.leaving && now >= self.lost_until
    }

    /// Its weight among competitors, at most [`FULL_WEIGHT`]; less while its host is brought in.
    pub fn weight(&self) -> u32 {
        match self.standing {
            Standing::Open(weight) => weight,
            _ => FULL_WEIGHT,
        }
    }

    /// Whether it failed lately.
    pub fn suspected(&self, now: Instant) -> bool {
        now < self.suspect_until
    }

    /// Takes in a load report.
    pub fn report(&mut self, now: Instant, load: &Load) {
        let report = Report { open: load.open, queued: load.queued, running: load.running };
        self.report = Some((now, report));
        // Dispatches older than the lag are in the report; younger ones may not be.
        while self.dispatched.front().is_some_and(|(at, _)| now.since(*at) > REPORT_LAG) {
            self.dispatched.pop_front();
        }
        for &prefix in &load.prefixes {
            self.prefixes.insert(prefix, now);
        }
        while self.prefixes.len() > PREFIXES {
            let oldest = self.prefixes.iter().min_by_key(|(_, at)| **at).map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.prefixes.remove(&hash));
        }
    }

    /// Takes the endpoint as closed until the next report.
    pub fn close(&mut self, now: Instant) {
        let report = self.fresh(now).unwrap_or(Report { open: false, queued: 0, running: 0 });
        self.report = Some((now, Report { open: false, ..report }));
    }

    /// Counts a sequence with `tokens` to be run as a prompt.
    pub fn dispatch(&mut self, now: Instant, tokens: u32) {
        self.in_flight += 1;
        self.dispatched.push_back((now, tokens));
        while self.dispatched.front().is_some_and(|(at, _)| now.since(*at) > DISPATCH_LIFE) {
            self.dispatched.pop_front();
        }
    }

    /// Ends the count of one sequence.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Learns from the timing of one decode step or call.
    pub fn observe(&mut self, now: Instant, hop: Hop) {
        let observed = f64::from(hop.queue_us) + f64::from(hop.run_us);
        let error = observed - self.token_us(now);
        self.excess.correct(now, HALF_LIFE, error);
    }

    /// Sequences there, corrected by own dispatches since the report.
    pub fn sequences(&self, now: Instant) -> u32 {
        let reported = self.fresh(now).map_or(0, |report| report.running);
        let since = u32::try_from(self.dispatched.len()).unwrap_or(u32::MAX);
        let since = if self.fresh(now).is_some() { since } else { 0 };
        reported.saturating_add(since).max(self.in_flight)
    }

    /// Tokens that wait there, corrected by own dispatches since the report.
    pub fn queued(&self, now: Instant) -> u32 {
        let Some(report) = self.fresh(now) else { return 0 };
        let young = self.dispatched.iter().filter(|(at, _)| now.since(*at) <= DISPATCH_LIFE);
        young.fold(report.queued, |sum, (_, tokens)| sum.saturating_add(*tokens))
    }

    /// Estimated microseconds between tokens, with one more sequence.
    pub fn token_us(&self, now: Instant) -> f64 {
        let rounds = (f64::from(self.sequences(now) + 1) / self.speed.batch).ceil();
        self.speed.step_us * rounds.max(1.0) + self.excess.current_us(now, HALF_LIFE)
    }

    /// Estimated microseconds to run `tokens` as a prompt in `chunks` steps.
    pub fn prompt_us(&self, now: Instant, tokens: u32, chunks: f64) -> f64 {
        let tokens = f64::from(self.queued(now)) + f64::from(tokens);
        tokens * self.speed.prompt_token_us + chunks * self.token_us(now)
    }

    /// Tokens of a prompt that need not run there, by the hints.
    ///
    /// `prefixes` holds hashes of the prompt's prefixes with their lengths, longest first.
    pub fn cached(&self, prefixes: &[(u64, u32)]) -> u32 {
        let hit = prefixes.iter().find(|(hash, _)| self.prefixes.contains_key(hash));
        hit.map_or(0, |(_, tokens)| (f64::from(*tokens) * PREFIX_TRUST) as u32)
    }

    /// Takes over what was learned before a change of the configuration.
    pub fn inherit(&mut self, old: &Self) {
        self.suspect_until = old.suspect_until;
        self.lost_until = old.lost_until;
        self.in_flight = old.in_flight;
        self.report = old.report;
        self.dispatched.clone_from(&old.dispatched);
        self.excess = old.excess;
        self.prefixes.clone_from(&old.prefixes);
    }

    /// The name of the endpoint.
    pub fn name(&self) -> &name::Endpoint {
        &self.stage.endpoint
    }

    fn fresh(&self, now: Instant) -> Option<Report> {
        let (at, report) = self.report?;
        (now.since(at) < self.report_life).then_some(report)
    }
}
