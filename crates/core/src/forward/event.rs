//! Splits response streams at event boundaries.
//!
//! Only complete events are forwarded, so that a stream that breaks in the middle of an event can
//! resume at another endpoint without a truncated or repeated event.
//!
//! A stream that goes on at another endpoint must begin with a later event: whatever else comes there, such as
//! the text of an error, is no part of the answer.
//!
//! A stream whose connection is its only end tells by its events whether it is whole: it has been
//! broken off if it ends inside an event, or without the event that a caller must still get.

use oriole_macros::failure;

/// Maximum size of an incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Beginning of a line that is the head of a response, and cannot be a line of an event.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Why bytes are not the next ones of a stream.
#[failure]
pub enum Error {
    /// An incomplete event is too long to buffer.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The first event of a stream that goes on does not follow the last one.
    #[display("the first event does not follow the last one that was forwarded")]
    NotNext,
    /// The head of a response stands among the events.
    #[display("the head of a response stands among the events")]
    Head,
}

/// Splits a stream of bytes into complete events.
#[derive(Clone, Debug)]
pub struct Splitter {
    partial: Vec<u8>,
    /// How far the partial event has been searched for its end.
    searched: Search,
    last_id: Option<String>,
    /// Whether an end without a further event is not believed.
    is_event_due: bool,
    /// Whether the next event must follow the last one, since another endpoint sends it.
    must_follow: bool,
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
        Self {
            partial: vec![],
            searched: Search::default(),
            is_event_due: last_id.is_none(),
            last_id,
            must_follow: false,
        }
    }

    /// Prepares for the stream of another endpoint, which begins after the last complete event.
    ///
    /// Drops a partial event, which that endpoint sends again from its start. `has_begun` states that the
    /// caller has a part of the stream already, and `is_unframed` that this one may also end early without
    /// an event and not show it.
    pub fn resume(&mut self, has_begun: bool, is_unframed: bool) {
        self.is_event_due |= has_begun && is_unframed || !self.partial.is_empty();
        self.must_follow = has_begun;
        self.partial.clear();
        self.searched = Search::default();
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

    /// Returns the memory that the partial event uses, in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.capacity()
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// The batch may be empty. Each byte is searched once, in however small pieces an event comes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Batch, Error> {
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        while let Some(length) = self.searched.boundary(&self.partial[end..]) {
            let block = &self.partial[end..end + length];
            if block.split(|b| *b == b'\n').any(|line| line.starts_with(STATUS_LINE)) {
                return Err(Error::Head);
            }
            let id = id(block);
            if has_field(block) {
                if self.must_follow && !follows(id.as_deref(), self.last_id.as_deref()) {
                    return Err(Error::NotNext);
                }
                self.must_follow = false;
                count += 1;
                self.is_event_due = false;
            }
            if id.is_some() {
                self.last_id = id;
            }
            end += length;
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return Err(Error::TooLong);
        }
        if end == 0 {
            return Ok(Batch { bytes: vec![], count });
        }
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        Ok(Batch { bytes: whole, count })
    }
}

/// Returns whether an event with this id may follow the last one. Ids increase where they are numbers.
fn follows(id: Option<&str>, last: Option<&str>) -> bool {
    let Some(last) = last else {
        return true;
    };
    let number = |text: &str| text.parse::<u64>().ok();
    match (id, id.and_then(number), number(last)) {
        (None, ..) => false,
        (_, Some(id), Some(last)) => id > last,
        (Some(id), ..) => id != last,
    }
}

/// How far the bytes of an event have been searched for its end.
#[derive(Clone, Copy, Debug, Default)]
struct Search {
    /// Number of bytes that have been searched.
    bytes: usize,
    /// Where the last line begins of which no end has been found.
    line_start: usize,
}

impl Search {
    /// Returns the length of the first event, including the empty line that ends it, and begins a new search.
    ///
    /// Returns `None` if no event is complete. `bytes` are those of the last search and further ones.
    fn boundary(&mut self, bytes: &[u8]) -> Option<usize> {
        for (i, byte) in bytes.iter().enumerate().skip(self.bytes) {
            if *byte != b'\n' {
                continue;
            }
            let line = &bytes[self.line_start..i];
            if i > 0 && (line.is_empty() || line == b"\r") {
                *self = Self::default();
                return Some(i + 1);
            }
            self.line_start = i + 1;
        }
        self.bytes = bytes.len();
        None
    }
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
