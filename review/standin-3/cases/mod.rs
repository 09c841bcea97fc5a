//! The cases.

mod part;
mod torn;

use std::path::Path;

use crate::Verdict;

/// Runs the case with this name.
pub fn run(case: &str, folder: &Path, work: &Path, is_troubled: bool) -> Verdict {
    match case {
        "torn" => torn::run(folder, work, is_troubled, torn::Cut::AfterLine),
        "joined" => torn::run(folder, work, is_troubled, torn::Cut::InsideLine),
        "part" => part::run(folder, work, is_troubled, part::Beside::Limit),
        "leaving" => part::run(folder, work, is_troubled, part::Beside::Leaving),
        _ => Verdict::NotRun,
    }
}
