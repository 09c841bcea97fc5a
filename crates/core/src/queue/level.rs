//! The flows of one priority, by start-time fair queueing.
//!
//! Each flow has a start tag, the virtual time at which its next item starts. The flow with the
//! lowest tag is served next, and its tag grows by the cost of the item divided by its weight.
//! Items of recovered sequences go before all others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use slotmap::SlotMap;

use super::batch::Budget;
use super::{CLASSES, Class, Item, Location};
use crate::name;
use crate::request::Id;

/// Virtual time that one token costs a flow of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 20;

slotmap::new_key_type! {
    /// Identifies a flow: the steps of one workspace at one priority.
    pub(super) struct FlowKey;
}

/// The flows of one priority.
#[derive(Default)]
pub(super) struct Level {
    flows: SlotMap<FlowKey, Flow>,
    names: BTreeMap<name::Workspace, FlowKey>,
    /// For each class, the flows with queued items of it, by start tag.
    ready: [BTreeSet<(u64, FlowKey)>; CLASSES.len()],
    /// Flows without items whose start tag is ahead of the virtual time, so that what they have
    /// used still counts when their workspace returns.
    idle: BTreeSet<(u64, FlowKey)>,
    virtual_time: u64,
    /// Number of items in all flows.
    len: usize,
}

/// The items of one workspace at one priority.
struct Flow {
    workspace: name::Workspace,
    weight: u32,
    /// Virtual time at which the flow's next item starts.
    start_tag: u64,
    items: [VecDeque<Item>; CLASSES.len()],
}

impl Level {
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item to the flow of its workspace, and returns the flow.
    pub(super) fn push(&mut self, item: Item) -> FlowKey {
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

    /// Returns the oldest item of a class in a flow.
    pub(super) fn head(&self, flow: FlowKey, class: Class) -> Option<&Item> {
        self.flows.get(flow)?.items[class as usize].front()
    }

    /// Returns the flow with the lowest start tag among the classes that the batch accepts, and the
    /// class of its oldest item. Recovered sequences go first.
    pub(super) fn first(&self, budget: &Budget) -> Option<(FlowKey, Class)> {
        if self.is_empty() {
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

    /// Removes the oldest item of a class from a flow, and charges the flow for it.
    pub(super) fn pop(&mut self, key: FlowKey, class: Class) -> Option<Item> {
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

    /// Removes the item of a request without charging its flow.
    pub(super) fn remove(&mut self, location: Location, request: Id) -> Option<Item> {
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
            if tag > self.virtual_time && !self.is_empty() {
                break;
            }
            self.idle.remove(&(tag, key));
            if let Some(flow) = self.flows.remove(key) {
                self.names.remove(&flow.workspace);
            }
        }
        if self.is_empty() {
            self.virtual_time = 0;
        }
    }
}

impl Flow {
    fn is_empty(&self) -> bool {
        self.items.iter().all(VecDeque::is_empty)
    }
}
