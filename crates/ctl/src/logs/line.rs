//! One line of a log, as `env_logger` writes it: `[TIME LEVEL module] message key=value ...`.
//!
//! Words before the bracket, such as a time and a host name that a log collector added, take
//! precedence over the time in the bracket and the name of the file.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The host: the last word before the bracket, or the name of the file if there is none.
    pub source: String,
    /// The time: the first of several words before the bracket, or else the time in the bracket.
    pub at: String,
    /// The message, without key-values.
    pub message: String,
    /// The key-values after the message.
    pub fields: BTreeMap<String, String>,
}

impl Line {
    /// Parses a line of the file named `file`; `None` if it is not a log line.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (before, rest) = text.split_once('[')?;
        let (prefix, body) = rest.split_once("] ")?;
        let mut prefix = prefix.split_whitespace();
        let (time, _level, _module) = (prefix.next()?, prefix.next()?, prefix.next()?);
        let before: Vec<&str> = before.split_whitespace().collect();
        let (at, source) = match before.as_slice() {
            [] => (time, file),
            [source] => (time, *source),
            [at, .., source] => (*at, *source),
        };
        let (message, fields) = split_fields(body);
        Some(Self { source: source.to_owned(), at: at.to_owned(), message, fields })
    }

    /// Returns the value of a key; empty if the line does not have it.
    pub fn get(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", String::as_str)
    }
}

/// Splits a message from the key-values after it.
///
/// Values may contain spaces, as that of `error` does: a word that does not start with `KEY=`
/// belongs to the value before it.
fn split_fields(body: &str) -> (String, BTreeMap<String, String>) {
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
