//! What is wrong with a set of documents, in the operator's terms.

use std::fmt;

use derive_more::Display;
use oriole_macros::{data, failure, key};

/// Everything that was found wrong with a set of documents; never empty.
#[failure]
#[display("{}", Lines(faults))]
pub struct Error {
    /// The faults, in the order of the documents' names.
    #[error(not(source))]
    pub faults: Vec<Fault>,
}

/// One thing that is wrong, and where.
#[data]
#[derive(Display)]
#[display("{file}{}: {key}: {reason}: found {found}, allowed: {allowed}", Line(*line))]
pub struct Fault {
    /// Name of the document, without the `.toml` of its file.
    pub file: String,
    /// Line in the document, from 1, where it is known.
    pub line: Option<usize>,
    /// Key, with dots between its parts.
    pub key: String,
    /// Class of the fault, for scripts.
    pub reason: Reason,
    /// What was found.
    pub found: String,
    /// What would be accepted.
    pub allowed: String,
}

/// Class of a fault.
#[key]
#[derive(Display)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The document's name is not one that the system reads.
    #[display("unknown document")]
    Document,
    /// The document is larger than the key-value service and the peers carry.
    #[display("too large")]
    Size,
    /// The text is not TOML, or a key is unknown, missing or of another type.
    #[display("malformed")]
    Form,
    /// A value lies outside its range.
    #[display("out of range")]
    Range,
    /// A name is not made of the allowed characters, or names nothing that exists.
    #[display("bad name")]
    Name,
    /// Two values that must differ are equal, or two that must agree differ.
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
