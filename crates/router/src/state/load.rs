//! Measures the load of chains.
//!
//! Compares the pauses between events with the estimates, detects chains whose streams are all
//! silent, and logs the load of each chain.

use std::time::Duration;

use oriole_core::forward::chain::Chain;
use oriole_core::forward::in_flight::Sum;
use oriole_core::name;

use tokio::time::sleep;

use super::{Inner, Shared, State};
use crate::suspect;

/// Interval at which the pauses between events are compared with the estimates.
const MEASURE_INTERVAL: Duration = Duration::from_millis(150);

/// Number of measurements per log line about the load of a chain.
const ROUNDS_PER_LOG: u64 = 10;

/// Silence of all streams of a chain after which its stages are probed, as a multiple of the
/// estimated time between two events.
const SILENCE_FACTOR: f64 = 3.0;

/// Minimum number of streams on a chain; the silence of fewer says little about the chain.
const MIN_STREAMS: u32 = 3;

/// Minimum silence of all streams of a chain before its stages are probed.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Measures the load of the chains until the process exits.
pub async fn run(state: Shared) {
    let mut round = 0_u64;
    loop {
        state.timed("measuring", || state.measure());
        for chain in state.silent_chains() {
            suspect::probe_stages(&state, &chain);
        }
        if round % ROUNDS_PER_LOG == 0 {
            state.log_load();
        }
        round += 1;
        sleep(MEASURE_INTERVAL).await;
    }
}

impl State {
    /// Ends a measuring period: compares the pauses between events with the estimates.
    pub fn measure(&self) {
        let now = self.now();
        let mut inner = self.inner.borrow_mut();
        let Inner { table, chains, in_flight, .. } = &mut *inner;
        let Some(table) = table else {
            return;
        };
        let estimate = |key: &name::Endpoint, sum: Sum| {
            chains.iter().find_map(|(service, chains)| {
                let chain = chains.iter().find(|c| c.key == *key)?;
                let model = table.services.get(service)?.model.as_ref()?;
                Some(chain.event_time(model, sum.requests, sum.tokens))
            })
        };
        in_flight.close_period(estimate, now);
    }

    /// Returns the chains on which no stream of this entry has had an event for unusually long.
    pub fn silent_chains(&self) -> Vec<Chain> {
        let now = self.now();
        let inner = self.inner.borrow();
        let Some(table) = &inner.table else {
            return vec![];
        };
        let is_silent = |service: &name::Service, chain: &Chain| {
            let Some(model) = table.services.get(service).and_then(|s| s.model.as_ref()) else {
                return false;
            };
            let sum = inner.in_flight.sum(&chain.key, now);
            let expected =
                chain.event_time(model, sum.requests, sum.tokens).mul_f64(SILENCE_FACTOR);
            let silence = inner.in_flight.silence(&chain.key, MIN_STREAMS, now);
            silence.is_some_and(|silence| silence > expected.max(MIN_SILENCE))
        };
        let chains = inner.chains.iter().flat_map(|(s, chains)| chains.iter().map(move |c| (s, c)));
        chains.filter(|(s, chain)| is_silent(s, chain)).map(|(_, chain)| chain.clone()).collect()
    }

    /// Logs the load of each chain.
    pub fn log_load(&self) {
        let now = self.now();
        let inner = self.inner.borrow();
        let Some(table) = &inner.table else {
            return;
        };
        for (service, chains) in &inner.chains {
            let waiting = inner.queues.get(service).map_or(0, |q| q.len());
            let Some(model) = table.services.get(service).and_then(|s| s.model.as_ref()) else {
                continue;
            };
            for chain in chains.iter() {
                let sum = inner.in_flight.sum(&chain.key, now);
                let event_ms = chain.event_time(model, sum.requests, sum.tokens).as_millis() as u64;
                let factor = inner.in_flight.slowdown_factor(&chain.key, now);
                log::info!(
                    chain = chain.key.as_str(), requests = sum.requests, tokens = sum.tokens,
                    event_ms, factor, waiting; "load"
                );
            }
        }
    }
}
