//! Fair queue of the steps that wait for one engine.
//!
//! - Higher priorities go first, except for a reserve: while lower priorities wait, they get at
//!   least one token for each [`RESERVE_DIVISOR`] tokens of higher priorities.
//! - Within a priority, workspaces share by weight, counted in tokens (start-time fair queueing).
//!   A workspace that does not use its share leaves it to the others and gets no credit for later.
//! - Within a workspace, steps run in order of arrival, those of recovered sequences first.
//!
//! [`Queue`] shares between the priorities, and a `Level` between the workspaces of one.
//!
//! A batch mixes decode steps and prompt chunks; [`Capacity`] bounds its prompt tokens so that a
//! burst of prompts does not stall sequences that are being decoded. See
//! `docs/design/fair-order.md`.

mod batch;
mod level;

use std::collections::{BTreeMap, BTreeSet};

use oriole_macros::key;

use crate::name;
use crate::request::Id;
use crate::time::Instant;
use batch::Budget;
use level::{FlowKey, Level};

/// Tokens of higher priorities after which one token of a lower priority is due.
pub const RESERVE_DIVISOR: u64 = 10;

/// Number of priorities, 0 (lowest) to 7.
const PRIORITIES: u8 = 8;

/// Kind of a step, by what it needs from the engine.
#[key]
pub enum Class {
    /// The first step of a recovered sequence; needs a free sequence.
    Resume,
    /// One position of a sequence that the engine holds.
    Decode,
    /// A prompt chunk of a sequence that the engine holds.
    Prompt,
    /// The first step of a new sequence; needs a free sequence.
    Start,
}

const CLASSES: [Class; 4] = [Class::Resume, Class::Decode, Class::Prompt, Class::Start];

/// A step in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The request. A request has at most one step in the queue.
    pub request: Id,
    /// The workspace that is charged.
    pub workspace: name::Workspace,
    /// Priority, 0 (lowest) to 7.
    pub priority: u8,
    /// Weight among workspaces of equal priority.
    pub weight: u32,
    /// Number of positions to run.
    pub tokens: u32,
    /// What the step needs.
    pub class: Class,
    /// Deadline of the request, after which its answer is useless.
    pub deadline: Instant,
    /// When the step was queued.
    pub queued_at: Instant,
}

/// Capacity of one batch.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Maximum number of steps.
    pub steps: u32,
    /// Maximum number of prompt tokens. A larger chunk may run as the only one of its batch.
    pub prompt_tokens: u32,
    /// Number of further sequences that the engine can hold.
    pub new_sequences: u32,
}

/// Queue of the steps that wait for one engine.
#[derive(Default)]
pub struct Queue {
    levels: [Level; PRIORITIES as usize],
    locations: BTreeMap<Id, Location>,
    deadlines: BTreeSet<(Instant, Id)>,
    tokens: u64,
    /// Tokens served ahead of waiting lower priorities, less those paid back by the reserve.
    bypassed_tokens: u64,
}

/// The oldest item of a class in a flow.
#[derive(Clone, Copy)]
struct Head {
    level: u8,
    flow: FlowKey,
    class: Class,
}

/// Where an item is queued.
#[derive(Clone, Copy)]
struct Location {
    level: u8,
    flow: FlowKey,
    class: Class,
    deadline: Instant,
}

impl Queue {
    /// Adds a step. The step is dropped if the request already has one in the queue.
    pub fn push(&mut self, item: Item) {
        if self.locations.contains_key(&item.request) {
            return;
        }
        let level = item.priority.min(PRIORITIES - 1);
        let (request, class, deadline) = (item.request, item.class, item.deadline);
        self.tokens += u64::from(item.tokens);
        let flow = self.levels[usize::from(level)].push(item);
        self.locations.insert(request, Location { level, flow, class, deadline });
        self.deadlines.insert((deadline, request));
    }

    /// Removes the step of a request and returns it, or `None` if the request has none.
    pub fn remove(&mut self, request: Id) -> Option<Item> {
        let location = self.unindex(request)?;
        let item = self.levels[usize::from(location.level)].remove(location, request)?;
        self.tokens = self.tokens.saturating_sub(u64::from(item.tokens));
        Some(item)
    }

    /// Removes and returns the steps whose deadline is at or before `horizon`.
    pub fn expire(&mut self, horizon: Instant) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > horizon {
                break;
            }
            expired.extend(self.remove(request));
        }
        expired
    }

    /// Removes and returns the steps of the next batch.
    pub fn take(&mut self, capacity: Capacity) -> Vec<Item> {
        let mut budget = Budget::new(capacity);
        let mut batch = Vec::new();
        while !budget.is_spent() {
            let Some(item) = self.take_next(&mut budget) else { break };
            budget.add(&item);
            batch.push(item);
        }
        batch
    }

    /// Returns the number of steps in the queue.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the sum of the tokens of all steps in the queue.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    fn unindex(&mut self, request: Id) -> Option<Location> {
        let location = self.locations.remove(&request)?;
        self.deadlines.remove(&(location.deadline, request));
        Some(location)
    }

    /// Removes and returns the next step of a batch, or `None` if nothing fits into it.
    fn take_next(&mut self, budget: &mut Budget) -> Option<Item> {
        let head = loop {
            let head = self.choose(budget)?;
            if budget.fits(self.item(head)?) {
                break head;
            }
            // Otherwise, smaller chunks would overtake one that must wait for the next batch.
            budget.close_prompts();
        };
        let item = self.levels[usize::from(head.level)].pop(head.flow, head.class)?;
        self.unindex(item.request);
        self.tokens = self.tokens.saturating_sub(u64::from(item.tokens));
        Some(item)
    }

    /// Chooses the next step, and updates the reserve of lower levels.
    fn choose(&mut self, budget: &Budget) -> Option<Head> {
        let mut heads = (0..PRIORITIES).rev().filter_map(|level| self.first(level, budget));
        let top = heads.next()?;
        let Some(oldest) = heads.min_by_key(|head| self.item(*head).map(|item| item.queued_at))
        else {
            if self.levels[..usize::from(top.level)].iter().all(Level::is_empty) {
                self.bypassed_tokens = 0;
            }
            return Some(top);
        };
        let due = self.cost(oldest) * RESERVE_DIVISOR;
        if self.bypassed_tokens >= due {
            self.bypassed_tokens -= due;
            Some(oldest)
        } else {
            self.bypassed_tokens += self.cost(top);
            Some(top)
        }
    }

    /// Returns the step that a level would run next, if the batch accepts one.
    fn first(&self, level: u8, budget: &Budget) -> Option<Head> {
        let (flow, class) = self.levels[usize::from(level)].first(budget)?;
        Some(Head { level, flow, class })
    }

    fn item(&self, head: Head) -> Option<&Item> {
        self.levels[usize::from(head.level)].head(head.flow, head.class)
    }

    fn cost(&self, head: Head) -> u64 {
        self.item(head).map_or(0, |item| u64::from(item.tokens))
    }
}
