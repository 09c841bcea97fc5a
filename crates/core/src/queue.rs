//! Fair queue of the steps that wait for one engine.
//!
//! - Higher priorities go first, except for a reserve: while lower priorities wait, they get at
//!   least one token for each [`RESERVE_DIVISOR`] tokens of higher priorities.
//! - Within a priority, workspaces share by weight, counted in tokens (start-time fair queueing).
//!   A workspace that does not use its share leaves it to the others and gets no credit for later.
//! - Within a workspace, steps run in order of arrival, those of recovered sequences first.
//!
//! A batch mixes decode steps and prompt chunks; [`Capacity`] bounds its prompt tokens so that a
//! burst of prompts does not stall sequences that are being decoded. See
//! `docs/design/fair-order.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oriole_macros::key;
use slotmap::SlotMap;

use crate::name;
use crate::request::Id;
use crate::time::Instant;

/// Tokens of higher priorities after which one token of a lower priority is due.
pub const RESERVE_DIVISOR: u64 = 10;

/// Number of priorities, 0 (lowest) to 7.
const PRIORITIES: u8 = 8;

/// Virtual time that one token costs a flow of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 20;

slotmap::new_key_type! {
    /// Identifies a flow: the steps of one workspace at one priority.
    struct FlowKey;
}

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

/// Where an item is queued.
#[derive(Clone, Copy)]
struct Location {
    level: u8,
    flow: FlowKey,
    class: Class,
    deadline: Instant,
}

/// The flows of one priority.
#[derive(Default)]
struct Level {
    flows: SlotMap<FlowKey, Flow>,
    names: BTreeMap<name::Workspace, FlowKey>,
    /// For each class, the flows with queued items of it, by start tag.
    ready: [BTreeSet<(u64, FlowKey)>; CLASSES.len()],
    /// Flows without items whose start tag is ahead of the virtual time, so that what they have
    /// used still counts when their workspace returns.
    idle: BTreeSet<(u64, FlowKey)>,
    virtual_time: u64,
    len: usize,
}

struct Flow {
    workspace: name::Workspace,
    weight: u32,
    /// Virtual time at which the flow's next item starts.
    start_tag: u64,
    items: [VecDeque<Item>; CLASSES.len()],
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
        let mut budget =
            BatchBudget { left: capacity, chunks: 0, closed_classes: [false; CLASSES.len()] };
        let mut batch = Vec::new();
        while budget.left.steps > 0 {
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

    fn take_next(&mut self, budget: &mut BatchBudget) -> Option<Item> {
        let (level, flow, class) = loop {
            let (level, flow, class) = self.choose(budget)?;
            let head = self.levels[usize::from(level)].head(flow, class)?;
            if budget.fits(head) {
                break (level, flow, class);
            }
            // Otherwise, smaller chunks would overtake one that must wait for the next batch.
            budget.close_prompts();
        };
        let item = self.levels[usize::from(level)].pop(flow, class)?;
        self.unindex(item.request);
        self.tokens = self.tokens.saturating_sub(u64::from(item.tokens));
        Some(item)
    }

    /// Picks the level, flow and class of the next step, and updates the reserve of lower levels.
    fn choose(&mut self, budget: &BatchBudget) -> Option<(u8, FlowKey, Class)> {
        let mut candidates = (0..PRIORITIES).rev().filter_map(|level| {
            let (flow, class) = self.levels[usize::from(level)].first(budget)?;
            Some((level, flow, class))
        });
        let top = candidates.next()?;
        let queued_at = |&(level, flow, class): &(u8, FlowKey, Class)| {
            self.levels[usize::from(level)].head(flow, class).map(|item| item.queued_at)
        };
        let cost = |&(level, flow, class): &(u8, FlowKey, Class)| {
            self.levels[usize::from(level)].head(flow, class).map_or(0, |i| u64::from(i.tokens))
        };
        let Some(low) = candidates.min_by_key(queued_at) else {
            if self.levels[..usize::from(top.0)].iter().all(|level| level.len == 0) {
                self.bypassed_tokens = 0;
            }
            return Some(top);
        };
        let due = cost(&low) * RESERVE_DIVISOR;
        if self.bypassed_tokens >= due {
            self.bypassed_tokens -= due;
            Some(low)
        } else {
            self.bypassed_tokens += cost(&top);
            Some(top)
        }
    }
}

/// Remaining capacity of a batch that is being assembled.
struct BatchBudget {
    left: Capacity,
    /// Number of prompt chunks in the batch.
    chunks: u32,
    closed_classes: [bool; CLASSES.len()],
}

impl BatchBudget {
    fn accepts(&self, class: Class) -> bool {
        let needs_sequence = matches!(class, Class::Resume | Class::Start);
        !self.closed_classes[class as usize] && (self.left.new_sequences > 0 || !needs_sequence)
    }

    fn fits(&self, item: &Item) -> bool {
        item.class == Class::Decode || self.chunks == 0 || item.tokens <= self.left.prompt_tokens
    }

    fn close_prompts(&mut self) {
        for class in [Class::Resume, Class::Prompt, Class::Start] {
            self.closed_classes[class as usize] = true;
        }
    }

    fn add(&mut self, item: &Item) {
        self.left.steps -= 1;
        if item.class == Class::Decode {
            return;
        }
        self.chunks += 1;
        self.left.prompt_tokens = self.left.prompt_tokens.saturating_sub(item.tokens);
        if item.class != Class::Prompt {
            self.left.new_sequences = self.left.new_sequences.saturating_sub(1);
        }
    }
}

impl Level {
    fn push(&mut self, item: Item) -> FlowKey {
        let key = match self.names.get(&item.workspace) {
            Some(&key) => key,
            None => self.add_flow(item.workspace.clone()),
        };
        self.len += 1;
        let virtual_time = self.virtual_time;
        let Some(flow) = self.flows.get_mut(key) else { return key };
        flow.weight = item.weight.max(1);
        if flow.is_empty() {
            self.idle.remove(&(flow.start_tag, key));
            flow.start_tag = flow.start_tag.max(virtual_time);
        }
        let class = item.class as usize;
        flow.items[class].push_back(item);
        self.ready[class].insert((flow.start_tag, key));
        key
    }

    fn add_flow(&mut self, workspace: name::Workspace) -> FlowKey {
        let flow = Flow {
            workspace: workspace.clone(),
            weight: 1,
            start_tag: self.virtual_time,
            items: Default::default(),
        };
        let key = self.flows.insert(flow);
        self.names.insert(workspace, key);
        key
    }

    fn head(&self, flow: FlowKey, class: Class) -> Option<&Item> {
        self.flows.get(flow)?.items[class as usize].front()
    }

    /// Returns the flow with the lowest start tag among the classes that the batch accepts, and the
    /// class of its oldest item. Recovered sequences go first.
    fn first(&self, budget: &BatchBudget) -> Option<(FlowKey, Class)> {
        if self.len == 0 {
            return None;
        }
        let min_flow = |class: Class| {
            let first = self.ready[class as usize].first().filter(|_| budget.accepts(class))?;
            Some((*first, class))
        };
        if let Some(((_, flow), class)) = min_flow(Class::Resume) {
            return Some((flow, class));
        }
        let ((_, flow), _) = CLASSES.into_iter().filter_map(min_flow).min()?;
        let queued_at = |class: &Class| self.head(flow, *class).map(|item| item.queued_at);
        let oldest = CLASSES
            .into_iter()
            .filter(|class| budget.accepts(*class) && queued_at(class).is_some())
            .min_by_key(queued_at)?;
        Some((flow, oldest))
    }

    fn pop(&mut self, key: FlowKey, class: Class) -> Option<Item> {
        let flow = self.flows.get_mut(key)?;
        let item = flow.items[class as usize].pop_front()?;
        let start_tag = flow.start_tag;
        let cost = u64::from(item.tokens) * VIRTUAL_TIME_PER_TOKEN / u64::from(flow.weight);
        let tag = start_tag.saturating_add(cost);
        self.set_start_tag(key, tag);
        self.len -= 1;
        // A recovered sequence may start out of turn, so it does not advance the virtual time.
        if class != Class::Resume {
            self.virtual_time = self.virtual_time.max(start_tag);
        }
        self.remove_idle_flows();
        Some(item)
    }

    fn remove(&mut self, location: Location, request: Id) -> Option<Item> {
        let flow = self.flows.get_mut(location.flow)?;
        let items = &mut flow.items[location.class as usize];
        let index = items.iter().position(|item| item.request == request)?;
        let item = items.remove(index)?;
        let tag = flow.start_tag;
        self.set_start_tag(location.flow, tag);
        self.len -= 1;
        self.remove_idle_flows();
        Some(item)
    }

    /// Sets a flow's start tag and updates the sets that are sorted by it.
    fn set_start_tag(&mut self, key: FlowKey, tag: u64) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        let old = flow.start_tag;
        flow.start_tag = tag;
        for (set, items) in self.ready.iter_mut().zip(&flow.items) {
            set.remove(&(old, key));
            if !items.is_empty() {
                set.insert((tag, key));
            }
        }
        if flow.is_empty() {
            self.idle.insert((tag, key));
        }
    }

    /// Removes the flows without items that the virtual time has reached, or all in an empty level.
    fn remove_idle_flows(&mut self) {
        while let Some(&(tag, key)) = self.idle.first() {
            if tag > self.virtual_time && self.len > 0 {
                break;
            }
            self.idle.remove(&(tag, key));
            if let Some(flow) = self.flows.remove(key) {
                self.names.remove(&flow.workspace);
            }
        }
        if self.len == 0 {
            self.virtual_time = 0;
        }
    }
}

impl Flow {
    fn is_empty(&self) -> bool {
        self.items.iter().all(VecDeque::is_empty)
    }
}
