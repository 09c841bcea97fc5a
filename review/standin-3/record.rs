//! What was sent, run and answered, with the time of each line.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a run. Clones share it.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("create record.txt");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("lock the record");
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
