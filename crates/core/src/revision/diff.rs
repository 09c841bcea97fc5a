//! Differences by key between two versions of a document.

use std::collections::BTreeMap;

use derive_more::Display;
use oriole_macros::data;
use toml::{Table, Value};

/// A key whose value differs between two versions of a document.
#[data]
#[derive(Display)]
#[display(
    "{key}: {} -> {}",
    from.as_deref().unwrap_or("(absent)"),
    to.as_deref().unwrap_or("(absent)")
)]
pub struct FieldDiff {
    /// The dotted key; empty if a version is not TOML.
    pub key: String,
    /// The old value as TOML, `None` if the key is new.
    pub from: Option<String>,
    /// The new value as TOML, `None` if the key was removed.
    pub to: Option<String>,
}

/// Returns the keys whose values differ, in order. A text that is not TOML counts as one value.
pub fn diff_fields(from: &str, to: &str) -> Vec<FieldDiff> {
    let (old, new) = (flatten(from), flatten(to));
    let mut diffs = Vec::new();
    for (key, value) in &old {
        if new.get(key) != Some(value) {
            let (key, from) = (key.clone(), Some(value.clone()));
            diffs.push(FieldDiff { to: new.get(&key).cloned(), key, from });
        }
    }
    for (key, value) in &new {
        if !old.contains_key(key) {
            diffs.push(FieldDiff { key: key.clone(), from: None, to: Some(value.clone()) });
        }
    }
    diffs.sort_by(|a, b| a.key.cmp(&b.key));
    diffs
}

fn flatten(text: &str) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    match text.parse::<Table>() {
        Ok(table) => collect_leaves("", &table, &mut leaves),
        Err(_) => {
            leaves.insert(String::new(), text.to_owned());
        }
    }
    leaves
}

fn collect_leaves(prefix: &str, table: &Table, leaves: &mut BTreeMap<String, String>) {
    for (name, value) in table {
        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        match value {
            Value::Table(inner) if !inner.is_empty() => collect_leaves(&key, inner, leaves),
            value => {
                leaves.insert(key, value.to_string());
            }
        }
    }
}
