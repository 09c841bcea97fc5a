//! Assembles an answer from tokens that may arrive late, twice or out of order.

use oriole_macros::{data, key};

use crate::message::{Sample, Token};
use crate::request::{Attempt, Position};

/// Outcome of accepting a token.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The token is the next one of the current attempt, and was added.
    Taken,
    /// The token belongs to an earlier attempt, which is fenced off, or to an unknown one.
    OtherAttempt,
    /// The token was accepted before.
    Duplicate,
    /// The token is not the outcome of the feed in flight.
    Gap,
}

/// The part of a request's answer that has arrived so far.
///
/// The sequence is the prompt followed by the answer. It is fed to the chain in pieces, of which
/// one is in flight at a time; only the outcome of that feed is accepted.
#[data]
pub struct Answer {
    attempt: Attempt,
    tokens: Vec<u32>,
    prompt: Position,
    /// Number of positions that have run in the current attempt.
    ran: Position,
    /// End position of the feed in flight, if there is one.
    awaited: Option<Position>,
}

impl Answer {
    /// Creates an empty answer to `prompt`. No attempt has been made yet.
    pub fn new(prompt: Vec<u32>) -> Self {
        let length = Position::try_from(prompt.len()).unwrap_or(Position::MAX);
        Self { attempt: 0, tokens: prompt, prompt: length, ran: 0, awaited: None }
    }

    /// Starts an attempt that runs from `position`. Tokens of earlier attempts are no longer
    /// accepted.
    pub fn restart(&mut self, attempt: Attempt, position: Position) {
        self.attempt = attempt;
        self.ran = position.min(self.length());
        self.awaited = None;
    }

    /// Returns the number of the current attempt, 0 before the first.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the number of tokens of prompt and answer.
    pub fn length(&self) -> Position {
        Position::try_from(self.tokens.len()).unwrap_or(Position::MAX)
    }

    /// Returns the number of tokens of the answer.
    pub fn answer_tokens(&self) -> u32 {
        self.length().saturating_sub(self.prompt)
    }

    /// Returns the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt
    }

    /// Returns the number of positions that have run in the current attempt.
    pub fn positions_run(&self) -> Position {
        self.ran
    }

    /// Returns whether a feed is in flight.
    pub fn has_feed_in_flight(&self) -> bool {
        self.awaited.is_some()
    }

    /// Returns the next feed of at most `chunk` tokens: its position, its tokens, and whether it
    /// reaches the end of the sequence. Returns the same feed until its outcome is accepted, and
    /// `None` if all positions have run.
    pub fn next_feed(&mut self, chunk: u32) -> Option<(Position, &[u32], bool)> {
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

    /// Accepts the token if it is the outcome of the feed in flight, and adds the sampled token to
    /// the answer unless it ends the answer.
    pub fn accept(&mut self, token: &Token) -> Verdict {
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
