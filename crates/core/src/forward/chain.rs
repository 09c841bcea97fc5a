//! Chains that are usable now.
//!
//! - [`resolve`]: planned chains to usable ones, with replacements for stages that are lost.
//! - [`select`]: the chain for one request.

pub mod resolve;
pub mod select;

use std::net::SocketAddr;
use std::time::Duration;

use super::Need;
use super::in_flight::Sum;
use crate::fleet::Incarnation;
use crate::name;
use crate::placement::estimate::{self, Cost};
use crate::placement::{Model, Range};

pub use resolve::{Resolver, usable, with_other_stages};
pub use select::{Query, choose};

/// One stage of a usable chain, as requests address it.
#[derive(Clone, Debug, PartialEq)]
pub struct Hop {
    /// The endpoint that runs the stage.
    pub endpoint: name::Endpoint,
    /// Start time of the endpoint, which identifies its incarnation; Unix time in milliseconds.
    pub born: u64,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: name::Zone,
    /// The layers that the stage runs, which may be a subset of those that the endpoint holds.
    pub layers: Range,
    /// Memory of the endpoint that its layers leave free, in bytes.
    pub free: f64,
}

impl Hop {
    /// Returns the incarnation of the endpoint that this hop refers to.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { endpoint: self.endpoint.clone(), born: self.born }
    }
}

/// A chain whose stages all hold their layers and accept work.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// First endpoint of the planned chain. Work in progress is counted under this key, also while
    /// another endpoint replaces the first one.
    pub key: name::Endpoint,
    /// The stages in order of layers; never empty.
    pub hops: Vec<Hop>,
    /// Availability zone of the first endpoint of the planned chain that is listed.
    pub zone: name::Zone,
    cost: Cost,
    /// Tokens that the stage with the least free memory can hold, if no other chain uses it.
    room: f64,
    /// Whether another chain uses one of the endpoints.
    is_shared: bool,
}

impl Chain {
    /// Returns the first endpoint, to which requests are sent.
    pub fn head(&self) -> &name::Endpoint {
        &self.hops[0].endpoint
    }

    /// Returns how many times the chain crosses from one availability zone to another.
    pub fn crossings(&self) -> usize {
        self.hops.windows(2).filter(|pair| pair[0].zone != pair[1].zone).count()
    }

    /// Formats the endpoints with their layers for logs.
    pub fn path(&self) -> String {
        let hop = |h: &Hop| format!("{}={}-{}", h.endpoint, h.layers.first, h.layers.end);
        self.hops.iter().map(hop).collect::<Vec<_>>().join(",")
    }

    /// Estimates the time between two events of a stream.
    ///
    /// `requests` requests with `tokens` tokens in total are in progress on the chain.
    pub fn event_time(&self, model: &Model, requests: u32, tokens: u64) -> Duration {
        let ms = self.cost.token_ms(model, f64::from(requests), tokens as f64);
        Duration::from_secs_f64(ms * f64::from(model.stride) / 1000.0)
    }

    /// Estimates the time until the prefill of a prompt of `prompt` tokens is complete.
    ///
    /// `queue` prompt tokens of other requests are ahead of it, `crossing` tokens still have to be
    /// transferred between availability zones.
    pub fn prefill_time(&self, model: &Model, prompt: u64, queue: u64, crossing: f64) -> Duration {
        let prefill_ms =
            self.cost.queue_ms(model, queue as f64) + self.cost.prefill_ms(model, prompt as f64);
        Duration::from_secs_f64(prefill_ms / 1000.0) + self.crossing_time(model, crossing)
    }

    /// Estimates the time of the passes in which `tokens` prompt tokens are prefilled.
    ///
    /// Each pass prefills a bounded number of tokens between those of the streams, and takes as long as an event of
    /// them, `event`. That binds long before the compute time on fast chains that write many streams.
    pub fn passes_time(&self, model: &Model, tokens: u64, event: Duration) -> Duration {
        event.mul_f64(tokens as f64 / model.pass_tokens())
    }

    /// Estimates the time to transfer `crossing` tokens between availability zones; zero for a
    /// chain within one zone.
    fn crossing_time(&self, model: &Model, crossing: f64) -> Duration {
        if self.crossings() == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(estimate::crossing_ms(model, crossing) / 1000.0)
    }

    /// Estimates the time to transfer `tokens` tokens to the stages that `other` has instead of
    /// this chain's, as far as these are reached from another availability zone.
    ///
    /// Requests that move to `other` prefill all their tokens again on those stages.
    pub fn move_time(&self, model: &Model, other: &Self, tokens: u64) -> Duration {
        let is_new = |hop: &Hop| !self.hops.contains(hop);
        let crosses =
            |pair: &&[Hop]| pair[0].zone != pair[1].zone && (is_new(&pair[0]) || is_new(&pair[1]));
        let crossings = other.hops.windows(2).filter(crosses).count();
        let ms = estimate::crossing_ms(model, tokens as f64) * crossings as f64;
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// Estimates the longest time that a generation of `need` takes.
    ///
    /// `sum` is the work in progress on the chain, and `factor` the ratio of observed to estimated
    /// pauses between events. Returns `None` if the caller does not state how long its answer may be.
    pub fn max_duration(
        &self,
        model: &Model,
        need: &Need,
        sum: Sum,
        factor: f64,
    ) -> Option<Duration> {
        let answer = Some(need.max_answer).filter(|tokens| *tokens > 0)?;
        let prompt = u64::from(need.prompt);
        let tokens = sum.tokens + prompt + u64::from(answer);
        let event = self.event_time(model, sum.requests + 1, tokens).mul_f64(factor.max(1.0));
        let events = f64::from(answer) / f64::from(model.stride.max(1));
        let prefill = self.prefill_time(model, prompt, sum.prefill, 0.0);
        let passes = self.passes_time(model, sum.prefill + prompt, event);
        Some(event.mul_f64(events.ceil() + 1.0) + prefill.max(passes))
    }
}
