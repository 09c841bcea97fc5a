//! Counts of what was offered and what came of it.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Answer, Generation, Outcome};

/// Longest time that a histogram holds, in microseconds.
const MAX_DURATION_US: u64 = 600_000_000;

/// Significant digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times, by percentile.
#[derive(Clone, Debug)]
pub struct Durations {
    histogram: Option<Histogram<u64>>,
}

impl Default for Durations {
    fn default() -> Self {
        // The bounds are valid constants.
        Self { histogram: Histogram::new_with_max(MAX_DURATION_US, SIGNIFICANT_DIGITS).ok() }
    }
}

impl Durations {
    /// Adds one time.
    pub fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX).min(MAX_DURATION_US);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(micros);
        }
    }

    /// Adds all times of `other`.
    pub fn merge(&mut self, other: &Self) {
        if let (Some(own), Some(other)) = (&mut self.histogram, &other.histogram) {
            // Both have the same bounds.
            let _ = own.add(other);
        }
    }

    /// Number of times.
    pub fn count(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    /// The percentiles.
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

/// Percentiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Percentiles {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

/// Counts of requests.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tally {
    /// Requests that were sent.
    pub offered: u64,
    /// Requests that were not refused before they ran.
    pub admitted: u64,
    /// Answers that were complete and right.
    pub complete: u64,
    /// Requests that were refused, by reason and by what was said of having run.
    pub refused: BTreeMap<String, u64>,
    /// Answers whose text is not that of an undisturbed run.
    pub wrong: u64,
    /// Requests that ended without an answer or a refusal.
    pub lost: u64,
    /// Requests whose own entry died, so that no answer could come.
    pub cut: u64,
    /// Calls that ran more than once.
    pub doubled: u64,
}

impl Tally {
    /// Counts one generation.
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

    /// The counts on one line.
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
