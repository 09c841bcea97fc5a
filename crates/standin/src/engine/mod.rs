//! A model engine that holds a range of layers.
//!
//! - [`Engine`]: its decisions, without I/O.
//! - [`server`]: its HTTP interface, as `oriole_core::engine` describes it.
//! - [`sequence`], [`prefix`]: KV caches of sequences, and the cache of prompt prefixes.

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
    /// The model that is loaded at the start.
    pub model: Option<name::Model>,
    /// Its version.
    pub version: String,
    /// Layers of the whole model.
    pub layers: u16,
    /// First layer held.
    pub first_layer: u16,
    /// One past the last layer held.
    pub end_layer: u16,
    /// Time of one batch, before its prompt tokens.
    pub step_time: Duration,
    /// Time that each prompt token adds.
    pub prompt_token_time: Duration,
    /// Tokens of KV cache in all.
    pub total_tokens: u32,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Time that an order takes.
    pub order_time: Duration,
    /// Age that a reported load may have.
    pub load_lag: Duration,
    /// Delay and loss of cache events.
    pub event_delivery: prefix::Delivery,
    /// Tells a test which sequences are held.
    pub probe: Probe,
}

/// Tells a test which sequences an engine holds now, from any thread. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Probe {
    sequences: Arc<Mutex<BTreeSet<String>>>,
}

impl Probe {
    /// Whether the engine holds a sequence of the request with this id: sides name a sequence by
    /// the request's id, or by it and a number.
    pub fn holds(&self, id: &str) -> bool {
        let numbered = format!("{id}-");
        self.with_sequences(|held| {
            let mut later = held.range(numbered.clone()..);
            held.contains(id) || later.next().is_some_and(|name| name.starts_with(&numbered))
        })
    }

    /// Names of the sequences held.
    pub fn names(&self) -> Vec<String> {
        self.with_sequences(|held| held.iter().cloned().collect())
    }

    /// Number of sequences held.
    pub fn count(&self) -> usize {
        self.with_sequences(|held| held.len())
    }

    fn with_sequences<T>(&self, change: impl FnOnce(&mut BTreeSet<String>) -> T) -> T {
        // The set is whole even if a holder panicked: each change is one operation.
        change(&mut self.sequences.lock().unwrap_or_else(PoisonError::into_inner))
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

/// Why an engine does not do what it is asked to.
#[failure]
#[derive(Copy)]
pub enum Error {
    /// No model is loaded.
    #[display("no model is loaded")]
    NoModel,
    /// The order carries an old fencing number.
    #[display("old fencing number")]
    StaleFencingToken,
    /// There is no such sequence.
    #[display("no such sequence")]
    UnknownSequence,
    /// The KV cache is malformed or holds other layers.
    #[display("KV cache that does not fit")]
    CacheMismatch,
}

/// State of an engine.
pub struct Engine {
    settings: Settings,
    state: State,
    sequences: BTreeMap<String, Sequence>,
    sequence_tokens: u32,
    prefixes: prefix::Cache,
    pending: Option<(Instant, Action)>,
    batch_us: u32,
    reported_load: Option<(Instant, Load)>,
}

impl Engine {
    /// An engine that just started.
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

    /// Runs a batch; returns its outcomes and how long it takes.
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

    /// Frees a sequence.
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

    /// Imports the KV cache of a sequence.
    pub fn import(&mut self, sequence: &str, cache: &Cache) -> Result<(), Error> {
        let imported = Sequence::import(self.state.first_layer, self.layers(), cache);
        let imported = imported.ok_or(Error::CacheMismatch)?;
        // A sequence of this name is replaced.
        let _ = self.free(sequence);
        self.sequence_tokens = self.sequence_tokens.saturating_add(imported.positions());
        self.sequences.insert(sequence.to_owned(), imported);
        self.settings.probe.with_sequences(|held| held.insert(sequence.to_owned()));
        Ok(())
    }

    /// The load, which may be as old as the settings say.
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

    /// Changes of the prefix cache that are visible.
    pub fn cache_events(&self, now: Instant, after: u64) -> CacheEvents {
        self.prefixes.events(now, after)
    }

    /// What the engine holds.
    pub fn state(&mut self, now: Instant) -> State {
        self.complete_due_order(now);
        self.state.clone()
    }

    /// Takes an order; one that was taken before is not carried out again.
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
        // A sequence that was emptied by a failed step is kept until it is freed.
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
        // A single position is a generated token, whose cost is that of the batch.
        *prompt_tokens += (count - 1).saturating_sub(cached_tokens);
        Ok(self.output(step, &activations))
    }

    /// Decodes the input to activations and to the bytes that identify each position.
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

    /// Evicts cached prefixes so that a sequence of `tokens` fits beside the others.
    fn make_room(&mut self, now: Instant, tokens: u32) -> Result<(), StepError> {
        let needed = self.sequence_tokens.saturating_add(tokens);
        let left = self.settings.total_tokens.checked_sub(needed).ok_or(StepError::Memory)?;
        self.prefixes.shrink_to(now, left);
        Ok(())
    }

    /// Completes an order whose time has come.
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

    /// Drops what belongs to the model that was loaded before.
    fn clear_caches(&mut self) {
        self.sequences.clear();
        self.settings.probe.with_sequences(BTreeSet::clear);
        self.sequence_tokens = 0;
        self.prefixes = prefix::Cache::new(self.settings.event_delivery);
    }
}
