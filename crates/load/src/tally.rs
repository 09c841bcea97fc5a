//! Counts of requests by their outcome, and histograms of durations.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Answer, Generation, Outcome};

/// Longest duration that a histogram holds; longer ones count as this one.
const MAX_DURATION_US: u64 = 600_000_000;

/// Significant decimal digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of durations.
#[derive(Clone, Debug)]
pub struct Durations {
    histogram: Option<Histogram<u64>>,
}

impl Default for Durations {
    fn default() -> Self {
        // `new_with_max` fails for invalid bounds only, and these are valid.
        Self { histogram: Histogram::new_with_max(MAX_DURATION_US, SIGNIFICANT_DIGITS).ok() }
    }
}

impl Durations {
    /// Records one duration.
    pub fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX).min(MAX_DURATION_US);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(micros);
        }
    }

    /// Adds all durations of `other`.
    pub fn merge(&mut self, other: &Self) {
        if let (Some(own), Some(other)) = (&mut self.histogram, &other.histogram) {
            // `add` fails only if the bounds differ, and they are the same.
            let _ = own.add(other);
        }
    }

    /// Returns the number of recorded durations.
    pub fn count(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the percentiles, all 0 if there are no durations.
    pub fn percentiles(&self) -> Percentiles {
        let at = |quantile| {
            let micros = self.histogram.as_ref().map_or(0, |h| h.value_at_quantile(quantile));
            micros as f64 / 1000.0
        };
        let max = self.histogram.as_ref().map_or(0, Histogram::max) as f64 / 1000.0;
        Percentiles {
            count: self.count(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: max,
        }
    }
}

/// Percentiles of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Percentiles {
    /// Number of durations.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest duration.
    pub max_ms: f64,
}

/// Counts of requests by their outcome.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tally {
    /// Requests that were sent.
    pub offered: u64,
    /// Requests that were not refused before they ran.
    pub admitted: u64,
    /// Answers that were complete and correct.
    pub complete: u64,
    /// Refused requests, by reason and by whether they ran according to the refusal.
    pub refused: BTreeMap<String, u64>,
    /// Answers whose text differs from that of a run without faults.
    pub wrong: u64,
    /// Requests that timed out without a complete answer or a refusal.
    pub lost: u64,
    /// Requests whose entry was unreachable or closed the connection before the answer ended.
    pub cut: u64,
    /// Calls that ran more than once.
    pub doubled: u64,
}

impl Tally {
    /// Counts one generation and its answer.
    pub fn add(&mut self, generation: &Generation, answer: &Answer) {
        self.offered += 1;
        if !answer.is_correct(generation) {
            self.wrong += 1;
        }
        match &answer.outcome {
            Outcome::Complete => {
                self.admitted += 1;
                self.complete += u64::from(answer.is_correct(generation));
            }
            Outcome::Refused { reason, ran, .. } => {
                self.admitted += u64::from(ran != "no");
                *self.refused.entry(format!("{reason} (ran: {ran})")).or_default() += 1;
            }
            Outcome::Unreachable | Outcome::Cut => self.cut += 1,
            Outcome::Silent => self.lost += 1,
        }
    }

    /// Adds all counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.offered += other.offered;
        self.admitted += other.admitted;
        self.complete += other.complete;
        self.wrong += other.wrong;
        self.lost += other.lost;
        self.cut += other.cut;
        self.doubled += other.doubled;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason.clone()).or_default() += count;
        }
    }

    /// Formats the counts as one line.
    pub fn summary(&self) -> String {
        let refused: Vec<String> =
            self.refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
        let refused = if refused.is_empty() { "none".to_owned() } else { refused.join(", ") };
        format!(
            "offered {}, admitted {}, complete {}, wrong {}, doubled {}, lost {}, cut {}, \
             refused: {refused}",
            self.offered,
            self.admitted,
            self.complete,
            self.wrong,
            self.doubled,
            self.lost,
            self.cut,
        )
    }
}
