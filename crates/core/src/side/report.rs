//! Load reports to connected entries and to the sides of replicas.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::{Load, Message};
use crate::name;
use crate::report_interval::Intervals;
use crate::time::Instant;

use super::Effect;
use super::dispatcher::Dispatcher;

/// Number of sequences or queued tokens up to which changes of load are not reported early.
const MAX_INSIGNIFICANT_LOAD: u32 = 8;

/// The receivers of load reports, and the reports last sent.
#[derive(Default)]
pub(super) struct Reports {
    /// Hosts that get reports by the configuration in force.
    recipients: BTreeSet<name::Host>,
    /// All connected hosts; a later configuration may make any of them a recipient.
    connected: BTreeSet<name::Host>,
    last_sent: BTreeMap<name::Endpoint, (Instant, Load)>,
    intervals: Intervals,
}

impl Reports {
    /// Sets the intervals of reports.
    pub(super) fn set_intervals(&mut self, intervals: Intervals) {
        self.intervals = intervals;
    }

    pub(super) fn set_recipients<'a>(&mut self, hosts: impl Iterator<Item = &'a name::Host>) {
        let recipients: BTreeSet<name::Host> = hosts.cloned().collect();
        let joined = recipients.difference(&self.recipients);
        if joined.into_iter().any(|host| self.connected.contains(host)) {
            // Makes all reports due, so that the new recipient gets them.
            self.last_sent.clear();
        }
        self.recipients = recipients;
    }

    /// Registers a connected host. A recipient gets the reports of all endpoints at once.
    pub(super) fn connected(
        &mut self,
        host: &name::Host,
        dispatchers: &mut BTreeMap<name::Endpoint, Dispatcher>,
        out: &mut Vec<Effect>,
    ) {
        if !self.connected.insert(host.clone()) || !self.recipients.contains(host) {
            return;
        }
        for dispatcher in dispatchers.values() {
            out.push(load_message(host, &dispatcher.load()));
        }
    }

    pub(super) fn disconnected(&mut self, host: &name::Host) {
        self.connected.remove(host);
    }

    /// Sends the reports that are due to all connected recipients.
    pub(super) fn send_due(
        &mut self,
        now: Instant,
        dispatchers: &mut BTreeMap<name::Endpoint, Dispatcher>,
        out: &mut Vec<Effect>,
    ) {
        self.last_sent.retain(|name, _| dispatchers.contains_key(name));
        for (name, dispatcher) in dispatchers {
            let load = dispatcher.load();
            if self
                .last_sent
                .get(name)
                .is_some_and(|last| !is_due(&self.intervals, now, last, &load))
            {
                continue;
            }
            for host in self.connected.intersection(&self.recipients) {
                out.push(load_message(host, &load));
            }
            dispatcher.stored_prefixes.clear();
            self.last_sent.insert(name.clone(), (now, load));
        }
    }
}

/// Returns whether a report of `load` is due: immediately if the endpoint opens, closes or changes
/// its term, early on a significant change, otherwise at the regular interval.
fn is_due(intervals: &Intervals, now: Instant, last: &(Instant, Load), load: &Load) -> bool {
    let (at, last) = last;
    if load.open != last.open || load.term != last.term {
        return true;
    }
    let busy = load.running > 0 || last.running > 0;
    let interval = if busy { intervals.busy } else { intervals.idle };
    let changed = is_significant_change(last.queued, load.queued)
        || is_significant_change(last.running, load.running);
    let since = now.since(*at);
    since >= interval || (since >= intervals.min && changed)
}

/// Returns whether a load has at least doubled or halved and is not small.
fn is_significant_change(last: u32, load: u32) -> bool {
    let (low, high) = (last.min(load), last.max(load));
    high > MAX_INSIGNIFICANT_LOAD && high / 2 >= low
}

fn load_message(host: &name::Host, load: &Load) -> Effect {
    Effect::Send { host: host.clone(), address: None, message: Message::Load(load.clone()) }
}
