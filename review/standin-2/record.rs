//! What was sent, answered and run, with the time since the start in milliseconds.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record, which is written to a file line by line. Clones share it.
#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<std::fs::File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = std::fs::File::create(path)?;
        Ok(Self { inner: Arc::new(Mutex::new(file)), began: Instant::now() })
    }

    /// Returns the milliseconds since the start.
    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line, and returns its time.
    pub fn add(&self, line: &str) -> u64 {
        let ms = self.ms();
        let _ = writeln!(self.inner.lock().unwrap(), "{ms:>7} {line}");
        ms
    }
}
