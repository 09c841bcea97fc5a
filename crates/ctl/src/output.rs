//! What is printed: text for people, or JSON for scripts.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Form {
    /// Text for people.
    Text,
    /// One JSON value.
    Json,
}

impl Form {
    /// Prints a result to the standard output.
    pub fn print<T: Display + Serialize>(self, value: &T) {
        let text = match self {
            Self::Text => value.to_string(),
            Self::Json => serde_json::to_string_pretty(value).unwrap_or_default(),
        };
        // Whoever reads the output may have closed it.
        let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    }

    /// Tells how far a command has come, on the standard error.
    pub fn progress(self, value: &impl Display) {
        let _ = writeln!(std::io::stderr(), "{value}");
    }
}
