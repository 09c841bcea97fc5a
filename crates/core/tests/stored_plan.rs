//! Entries keep one plan in the store, which comes back from copies between any two calls.
#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use oriole_core::fleet::Position;
use oriole_core::placement::Plan;
use oriole_core::placement::stored::Stored;
use proptest::prelude::*;

const ENTRIES: usize = 3;

/// A plan whose service names who made it, so that plans with one number differ.
fn plan(number: u64, maker: usize) -> Plan {
    let service = format!("made-by-{maker}");
    let services = [(service.as_str().into(), vec![])].into();
    Plan { number, position: Position::default(), services }
}

#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    revision: u64,
    plan: Option<Plan>,
}

impl Store {
    fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }

    /// Returns what a reader gets.
    fn read(&self) -> (Stored, Option<Plan>) {
        let Some(plan) = self.plan.clone() else {
            return (Stored::missing(self.position()), None);
        };
        let position = Position::new(self.era, plan.position.revision());
        let plan = Plan { position, ..plan };
        (Stored::plan(&plan), Some(plan))
    }

    /// Writes a plan if the key was last written at `expected`.
    fn write(&mut self, plan: &Plan, expected: u64) -> Option<Plan> {
        let current = self.plan.as_ref().map_or(0, |p| p.position.revision());
        if current != expected {
            return None;
        }
        self.revision += 1;
        let plan = Plan { position: self.position(), ..plan.clone() };
        self.plan = Some(plan.clone());
        Some(plan)
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    stored: Option<Stored>,
    plan: Option<Plan>,
}

impl Entry {
    fn record(&mut self, stored: Stored) {
        if self.stored.is_none_or(|known| !stored.is_outdated(&known)) {
            self.stored = Some(stored);
        }
    }

    fn adopt(&mut self, plan: &Plan) {
        if self.plan.as_ref().is_none_or(|known| plan.is_newer_than(known)) {
            self.plan = Some(plan.clone());
        }
    }

    fn hear_store(&mut self, (stored, plan): &(Stored, Option<Plan>)) {
        self.record(*stored);
        if let Some(plan) = plan {
            self.adopt(plan);
        }
    }

    fn expected(&self) -> u64 {
        self.stored.map_or(0, |s| s.expected_revision(self.plan.as_ref()))
    }

    /// Writes `plan`; the answer may be lost.
    fn write(&mut self, store: &mut Store, plan: &Plan, is_answered: bool) {
        let written = store.write(plan, self.expected());
        if !is_answered {
            return;
        }
        match written {
            Some(plan) => {
                self.record(Stored::plan(&plan));
                self.adopt(&plan);
            }
            None => self.hear_store(&store.read()),
        }
    }

    fn lost_plan(&self) -> Option<Plan> {
        let (stored, plan) = (self.stored?, self.plan.as_ref()?);
        stored.lacks(plan).then(|| plan.clone())
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// An entry proposes a plan; the answer may be lost.
    Propose(usize, bool),
    /// An entry writes back what the store has lost; the answer may be lost.
    WriteBack(usize, bool),
    Read(usize),
    /// An answer that was given some readings ago arrives.
    Late(usize, usize),
    Tell(usize, usize),
    /// An entry starts again and knows nothing.
    Restart(usize),
    Copy,
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    prop_oneof![
        4 => (entry.clone(), any::<bool>()).prop_map(|(n, b)| Step::Propose(n, b)),
        3 => (entry.clone(), any::<bool>()).prop_map(|(n, b)| Step::WriteBack(n, b)),
        5 => entry.clone().prop_map(Step::Read),
        1 => (entry.clone(), 0_usize..4).prop_map(|(n, ago)| Step::Late(n, ago)),
        3 => (entry.clone(), entry.clone()).prop_map(|(from, to)| Step::Tell(from, to)),
        1 => entry.prop_map(Step::Restart),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
    ]
}

fn tell(entries: &mut [Entry], from: usize, to: usize) {
    if let Some(plan) = entries[from].plan.clone() {
        entries[to].adopt(&plan);
    }
}

proptest! {
    #![proptest_config(fleet_fixture::proptest_config(1024))]

    /// No entry takes a step back, and in the end all have the newest plan that any of them holds, and the
    /// store has it.
    #[test]
    fn entries_settle_on_the_newest_plan(steps in prop::collection::vec(step(), 1..60)) {
        let mut store = Store { era: 1, ..Store::default() };
        let mut copy = store.clone();
        let mut entries = vec![Entry::default(); ENTRIES];
        let mut readings = vec![store.read()];
        for step in steps {
            let before: Vec<_> = entries.iter().map(|e| e.plan.clone()).collect();
            let mut restarted = None;
            match step {
                Step::Propose(n, is_answered) => {
                    let number = entries[n].plan.as_ref().map_or(0, |p| p.number);
                    entries[n].write(&mut store, &plan(number + 1, n), is_answered);
                }
                Step::WriteBack(n, is_answered) => {
                    if let Some(plan) = entries[n].lost_plan() {
                        entries[n].write(&mut store, &plan, is_answered);
                    }
                }
                Step::Read(n) => {
                    readings.push(store.read());
                    entries[n].hear_store(&store.read());
                }
                Step::Late(n, ago) => {
                    if let Some(reading) = readings.iter().rev().nth(ago) {
                        entries[n].hear_store(reading);
                    }
                }
                Step::Tell(from, to) => tell(&mut entries, from, to),
                Step::Restart(n) => {
                    entries[n] = Entry::default();
                    restarted = Some(n);
                }
                Step::Copy => copy = store.clone(),
                Step::Restore => store = Store { era: store.era + 1, ..copy.clone() },
            }
            for (n, old) in before.iter().enumerate().filter(|(n, _)| restarted != Some(*n)) {
                let Some(old) = old else {
                    continue;
                };
                let is_kept = entries[n].plan.as_ref().is_some_and(|new| new.number >= old.number);
                prop_assert!(is_kept, "entry {n} has taken a step back");
            }
        }
        for _ in 0..2 * ENTRIES {
            for n in 0..ENTRIES {
                entries[n].hear_store(&store.read());
                if let Some(plan) = entries[n].lost_plan() {
                    entries[n].write(&mut store, &plan, true);
                }
                (0..ENTRIES).for_each(|to| tell(&mut entries, n, to));
            }
        }
        let stored = store.read().1;
        for entry in &entries {
            prop_assert_eq!(&entry.plan, &stored);
        }
        // The next proposal is accepted.
        let number = stored.map_or(0, |p| p.number);
        entries[0].write(&mut store, &plan(number + 1, 0), true);
        prop_assert_eq!(store.plan.map(|p| p.number), Some(number + 1));
    }
}
