//! Stand-ins of the platform, the engines and the clients, and the cases that run them against
//! processes of the project.
//!
//! `standin CASE FOLDER` runs a case and writes `record.txt` into the folder. It exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run.

#![allow(dead_code)]

mod cases;
mod client;
mod deployment;
mod engine;
mod entry;
mod http;
mod json;
mod record;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Longest time that a case runs.
const MAX_TIME: Duration = Duration::from_secs(116);

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let work = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&work).expect("create a temporary folder");
    let folder_of_work = work.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        println!("the case took too long");
        entry::kill_all();
        let _ = std::fs::remove_dir_all(folder_of_work);
        exit(2);
    });
    let verdict = cases::run(&case, &folder, &work, is_troubled);
    let _ = std::fs::remove_dir_all(&work);
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
