//! Differences between two texts of one document, by key.

use std::collections::BTreeMap;

use derive_more::Display;
use oriole_macros::data;
use toml::{Table, Value};

/// One key that differs.
#[data]
#[derive(Display)]
#[display(
    "{key}: {} -> {}",
    from.as_deref().unwrap_or("(absent)"),
    to.as_deref().unwrap_or("(absent)")
)]
pub struct Field {
    /// The key, with dots between its parts; empty if a text is not TOML.
    pub key: String,
    /// The value before, as TOML.
    pub from: Option<String>,
    /// The value after, as TOML.
    pub to: Option<String>,
}

/// The keys in which two documents differ. Texts that are not TOML count as one value.
pub fn fields(from: &str, to: &str) -> Vec<Field> {
    let (old, new) = (flatten(from), flatten(to));
    let mut list = Vec::new();
    for (key, value) in &old {
        if new.get(key) != Some(value) {
            let (key, from) = (key.clone(), Some(value.clone()));
            list.push(Field { to: new.get(&key).cloned(), key, from });
        }
    }
    for (key, value) in &new {
        if !old.contains_key(key) {
            list.push(Field { key: key.clone(), from: None, to: Some(value.clone()) });
        }
    }
    list.sort_by(|a, b| a.key.cmp(&b.key));
    list
}

fn flatten(text: &str) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    match text.parse::<Table>() {
        Ok(table) => walk("", &table, &mut leaves),
        Err(_) => {
            leaves.insert(String::new(), text.to_owned());
        }
    }
    leaves
}

fn walk(prefix: &str, table: &Table, leaves: &mut BTreeMap<String, String>) {
    for (name, value) in table {
        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        match value {
            Value::Table(inner) if !inner.is_empty() => walk(&key, inner, leaves),
            value => {
                leaves.insert(key, value.to_string());
            }
        }
    }
}
