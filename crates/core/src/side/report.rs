//! Load reports to the entries that are connected.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::{Load, Message};
use crate::name;
use crate::report_interval::Intervals;
use crate::time::Instant;

use super::Effect;
use super::gate::Gate;

/// Sequences or tokens below which a change of load is not worth a report.
const SMALL_LOAD: u32 = 8;

/// Who gets reports, and what was reported.
#[derive(Default)]
pub(super) struct Reports {
    /// Hosts that are entries by the configuration in force.
    expected: BTreeSet<name::Host>,
    /// Hosts that are connected, entries or not: one may become an entry later.
    connected: BTreeSet<name::Host>,
    last: BTreeMap<name::Endpoint, (Instant, Load)>,
    intervals: Intervals,
}

impl Reports {
    /// Sets how often loads are reported.
    pub(super) fn intervals(&mut self, intervals: Intervals) {
        self.intervals = intervals;
    }

    pub(super) fn expect<'a>(&mut self, entries: impl Iterator<Item = &'a name::Host>) {
        let expected: BTreeSet<name::Host> = entries.cloned().collect();
        let joined = expected.difference(&self.expected);
        if joined.into_iter().any(|host| self.connected.contains(host)) {
            // All reports are due again.
            self.last.clear();
        }
        self.expected = expected;
    }

    /// An entry is connected: it gets all reports at once.
    pub(super) fn up(
        &mut self,
        host: &name::Host,
        gates: &mut BTreeMap<name::Endpoint, Gate>,
        out: &mut Vec<Effect>,
    ) {
        if !self.connected.insert(host.clone()) || !self.expected.contains(host) {
            return;
        }
        for gate in gates.values() {
            out.push(report(host, &gate.load()));
        }
    }

    pub(super) fn lost(&mut self, host: &name::Host) {
        self.connected.remove(host);
    }

    /// Sends the reports that are due.
    pub(super) fn send(
        &mut self,
        now: Instant,
        gates: &mut BTreeMap<name::Endpoint, Gate>,
        out: &mut Vec<Effect>,
    ) {
        self.last.retain(|name, _| gates.contains_key(name));
        for (name, gate) in gates {
            let load = gate.load();
            if self.last.get(name).is_some_and(|last| !is_due(&self.intervals, now, last, &load)) {
                continue;
            }
            for host in self.connected.intersection(&self.expected) {
                out.push(report(host, &load));
            }
            gate.stored.clear();
            self.last.insert(name.clone(), (now, load));
        }
    }
}

/// Whether a load is worth a report now.
fn is_due(intervals: &Intervals, now: Instant, last: &(Instant, Load), load: &Load) -> bool {
    let (at, last) = last;
    if load.open != last.open || load.term != last.term {
        return true;
    }
    let busy = load.running > 0 || last.running > 0;
    let interval = if busy { intervals.busy } else { intervals.idle };
    let changed = differs(last.queued, load.queued) || differs(last.running, load.running);
    let since = now.since(*at);
    since >= interval || (since >= intervals.min && changed)
}

/// Whether a load has doubled or halved.
fn differs(last: u32, load: u32) -> bool {
    let (low, high) = (last.min(load), last.max(load));
    high > SMALL_LOAD && high / 2 >= low
}

fn report(host: &name::Host, load: &Load) -> Effect {
    Effect::Send { host: host.clone(), address: None, message: Message::Load(load.clone()) }
}
