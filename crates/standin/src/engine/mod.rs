//! A model engine that holds a range of layers.
//!
//! - [`Engine`]: the engine's state and logic, without I/O.
//! - [`server`]: the HTTP interface that `oriole_core::engine` describes.
//! - [`sequence`], [`prefix`]: the KV caches of sequences, and the cache of prompt prefixes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use oriole_core::engine::{
    Action, Batch, Cache, CacheEvents, Input, Load, Order, Outcomes, Output, State, Step, StepError,
};
use oriole_core::name;
use oriole_macros::failure;
use tokio::time::Instant;

use crate::model;
use sequence::Sequence;

pub mod prefix;
pub mod sequence;
pub mod server;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Model that is loaded at the start, if any.
    pub model: Option<name::Model>,
    /// Version of the model.
    pub version: String,
    /// Number of layers of the whole model.
    pub layers: u16,
    /// First layer held.
    pub first_layer: u16,
    /// One past the last layer held.
    pub end_layer: u16,
    /// Time of a batch without its prompt tokens.
    pub step_time: Duration,
    /// Time that each prompt token adds.
    pub prompt_token_time: Duration,
    /// Capacity of the KV cache, in tokens, including cached prefixes.
    pub total_tokens: u32,
    /// Whether orders with a stale fencing token are refused.
    pub checks_fencing: bool,
    /// Time from accepting an order to its completion.
    pub order_time: Duration,
    /// Maximum age of a reported load.
    pub load_lag: Duration,
    /// Delay and loss of cache events.
    pub event_delivery: prefix::Delivery,
    /// Shows a test which sequences are held.
    pub probe: Probe,
}

/// Shows a test which sequences an engine holds; usable from any thread. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Probe {
    sequences: Arc<Mutex<BTreeSet<String>>>,
}

impl Probe {
    /// Returns whether the engine holds a sequence of the request with this id. Sides name a
    /// sequence `{id}` or `{id}-{number}`.
    pub fn holds(&self, id: &str) -> bool {
        let numbered = format!("{id}-");
        self.with_sequences(|held| {
            let mut later = held.range(numbered.clone()..);
            held.contains(id) || later.next().is_some_and(|name| name.starts_with(&numbered))
        })
    }

    /// Returns the names of the sequences held.
    pub fn names(&self) -> Vec<String> {
        self.with_sequences(|held| held.iter().cloned().collect())
    }

    /// Returns the number of sequences held.
    pub fn count(&self) -> usize {
        self.with_sequences(|held| held.len())
    }

    fn with_sequences<T>(&self, access: impl FnOnce(&mut BTreeSet<String>) -> T) -> T {
        // Each change of the set is one operation, so a poisoned lock can still be used.
        access(&mut self.sequences.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: None,
            version: String::new(),
            layers: 0,
            first_layer: 0,
            end_layer: 0,
            step_time: Duration::from_millis(4),
            prompt_token_time: Duration::from_micros(20),
            total_tokens: 200_000,
            checks_fencing: true,
            order_time: Duration::from_millis(500),
            load_lag: Duration::from_millis(500),
            event_delivery: prefix::Delivery { delay: Duration::from_millis(500), lose_one_in: 7 },
            probe: Probe::default(),
        }
    }
}

/// Why an engine refuses a call.
#[failure]
#[derive(Copy)]
pub enum Error {
    /// No model is loaded.
    #[display("no model is loaded")]
    NoModel,
    /// The order's fencing token is lower than one already seen.
    #[display("the order's fencing token is lower than one already seen")]
    StaleFencingToken,
    /// The engine does not hold the sequence.
    #[display("the engine does not hold the sequence")]
    UnknownSequence,
    /// The KV cache to import is malformed or lacks some of the engine's layers.
    #[display("the KV cache is malformed or lacks some of the engine's layers")]
    CacheMismatch,
}

/// A model engine, driven by calls that carry the current time.
pub struct Engine {
    settings: Settings,
    state: State,
    sequences: BTreeMap<String, Sequence>,
    /// Positions of all sequences together.
    sequence_tokens: u32,
    prefixes: prefix::Cache,
    /// The accepted order that is not completed yet, with the time of its completion.
    pending: Option<(Instant, Action)>,
    /// Time of the last batch, in microseconds.
    batch_us: u32,
    /// The load last reported, with the time of its measurement.
    reported_load: Option<(Instant, Load)>,
}

impl Engine {
    /// Returns an engine that has just started, and clears the probe.
    pub fn new(settings: Settings) -> Self {
        settings.probe.with_sequences(BTreeSet::clear);
        let state = State {
            model: settings.model.clone(),
            version: settings.version.clone(),
            adapters: Vec::new(),
            first_layer: settings.first_layer,
            end_layer: settings.end_layer,
            fence: 0,
            order: 0,
            busy: false,
        };
        Self {
            state,
            sequences: BTreeMap::new(),
            sequence_tokens: 0,
            prefixes: prefix::Cache::new(settings.event_delivery),
            pending: None,
            batch_us: 0,
            reported_load: None,
            settings,
        }
    }

    /// Runs a batch; returns the outcome of each step and the time that the batch takes.
    pub fn run(&mut self, now: Instant, batch: &Batch) -> Result<(Outcomes, Duration), Error> {
        self.complete_due_order(now);
        if self.state.model.is_none() {
            return Err(Error::NoModel);
        }
        let mut prompt_tokens = 0;
        let mut outcomes = Vec::with_capacity(batch.steps.len());
        for step in &batch.steps {
            outcomes.push(self.step(now, step, &mut prompt_tokens));
        }
        let time = self.settings.step_time + self.settings.prompt_token_time * prompt_tokens;
        self.batch_us = u32::try_from(time.as_micros()).unwrap_or(u32::MAX);
        Ok((Outcomes { outcomes }, time))
    }

    /// Frees the KV cache of a sequence.
    pub fn free(&mut self, sequence: &str) -> Result<(), Error> {
        let freed = self.sequences.remove(sequence).ok_or(Error::UnknownSequence)?;
        self.settings.probe.with_sequences(|held| held.remove(sequence));
        self.sequence_tokens = self.sequence_tokens.saturating_sub(freed.positions());
        Ok(())
    }

    /// Exports the KV cache of a sequence.
    pub fn export(&self, sequence: &str) -> Result<Cache, Error> {
        Ok(self.sequences.get(sequence).ok_or(Error::UnknownSequence)?.export())
    }

    /// Imports the KV cache of a sequence; replaces a sequence of the same name.
    pub fn import(&mut self, sequence: &str, cache: &Cache) -> Result<(), Error> {
        let imported = Sequence::import(self.state.first_layer, self.layers(), cache);
        let imported = imported.ok_or(Error::CacheMismatch)?;
        // Fails if there is no sequence of this name to replace.
        let _ = self.free(sequence);
        self.sequence_tokens = self.sequence_tokens.saturating_add(imported.positions());
        self.sequences.insert(sequence.to_owned(), imported);
        self.settings.probe.with_sequences(|held| held.insert(sequence.to_owned()));
        Ok(())
    }

    /// Returns the load, which may be up to [`Settings::load_lag`] old.
    pub fn load(&mut self, now: Instant) -> Load {
        if let Some((measured_at, load)) = &self.reported_load {
            if now < *measured_at + self.settings.load_lag {
                return load.clone();
            }
        }
        let load = Load {
            sequences: u32::try_from(self.sequences.len()).unwrap_or(u32::MAX),
            used_tokens: self.sequence_tokens.saturating_add(self.prefixes.tokens()),
            total_tokens: self.settings.total_tokens,
            batch_us: self.batch_us,
        };
        self.reported_load = Some((now, load.clone()));
        load
    }

    /// Returns the visible changes of the prefix cache after the event with number `after`.
    pub fn cache_events(&self, now: Instant, after: u64) -> CacheEvents {
        self.prefixes.events(now, after)
    }

    /// Returns what the engine holds.
    pub fn state(&mut self, now: Instant) -> State {
        self.complete_due_order(now);
        self.state.clone()
    }

    /// Accepts an order. One whose number is not above the last accepted one is a repetition and
    /// has no effect.
    pub fn order(&mut self, now: Instant, order: Order) -> Result<State, Error> {
        self.complete_due_order(now);
        if self.settings.checks_fencing {
            if order.fence < self.state.fence {
                return Err(Error::StaleFencingToken);
            }
            self.state.fence = order.fence;
        }
        if order.number > self.state.order {
            self.state.order = order.number;
            self.state.busy = true;
            self.pending = Some((now + self.settings.order_time, order.action));
        }
        Ok(self.state.clone())
    }

    fn layers(&self) -> u16 {
        self.state.end_layer.saturating_sub(self.state.first_layer)
    }

    fn step(
        &mut self,
        now: Instant,
        step: &Step,
        prompt_tokens: &mut u32,
    ) -> Result<Output, StepError> {
        let inputs = self.decode_input(&step.input)?;
        let mut sequence = match self.sequences.remove(&step.sequence) {
            Some(sequence) => sequence,
            None => self.new_sequence(&step.sequence),
        };
        self.sequence_tokens = self.sequence_tokens.saturating_sub(sequence.positions());
        let result = self.run_step(now, step, &inputs, &mut sequence, prompt_tokens);
        self.sequence_tokens = self.sequence_tokens.saturating_add(sequence.positions());
        // Kept even if the step failed and the sequence is empty: the side frees it.
        self.sequences.insert(step.sequence.clone(), sequence);
        result
    }

    fn new_sequence(&self, name: &str) -> Sequence {
        self.settings.probe.with_sequences(|held| held.insert(name.to_owned()));
        Sequence::new(self.state.first_layer, self.layers())
    }

    fn run_step(
        &mut self,
        now: Instant,
        step: &Step,
        inputs: &[(u64, Vec<u8>)],
        sequence: &mut Sequence,
        prompt_tokens: &mut u32,
    ) -> Result<Output, StepError> {
        if step.position > sequence.positions() {
            return Err(StepError::Gap);
        }
        sequence.truncate(step.position);
        let count = u32::try_from(inputs.len()).map_err(|_| StepError::Malformed)?;
        self.make_room(now, sequence.positions().saturating_add(count))?;
        let mut activations = Vec::with_capacity(inputs.len());
        let mut cached_tokens = 0;
        for (activation, bytes) in inputs {
            activations.push(sequence.run(*activation));
            if let Some(hash) = sequence.extend_prefix(bytes) {
                cached_tokens +=
                    if self.prefixes.touch(now, hash) { prefix::BLOCK_TOKENS } else { 0 };
            }
        }
        // The first position adds no time: a step of one position is a generated token, whose time
        // is that of the batch.
        *prompt_tokens += (count - 1).saturating_sub(cached_tokens);
        Ok(self.output(step, &activations))
    }

    /// Decodes the input to one activation for each position, with the bytes that the hash of the
    /// position's prefix covers.
    fn decode_input(&self, input: &Input) -> Result<Vec<(u64, Vec<u8>)>, StepError> {
        let inputs: Vec<_> = match input {
            Input::Tokens(tokens) if self.state.first_layer == 0 => tokens
                .iter()
                .map(|token| (model::embed(*token), token.to_le_bytes().to_vec()))
                .collect(),
            Input::Activation { count, data } if self.state.first_layer > 0 => {
                let data = STANDARD.decode(data).map_err(|_| StepError::Malformed)?;
                if data.len() as u64 != u64::from(*count) * 8 {
                    return Err(StepError::Malformed);
                }
                sequence::decode_u64s(&data).map(|a| (a, a.to_le_bytes().to_vec())).collect()
            }
            Input::Tokens(_) | Input::Activation { .. } => return Err(StepError::Malformed),
        };
        if inputs.is_empty() { Err(StepError::Malformed) } else { Ok(inputs) }
    }

    fn output(&self, step: &Step, activations: &[u64]) -> Output {
        let last = activations.last().copied().unwrap_or_default();
        if self.state.end_layer < self.settings.layers {
            let data: Vec<u8> = activations.iter().flat_map(|a| a.to_le_bytes()).collect();
            Output::Activation(STANDARD.encode(data))
        } else if step.sample {
            Output::Sample(model::sample(last, step.seed))
        } else {
            Output::Nothing
        }
    }

    /// Evicts cached prefixes until a sequence of `tokens` fits beside the others.
    fn make_room(&mut self, now: Instant, tokens: u32) -> Result<(), StepError> {
        let needed = self.sequence_tokens.saturating_add(tokens);
        let left = self.settings.total_tokens.checked_sub(needed).ok_or(StepError::Memory)?;
        self.prefixes.shrink_to(now, left);
        Ok(())
    }

    /// Completes the pending order if it is due.
    fn complete_due_order(&mut self, now: Instant) {
        let Some((_, action)) = self.pending.take_if(|(done, _)| *done <= now) else { return };
        self.state.busy = false;
        match action {
            Action::LoadModel { model, version, first_layer, end_layer } => {
                self.state.model = Some(model);
                self.state.version = version;
                self.state.first_layer = first_layer;
                self.state.end_layer = end_layer;
                self.clear_caches();
            }
            Action::UnloadModel => {
                self.state.model = None;
                self.clear_caches();
            }
            Action::LoadAdapter(adapter) => {
                if !self.state.adapters.contains(&adapter) {
                    self.state.adapters.push(adapter);
                }
            }
            Action::UnloadAdapter(adapter) => self.state.adapters.retain(|a| *a != adapter),
        }
    }

    /// Drops all sequences and cached prefixes, which belong to the model loaded before.
    fn clear_caches(&mut self) {
        self.sequences.clear();
        self.settings.probe.with_sequences(BTreeSet::clear);
        self.sequence_tokens = 0;
        self.prefixes = prefix::Cache::new(self.settings.event_delivery);
    }
}
