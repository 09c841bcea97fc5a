//! What is asked of a planner, and its answer with the reasons.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_macros::data;

use super::search::Path;
use super::{Key, Planner};
use crate::message::{Stage, not_run};
use crate::name;
use crate::request::{Refusal, Refused};
use crate::time::{Instant, as_us};

/// The request for which a chain or an endpoint is chosen.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Tokens to prefill before the next one is decoded.
    pub prompt_tokens: u32,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Hashes of the prompt's prefixes with their lengths in tokens, longest first.
    pub prefixes: &'a [(u64, u32)],
    /// Endpoints that are used only if there are no others.
    pub avoid: &'a BTreeSet<name::Endpoint>,
    /// Endpoints that are always compared, whether sampled or not.
    pub include: &'a BTreeSet<name::Endpoint>,
    /// Random number from which the sample is drawn.
    pub random: u64,
}

/// A chosen chain, and the endpoints among which it was chosen.
#[data]
pub struct Choice {
    /// The stages in layer order.
    pub chain: Vec<Stage>,
    /// Estimated microseconds to the first token.
    pub first_us: u64,
    /// Estimated microseconds between tokens.
    pub token_us: u64,
    /// The endpoints that were compared.
    pub candidates: Vec<Candidate>,
}

/// An endpoint that was compared with others.
#[data]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Estimated microseconds of the whole request there; links included for plain services only.
    pub cost_us: u64,
    /// Estimated number of sequences in progress at the endpoint.
    pub sequences: u32,
    /// Estimated number of tokens queued at the endpoint.
    pub queued: u32,
    /// Tokens of the prompt that are in its prefix cache, according to hints.
    pub cached: u32,
    /// Whether it was chosen.
    pub chosen: bool,
}

/// Why no chain was chosen.
#[data]
pub struct Unplanned {
    /// The refusal.
    pub refused: Refused,
    /// Estimated microseconds of the best chain, or `None` if there was no chain.
    pub estimate_us: Option<u64>,
    /// The endpoints that were compared.
    pub candidates: Vec<Candidate>,
}

impl Unplanned {
    /// Creates the result of a search that found no chain.
    pub(super) fn no_chain() -> Self {
        let refused = not_run(Refusal::NoChain, None);
        Self { refused, estimate_us: None, candidates: Vec::new() }
    }
}

impl Planner {
    /// Describes a path that meets the deadline, with what it was compared with.
    pub(super) fn choice(&self, now: Instant, query: &Query<'_>, path: &Path) -> Choice {
        Choice {
            chain: self.stages(&path.keys),
            first_us: path.first_us as u64,
            token_us: path.token_us as u64,
            candidates: self.candidates(now, query, path),
        }
    }

    /// Describes the best path, which misses the deadline.
    pub(super) fn deadline_refusal(
        &self,
        now: Instant,
        query: &Query<'_>,
        path: &Path,
    ) -> Unplanned {
        let over_us = path.total_us(query) - as_us(query.time_left) as f64;
        let retry_after_ms = Some((over_us / 1000.0).ceil() as u64);
        Unplanned {
            refused: not_run(Refusal::Deadline, retry_after_ms),
            estimate_us: Some(path.total_us(query) as u64),
            candidates: self.candidates(now, query, path),
        }
    }

    fn stages(&self, keys: &[Key]) -> Vec<Stage> {
        keys.iter().filter_map(|key| self.nodes.get(*key)).map(|node| node.stage.clone()).collect()
    }

    fn candidates(&self, now: Instant, query: &Query<'_>, path: &Path) -> Vec<Candidate> {
        let candidate = |(key, cost_us): &(Key, f64)| {
            let node = self.nodes.get(*key)?;
            Some(Candidate {
                endpoint: node.name().clone(),
                cost_us: *cost_us as u64,
                sequences: node.sequences(now),
                queued: node.queued(now),
                cached: node.cached(query.prefixes),
                chosen: path.keys.contains(key),
            })
        };
        path.candidates.iter().filter_map(candidate).collect()
    }
}
