//! Splits response streams at event boundaries.
//!
//! Only complete events are forwarded, so that a stream that breaks in the middle of an event can
//! resume at another endpoint without a truncated or repeated event.
//!
//! A stream whose connection is its only end tells by its events whether it is whole: it has been
//! broken off if it ends inside an event, or without the event that a caller must still get.

/// Maximum size of an incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream of bytes into complete events.
#[derive(Clone, Debug)]
pub struct Splitter {
    partial: Vec<u8>,
    last_id: Option<String>,
    /// Whether an end without a further event is not believed.
    is_event_due: bool,
}

impl Default for Splitter {
    fn default() -> Self {
        Self::after(None)
    }
}

/// Complete events and comments, concatenated.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The bytes of the events, unchanged.
    pub bytes: Vec<u8>,
    /// Number of events. Comments, by which a stream shows that its connection is open, are none.
    pub count: usize,
}

impl Splitter {
    /// Creates a splitter for a stream that resumes after the event with id `last_id`.
    pub fn after(last_id: Option<String>) -> Self {
        Self { partial: vec![], is_event_due: last_id.is_none(), last_id }
    }

    /// Prepares for the stream of another endpoint, which begins after the last complete event.
    ///
    /// Drops a partial event, which that endpoint sends again from its start. `is_end_doubtful`
    /// states that the stream may also end early without an event and not show it.
    pub fn resume(&mut self, is_end_doubtful: bool) {
        self.is_event_due |= is_end_doubtful || !self.partial.is_empty();
        self.partial.clear();
    }

    /// Returns the id of the last complete event, if any event had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether a stream that ends now has been broken off.
    ///
    /// A stream that resumes after an event may have no further one, unless its end is doubtful; any
    /// other has at least one.
    pub fn is_cut_off(&self) -> bool {
        self.is_event_due || !self.partial.is_empty()
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// The batch may be empty. Returns `None` if an incomplete event is too long to buffer.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Batch> {
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        while let Some(length) = boundary(&self.partial[end..]) {
            if let Some(id) = id(&self.partial[end..end + length]) {
                self.last_id = Some(id);
            }
            if has_field(&self.partial[end..end + length]) {
                count += 1;
                self.is_event_due = false;
            }
            end += length;
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return None;
        }
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        Some(Batch { bytes: whole, count })
    }
}

/// Returns the length of the first event, including the empty line that ends it.
///
/// Returns `None` if no event is complete.
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

/// Returns whether a block of lines has any that is neither empty nor a comment.
fn has_field(block: &[u8]) -> bool {
    let lines = block.split(|b| *b == b'\n').map(<[u8]>::trim_ascii_end);
    lines.into_iter().any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Returns the value of an event's `id` field.
fn id(event: &[u8]) -> Option<String> {
    let lines = event.split(|b| *b == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = std::str::from_utf8(values.next()?).ok()?;
    Some(value.trim().to_owned())
}
