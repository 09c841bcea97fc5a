//! Fair order of the steps that wait for one engine.
//!
//! - Higher priorities go first, but for a reserve: while lower ones wait, they get at least one
//!   token for each [`RESERVE_DIVISOR`] tokens that pass them.
//! - Within a priority, workspaces share by weight, counted in tokens (start-time fair queueing).
//!   A workspace that does not use its share leaves it to the others and saves nothing up.
//! - Within a workspace, work runs in order of arrival, recovered sequences first.
//!
//! A batch mixes decode steps and prompt chunks; [`Room`] bounds its prompt tokens so that a
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

/// Priorities, 0 (lowest) to 7.
const LEVELS: u8 = 8;

/// Virtual time that one token takes at weight 1.
const TOKEN_COST: u64 = 1 << 20;

slotmap::new_key_type! {
    /// A workspace's work at one priority.
    struct FlowKey;
}

/// What a step needs.
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

/// A step that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The request; it has at most one step waiting.
    pub request: Id,
    /// The workspace that pays.
    pub workspace: name::Workspace,
    /// Priority, 0 (lowest) to 7.
    pub priority: u8,
    /// Weight among workspaces of equal priority.
    pub weight: u32,
    /// Positions to run.
    pub tokens: u32,
    /// What the step needs.
    pub class: Class,
    /// When the request's answer is of no more use.
    pub deadline: Instant,
    /// When the step arrived.
    pub since: Instant,
}

/// Room in one batch.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Steps.
    pub steps: u32,
    /// Prompt tokens; one chunk that is larger may run as the only one.
    pub prompt_tokens: u32,
    /// Sequences that the engine can still take.
    pub starts: u32,
}

/// Steps that wait for one engine.
#[derive(Default)]
pub struct Queue {
    levels: [Level; LEVELS as usize],
    places: BTreeMap<Id, Place>,
    deadlines: BTreeSet<(Instant, Id)>,
    tokens: u64,
    /// Tokens that passed lower priorities since these were last served.
    owed: u64,
}

/// Where an item waits.
#[derive(Clone, Copy)]
struct Place {
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
    /// Flows with work of each class, by start tag.
    ready: [BTreeSet<(u64, FlowKey)>; CLASSES.len()],
    /// Flows without work whose tag lies ahead of the virtual time.
    idle: BTreeSet<(u64, FlowKey)>,
    virtual_time: u64,
    len: usize,
}

struct Flow {
    workspace: name::Workspace,
    weight: u32,
    /// Virtual time at which its next item starts.
    tag: u64,
    items: [VecDeque<Item>; CLASSES.len()],
}

impl Queue {
    /// Adds a step. A request that waits already keeps its place and the new step is dropped.
    pub fn push(&mut self, item: Item) {
        if self.places.contains_key(&item.request) {
            return;
        }
        let level = item.priority.min(LEVELS - 1);
        let (request, class, deadline) = (item.request, item.class, item.deadline);
        self.tokens += u64::from(item.tokens);
        let flow = self.levels[usize::from(level)].push(item);
        self.places.insert(request, Place { level, flow, class, deadline });
        self.deadlines.insert((deadline, request));
    }

    /// Removes the step of a request.
    pub fn remove(&mut self, request: Id) -> Option<Item> {
        let place = self.forget(request)?;
        let item = self.levels[usize::from(place.level)].remove(place, request)?;
        self.tokens = self.tokens.saturating_sub(u64::from(item.tokens));
        Some(item)
    }

    /// Removes the steps whose deadline is not after `horizon`.
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

    /// Takes the steps of the next batch.
    pub fn take(&mut self, room: Room) -> Vec<Item> {
        let mut filling = Filling { room, prompts: 0, closed: [false; CLASSES.len()] };
        let mut batch = Vec::new();
        while filling.room.steps > 0 {
            let Some(item) = self.take_one(&mut filling) else { break };
            filling.add(&item);
            batch.push(item);
        }
        batch
    }

    /// Steps that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Tokens of the steps that wait.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    fn forget(&mut self, request: Id) -> Option<Place> {
        let place = self.places.remove(&request)?;
        self.deadlines.remove(&(place.deadline, request));
        Some(place)
    }

    fn take_one(&mut self, filling: &mut Filling) -> Option<Item> {
        let (level, flow, class) = loop {
            let (level, flow, class) = self.choose(filling)?;
            let head = self.levels[usize::from(level)].head(flow, class)?;
            if filling.fits(head) {
                break (level, flow, class);
            }
            // No smaller chunk overtakes one that waits for the next batch.
            filling.close_prompts();
        };
        let item = self.levels[usize::from(level)].pop(flow, class)?;
        self.forget(item.request);
        self.tokens = self.tokens.saturating_sub(u64::from(item.tokens));
        Some(item)
    }

    /// The level and flow whose turn it is among the classes that the batch can take.
    fn choose(&mut self, filling: &Filling) -> Option<(u8, FlowKey, Class)> {
        let mut candidates = (0..LEVELS).rev().filter_map(|level| {
            let (flow, class) = self.levels[usize::from(level)].first(filling)?;
            Some((level, flow, class))
        });
        let top = candidates.next()?;
        let since = |&(level, flow, class): &(u8, FlowKey, Class)| {
            self.levels[usize::from(level)].head(flow, class).map(|item| item.since)
        };
        let cost = |&(level, flow, class): &(u8, FlowKey, Class)| {
            self.levels[usize::from(level)].head(flow, class).map_or(0, |i| u64::from(i.tokens))
        };
        let Some(low) = candidates.min_by_key(since) else {
            if self.levels[..usize::from(top.0)].iter().all(|level| level.len == 0) {
                self.owed = 0;
            }
            return Some(top);
        };
        let due = cost(&low) * RESERVE_DIVISOR;
        if self.owed >= due {
            self.owed -= due;
            Some(low)
        } else {
            self.owed += cost(&top);
            Some(top)
        }
    }
}

/// A batch that is being filled.
struct Filling {
    room: Room,
    /// Prompt chunks taken.
    prompts: u32,
    closed: [bool; CLASSES.len()],
}

impl Filling {
    fn takes(&self, class: Class) -> bool {
        let needs_sequence = matches!(class, Class::Resume | Class::Start);
        !self.closed[class as usize] && (self.room.starts > 0 || !needs_sequence)
    }

    fn fits(&self, item: &Item) -> bool {
        item.class == Class::Decode || self.prompts == 0 || item.tokens <= self.room.prompt_tokens
    }

    fn close_prompts(&mut self) {
        for class in [Class::Resume, Class::Prompt, Class::Start] {
            self.closed[class as usize] = true;
        }
    }

    fn add(&mut self, item: &Item) {
        self.room.steps -= 1;
        if item.class == Class::Decode {
            return;
        }
        self.prompts += 1;
        self.room.prompt_tokens = self.room.prompt_tokens.saturating_sub(item.tokens);
        if item.class != Class::Prompt {
            self.room.starts = self.room.starts.saturating_sub(1);
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
            self.idle.remove(&(flow.tag, key));
            flow.tag = flow.tag.max(virtual_time);
        }
        let class = item.class as usize;
        flow.items[class].push_back(item);
        self.ready[class].insert((flow.tag, key));
        key
    }

    fn add_flow(&mut self, workspace: name::Workspace) -> FlowKey {
        let flow = Flow {
            workspace: workspace.clone(),
            weight: 1,
            tag: self.virtual_time,
            items: Default::default(),
        };
        let key = self.flows.insert(flow);
        self.names.insert(workspace, key);
        key
    }

    fn head(&self, flow: FlowKey, class: Class) -> Option<&Item> {
        self.flows.get(flow)?.items[class as usize].front()
    }

    /// The flow with the least tag among the classes that the batch can take, and its oldest
    /// class; recovered sequences go first.
    fn first(&self, filling: &Filling) -> Option<(FlowKey, Class)> {
        if self.len == 0 {
            return None;
        }
        let least = |class: Class| {
            let first = self.ready[class as usize].first().filter(|_| filling.takes(class))?;
            Some((*first, class))
        };
        if let Some(((_, flow), class)) = least(Class::Resume) {
            return Some((flow, class));
        }
        let ((_, flow), _) = CLASSES.into_iter().filter_map(least).min()?;
        let since = |class: &Class| self.head(flow, *class).map(|item| item.since);
        let oldest = CLASSES
            .into_iter()
            .filter(|class| filling.takes(*class) && since(class).is_some())
            .min_by_key(since)?;
        Some((flow, oldest))
    }

    fn pop(&mut self, key: FlowKey, class: Class) -> Option<Item> {
        let flow = self.flows.get_mut(key)?;
        let item = flow.items[class as usize].pop_front()?;
        let started = flow.tag;
        let cost = u64::from(item.tokens) * TOKEN_COST / u64::from(flow.weight);
        let tag = started.saturating_add(cost);
        self.retag(key, tag);
        self.len -= 1;
        // A recovered sequence may start out of turn; the clock does not jump ahead for it.
        if class != Class::Resume {
            self.virtual_time = self.virtual_time.max(started);
        }
        self.collect();
        Some(item)
    }

    fn remove(&mut self, place: Place, request: Id) -> Option<Item> {
        let flow = self.flows.get_mut(place.flow)?;
        let items = &mut flow.items[place.class as usize];
        let index = items.iter().position(|item| item.request == request)?;
        let item = items.remove(index)?;
        let tag = flow.tag;
        self.retag(place.flow, tag);
        self.len -= 1;
        self.collect();
        Some(item)
    }

    /// Moves a flow to `tag` in the sets where it belongs now.
    fn retag(&mut self, key: FlowKey, tag: u64) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        let old = flow.tag;
        flow.tag = tag;
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

    /// Forgets flows without work that owe nothing any more.
    fn collect(&mut self) {
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
