//! When the head of a message that arrives in pieces is parsed.
//!
//! A parser begins at the start of the head each time. If it ran at each piece, the time would grow with the square of
//! the number of pieces.

/// What has been looked at of a head.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Bytes that there were when the head was last parsed.
    parsed: usize,
    /// Bytes that have been searched for the empty line that ends the head.
    searched: usize,
    /// Where the head begins: parsers skip empty lines before it.
    begin: Option<usize>,
}

impl Progress {
    /// Returns whether `bytes`, all that have arrived of the head, are to be parsed now.
    ///
    /// They are if they hold the end of the head, or twice as many bytes as the last time, so that a peer that
    /// sends something else is noticed early.
    pub fn is_due(&mut self, bytes: &[u8]) -> bool {
        let is_text = |byte: &u8| !matches!(byte, b'\r' | b'\n');
        let new = &bytes[self.searched..];
        self.begin = self.begin.or_else(|| Some(self.searched + new.iter().position(is_text)?));
        // The last bytes of the earlier search may be the first ones of an empty line.
        let from = self.begin.map(|begin| begin.max(self.searched.saturating_sub(2)));
        let has_end = from.is_some_and(|from| has_empty_line(&bytes[from..]));
        self.searched = bytes.len();
        let is_due = has_end || bytes.len() >= 2 * self.parsed;
        if is_due {
            self.parsed = bytes.len();
        }
        is_due
    }
}

fn has_empty_line(bytes: &[u8]) -> bool {
    let rests = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    let mut rests = rests.map(|(i, _)| &bytes[i + 1..]);
    rests.any(|rest| rest.starts_with(b"\n") || rest.starts_with(b"\r\n"))
}
