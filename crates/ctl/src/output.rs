//! Printing of results, as text for people or as JSON for scripts.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;

/// The format of the output.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON value.
    Json,
}

impl Format {
    /// Prints a result to standard output.
    pub fn print<T: Display + Serialize>(self, value: &T) {
        let text = match self {
            Self::Text => value.to_string(),
            Self::Json => serde_json::to_string_pretty(value).unwrap_or_default(),
        };
        // The reader of a pipe may have closed it, which is no error of the command.
        let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    }

    /// Prints the progress of a command to standard error.
    pub fn progress(self, value: &impl Display) {
        let _ = writeln!(std::io::stderr(), "{value}");
    }
}
