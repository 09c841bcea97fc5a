//! The last logged state of each entry, and how its requests ended.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use super::line::Line;

/// What one entry has logged.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Entry {
    /// Version of the routing table in force; `None` if the entry has logged none.
    pub table: Option<String>,
    /// Number of the plan in force; `None` if the entry has logged none.
    pub plan: Option<String>,
    /// Paths of usable chains by their first endpoint: `ENDPOINT=FIRST_LAYER-END_LAYER` for each
    /// stage, separated by commas.
    pub chains: BTreeMap<String, String>,
    /// Purposes for which the entry cannot reach the store.
    pub store_lost: BTreeSet<String>,
    /// Number of requests, by how they ended.
    pub requests: BTreeMap<String, usize>,
}

/// What all entries have logged.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Entries by the source of their lines.
    pub entries: BTreeMap<String, Entry>,
}

impl Summary {
    /// Summarizes lines, which must be in the order in which each entry logged them.
    pub fn of(lines: &[Line]) -> Self {
        let mut entries: BTreeMap<String, Entry> = BTreeMap::new();
        for line in lines {
            entries.entry(line.source.clone()).or_default().update(line);
        }
        Self { entries }
    }
}

impl Entry {
    fn update(&mut self, line: &Line) {
        let field = |key: &str| line.get(key).to_owned();
        match line.message.as_str() {
            "started" => {
                *self = Self { requests: std::mem::take(&mut self.requests), ..Self::default() }
            }
            "routing table in force" => self.table = Some(field("version")),
            "plan in force" => {
                self.plan = Some(field("number"));
                self.chains.clear();
            }
            "usable chain" => {
                self.chains.insert(field("head"), field("path"));
            }
            "store lost" => {
                self.store_lost.insert(field("purpose"));
            }
            "store regained" => {
                self.store_lost.remove(line.get("purpose"));
            }
            "served" | "caller left" | "endpoint's failure passed on" => {
                self.count(line.message.clone())
            }
            "given up" | "rejected" => self.count(format!("{} {}", line.message, field("reason"))),
            _ => {}
        }
    }

    fn count(&mut self, outcome: String) {
        *self.requests.entry(outcome).or_default() += 1;
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, entry) in &self.entries {
            let table = entry.table.as_deref().unwrap_or("none");
            let plan = entry.plan.as_deref().unwrap_or("none");
            write!(f, "{name}: table {table}, plan {plan}, {} chains", entry.chains.len())?;
            for purpose in &entry.store_lost {
                write!(f, ", store lost for {purpose}")?;
            }
            for (outcome, count) in &entry.requests {
                write!(f, ", {count} {outcome}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

/// Which endpoints hold which layers, as logged by an entry that has the newest plan.
#[derive(Clone, Debug, Serialize)]
pub struct Layout {
    /// Source of the entry's lines.
    pub entry: String,
    /// Number of the plan.
    pub plan: String,
    /// Paths of usable chains by their first endpoint.
    pub chains: BTreeMap<String, String>,
}

impl Layout {
    /// Returns the layout of the newest plan in `summary`; `None` without a plan.
    ///
    /// If several entries have that plan, the one with most usable chains is used.
    pub fn of(summary: &Summary) -> Option<Self> {
        let number = |entry: &Entry| entry.plan.as_ref()?.parse::<u64>().ok();
        let with_plan = summary.entries.iter().filter_map(|(name, e)| Some((number(e)?, name, e)));
        let (plan, entry, state) =
            with_plan.max_by_key(|(number, _, e)| (*number, e.chains.len()))?;
        Some(Self { entry: entry.clone(), plan: plan.to_string(), chains: state.chains.clone() })
    }
}

impl fmt::Display for Layout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "plan {} as logged by {}:", self.plan, self.entry)?;
        for path in self.chains.values() {
            writeln!(f, "  {}", path.replace(',', ", "))?;
        }
        Ok(())
    }
}
