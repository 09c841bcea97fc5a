//! Events of a stream, cut at their boundaries.
//!
//! Only whole events are passed on, so that a stream that breaks in the middle of an event can go
//! on at another endpoint without a torn or repeated one.

/// Longest event that is waited for, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: Vec<u8>,
    last_id: Option<String>,
}

/// Whole events.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The bytes, as they came.
    pub bytes: Vec<u8>,
    /// Number of events.
    pub count: usize,
}

impl Splitter {
    /// A splitter for a stream that goes on after event `last`.
    pub fn after(last_id: Option<String>) -> Self {
        Self { partial: vec![], last_id }
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether bytes of an incomplete event are left.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Adds bytes; returns the events that are whole now, or nothing if an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Batch> {
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        while let Some(length) = boundary(&self.partial[end..]) {
            if let Some(id) = id(&self.partial[end..end + length]) {
                self.last_id = Some(id);
            }
            end += length;
            count += 1;
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return None;
        }
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        Some(Batch { bytes: whole, count })
    }
}

/// Length of the first event with the empty line that ends it.
fn boundary(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..i];
        if i > 0 && (line.is_empty() || line == b"\r") {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

/// The value of an event's `id` field.
fn id(event: &[u8]) -> Option<String> {
    let lines = event.split(|b| *b == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = std::str::from_utf8(values.next()?).ok()?;
    Some(value.trim().to_owned())
}
