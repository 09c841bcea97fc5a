//! Faults of a configuration, as they are reported to operators.

use std::fmt;

use derive_more::Display;
use oriole_macros::{data, failure, key};

/// The faults of a set of documents.
#[failure]
#[display("{}", Lines(faults))]
pub struct Error {
    /// The faults; never empty.
    #[error(not(source))]
    pub faults: Vec<Fault>,
}

/// An error in a document, and its place.
#[data]
#[derive(Display)]
#[display("{file}{}: {key}: {reason}: found {found}, allowed: {allowed}", Line(*line))]
pub struct Fault {
    /// Name of the document, without the `.toml` of its file.
    pub file: String,
    /// Line in the document, counted from 1; known only for documents that cannot be parsed.
    pub line: Option<usize>,
    /// Dotted key, or `(document)` if the fault concerns the document as a whole.
    pub key: String,
    /// Class of the fault, for evaluation by scripts.
    pub reason: Reason,
    /// The value or text that was found.
    pub found: String,
    /// Description of what would be accepted.
    pub allowed: String,
}

/// Class of a fault.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The name is not that of a document of the configuration.
    #[display("unknown document")]
    Document,
    /// The document is larger than the key-value service stores or peers transfer.
    #[display("too large")]
    Size,
    /// The text is not TOML, or a key is unknown, missing or of another type.
    #[serde(rename = "form")]
    #[display("malformed")]
    Malformed,
    /// A value is outside its range.
    #[display("out of range")]
    Range,
    /// A name has characters that are not allowed, or refers to nothing in the configuration.
    #[display("bad name")]
    Name,
    /// Two values that must differ are equal, or two that must be equal differ.
    #[display("contradiction")]
    Contradiction,
    /// The layer ranges of a model's endpoints leave a gap.
    #[display("gap in the layers")]
    Gap,
}

struct Lines<'a>(&'a [Fault]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

struct Line(Option<usize>);

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(line) => write!(f, ":{line}"),
            None => Ok(()),
        }
    }
}
