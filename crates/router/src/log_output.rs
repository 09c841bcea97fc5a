//! Writes log lines to standard output without blocking the process.
//!
//! A separate thread writes the lines. Each kind of line is limited per second; lines above the
//! limit are dropped, and their number is written before the next line. If nobody reads the output,
//! lines about served requests are dropped first, so that the causes of failed requests are kept.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target, WriteStyle};

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 4096;

/// Maximum number of bytes that wait to be written. Lines hold what callers send, such as the ids of requests.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;

/// Number of waiting lines from which on lines about served requests are dropped.
const MAX_QUEUED_LINES_FOR_SERVED: usize = 2048;

/// Maximum number of lines per second about served requests.
const MAX_SERVED_LINES_PER_SECOND: u32 = 100;

/// Maximum number of other lines per second.
const MAX_OTHER_LINES_PER_SECOND: u32 = 400;

/// Part of each line about a served request, by which such lines are recognized.
const SERVED_PATTERN: &[u8] = b"] served id=";

const SECOND: Duration = Duration::from_secs(1);

/// Lines that wait to be written, with the counts of the current second.
#[derive(Debug)]
pub struct Backlog {
    lines: VecDeque<Vec<u8>>,
    /// Bytes of the lines.
    bytes: usize,
    second_start: Instant,
    served: u32,
    others: u32,
    dropped: u64,
}

impl Backlog {
    /// Creates a backlog without lines.
    pub fn new(now: Instant) -> Self {
        Self {
            lines: VecDeque::new(),
            bytes: 0,
            second_start: now,
            served: 0,
            others: 0,
            dropped: 0,
        }
    }

    /// Adds a line, or counts it as dropped if a limit for its kind is reached.
    pub fn push(&mut self, line: &[u8], now: Instant) {
        if now.duration_since(self.second_start) >= SECOND {
            self.second_start = now;
            (self.served, self.others) = (0, 0);
        }
        let is_served = line.windows(SERVED_PATTERN.len()).any(|part| part == SERVED_PATTERN);
        let (count, max_rate, max_queued) = if is_served {
            (&mut self.served, MAX_SERVED_LINES_PER_SECOND, MAX_QUEUED_LINES_FOR_SERVED)
        } else {
            (&mut self.others, MAX_OTHER_LINES_PER_SECOND, MAX_QUEUED_LINES)
        };
        let has_room = self.lines.len() < max_queued && self.bytes + line.len() <= MAX_QUEUED_BYTES;
        if *count >= max_rate || !has_room {
            self.dropped += 1;
            return;
        }
        *count += 1;
        self.bytes += line.len();
        self.lines.push_back(line.to_vec());
    }

    /// Removes the oldest line. Returns it with the number of lines dropped since the previous call
    /// that returned one, or `None` if no line is waiting.
    pub fn pop(&mut self) -> Option<(Vec<u8>, u64)> {
        let line = self.lines.pop_front()?;
        self.bytes -= line.len();
        Some((line, std::mem::take(&mut self.dropped)))
    }
}

/// Starts logging. The environment variable `RUST_LOG` sets the level, which is `info` by default.
pub fn start() -> Output {
    let pending = Pending { backlog: Backlog::new(Instant::now()), is_writing: false };
    let shared = Arc::new(Shared {
        pending: Mutex::new(pending),
        added: Condvar::new(),
        written: Condvar::new(),
    });
    let (writer, output) = (Writer(shared.clone()), Output(shared.clone()));
    std::thread::spawn(move || write_lines(&shared));
    Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(writer)))
        .write_style(WriteStyle::Never)
        .init();
    output
}

/// The output of the log, for the end of the process.
pub struct Output(Arc<Shared>);

impl Output {
    /// Blocks until all lines have been written, at most for `limit`, since nobody may read them.
    pub fn flush(&self, limit: Duration) {
        let is_unwritten = |pending: &mut Pending| pending.is_writing || !pending.is_empty();
        let waited = self.0.written.wait_timeout_while(self.0.lock(), limit, is_unwritten);
        // Neither a panic of another thread nor the end of the time can be reported here.
        drop(waited);
    }
}

/// Lines that have not been written.
struct Pending {
    backlog: Backlog,
    /// Whether a line that is no longer in the backlog is being written.
    is_writing: bool,
}

impl Pending {
    fn is_empty(&self) -> bool {
        self.backlog.lines.is_empty()
    }
}

struct Shared {
    pending: Mutex<Pending>,
    added: Condvar,
    written: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        // A panic while the lock was held cannot leave the backlog in an invalid state.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds the lines of the logger to the backlog. Holds the lock only while it copies a line.
struct Writer(Arc<Shared>);

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.lock().backlog.push(line, Instant::now());
        self.0.added.notify_one();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until standard output fails.
fn write_lines(shared: &Shared) {
    let mut output = io::stdout();
    loop {
        let (line, dropped) = next(shared);
        let notice =
            if dropped > 0 { writeln!(output, "{dropped} log lines left out") } else { Ok(()) };
        let written = notice.and_then(|()| output.write_all(&line));
        if written.and_then(|()| output.flush()).is_err() {
            // Standard output is closed, so the error cannot be reported anywhere.
            return;
        }
    }
}

/// Waits for the next line, after the previous one has been written. Returns it with the number of lines dropped
/// before it.
fn next(shared: &Shared) -> (Vec<u8>, u64) {
    let mut pending = shared.lock();
    pending.is_writing = false;
    loop {
        if let Some(found) = pending.backlog.pop() {
            pending.is_writing = true;
            return found;
        }
        shared.written.notify_all();
        pending = shared.added.wait(pending).unwrap_or_else(PoisonError::into_inner);
    }
}
