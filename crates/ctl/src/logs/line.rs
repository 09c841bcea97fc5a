//! One line of a log, as `env_logger` writes it: `[TIME LEVEL module] message key=value ...`.
//!
//! What stands before the bracket, such as a time and a host that a collector added, is kept as the
//! line's source.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

/// A line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The last word before the bracket, which names the host; else the name of the file.
    pub source: String,
    /// The first word before the bracket, if there are several; else the time within it.
    pub at: String,
    /// The message without its key-values.
    pub message: String,
    /// The key-values.
    pub fields: BTreeMap<String, String>,
}

impl Line {
    /// Reads a line of `file`; none if it is not a log line.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (before, rest) = text.split_once('[')?;
        let (head, body) = rest.split_once("] ")?;
        let mut head = head.split_whitespace();
        let (time, _level, _module) = (head.next()?, head.next()?, head.next()?);
        let before: Vec<&str> = before.split_whitespace().collect();
        let (at, source) = match before.as_slice() {
            [] => (time, file),
            [source] => (time, *source),
            [at, .., source] => (*at, *source),
        };
        let (message, fields) = split(body);
        Some(Self { source: source.to_owned(), at: at.to_owned(), message, fields })
    }

    /// The value of a key; empty without it.
    pub fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }
}

/// Splits a message from the key-values after it. A value without `=` in its later words goes on
/// over them, as that of `error` does.
fn split(body: &str) -> (String, BTreeMap<String, String>) {
    let mut message = vec![];
    let mut fields = BTreeMap::new();
    let mut last: Option<String> = None;
    for word in body.split_whitespace() {
        let pair = word.split_once('=').filter(|(key, _)| is_key(key));
        match (pair, &last) {
            (Some((key, value)), _) => {
                fields.insert(key.to_owned(), value.to_owned());
                last = Some(key.to_owned());
            }
            (None, Some(key)) => {
                let value = fields.entry(key.clone()).or_default();
                value.push(' ');
                value.push_str(word);
            }
            (None, None) => message.push(word),
        }
    }
    (message.join(" "), fields)
}

fn is_key(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.source, self.message)?;
        for (key, value) in &self.fields {
            write!(f, " {key}={value}")?;
        }
        Ok(())
    }
}
