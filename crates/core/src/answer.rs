//! Assembly of an answer from tokens that may come late, twice or out of order.

use oriole_macros::{data, key};

use crate::message::{Sample, Token};
use crate::request::{Attempt, Position};

/// What became of a token.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It is the next one of the current attempt.
    Taken,
    /// It belongs to an attempt that was fenced off, or to none yet known.
    OtherAttempt,
    /// It was taken before.
    Duplicate,
    /// It does not follow what was asked for.
    Gap,
}

/// The answer to one request as far as it has come.
///
/// The sequence is the prompt followed by the answer. Exactly one outcome is accepted at a time:
/// the one of the feed that is in flight.
#[data]
pub struct Answer {
    attempt: Attempt,
    tokens: Vec<u32>,
    prompt: Position,
    /// Positions that have run in the current attempt.
    ran: Position,
    /// End of the feed that is in flight.
    awaited: Option<Position>,
}

impl Answer {
    /// Starts with a prompt; no attempt has been made.
    pub fn new(prompt: Vec<u32>) -> Self {
        let length = Position::try_from(prompt.len()).unwrap_or(Position::MAX);
        Self { attempt: 0, tokens: prompt, prompt: length, ran: 0, awaited: None }
    }

    /// Starts an attempt that runs from `position`; nothing of earlier ones is accepted any more.
    pub fn restart(&mut self, attempt: Attempt, position: Position) {
        self.attempt = attempt;
        self.ran = position.min(self.length());
        self.awaited = None;
    }

    /// The current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Tokens of prompt and answer.
    pub fn length(&self) -> Position {
        Position::try_from(self.tokens.len()).unwrap_or(Position::MAX)
    }

    /// Tokens of the answer.
    pub fn answered(&self) -> u32 {
        self.length().saturating_sub(self.prompt)
    }

    /// Tokens of the prompt.
    pub fn prompt(&self) -> u32 {
        self.prompt
    }

    /// Positions that have run in the current attempt.
    pub fn ran(&self) -> Position {
        self.ran
    }

    /// Whether a feed is in flight.
    pub fn awaits(&self) -> bool {
        self.awaited.is_some()
    }

    /// The next feed of at most `chunk` tokens: its position, its tokens, and whether it reaches
    /// the end of the sequence. Asking again without an outcome gives the same feed.
    pub fn next(&mut self, chunk: u32) -> Option<(Position, &[u32], bool)> {
        let end = match self.awaited {
            Some(end) => end,
            None => self.ran.saturating_add(chunk.max(1)).min(self.length()),
        };
        if end <= self.ran {
            return None;
        }
        self.awaited = Some(end);
        let tokens = self.tokens.get(self.ran as usize..end as usize)?;
        Some((self.ran, tokens, end == self.length()))
    }

    /// Takes the outcome of the feed in flight and nothing else.
    pub fn take(&mut self, token: &Token) -> Verdict {
        if token.attempt != self.attempt {
            return Verdict::OtherAttempt;
        }
        if token.position <= self.ran {
            return Verdict::Duplicate;
        }
        let at_end = token.position == self.length();
        if self.awaited != Some(token.position) || at_end != token.sampled.is_some() {
            return Verdict::Gap;
        }
        self.ran = token.position;
        self.awaited = None;
        if let Some(Sample { token, end: false, .. }) = &token.sampled {
            self.tokens.push(*token);
        }
        Verdict::Taken
    }
}
