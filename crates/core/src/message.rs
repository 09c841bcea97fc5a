//! Messages that the system's processes exchange about requests.
//!
//! The `wire` crate frames and carries them; the decision modules produce and consume them.

mod service;

use std::net::SocketAddr;

use oriole_macros::{data, key};

use crate::request::{Attempt, Id, Position, Refusal, Refused};
use crate::{fleet, name, revision, share};

pub use service::{Answer, Call, Claim, Claimed, Reply, Settle, Verdict};

/// Any message between two of the system's processes.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Entry to side: prepares one stage of a chain.
    Open(Open),
    /// Entry to the first side: runs tokens through the chain.
    Feed(Feed),
    /// Side to the next side: the output of one stage.
    Step(Step),
    /// Entry to side: ends an attempt and frees what it holds.
    Cancel(Cancel),
    /// Entry to side: refuse the request if it has not started, and say which.
    Resolve(Resolve),
    /// Entry to side: calls a plain service.
    Call(Call),
    /// Side to entry: the stage is prepared.
    Opened(Opened),
    /// Side to entry: the attempt is refused at this stage and did not run there.
    Refuse(Refuse),
    /// Last side to entry: a generated token, or the end of a prompt chunk.
    Token(Token),
    /// Side to entry: the attempt cannot go on at this stage.
    Broken(Broken),
    /// Side to entry: the answer to [`Message::Resolve`].
    Report(Report),
    /// Side to entry: the answer to [`Message::Call`].
    Reply(Reply),
    /// Side to entry: load and state of one endpoint.
    Load(Load),
    /// Entry to the home side of an idempotency key: may this request run?
    Claim(Claim),
    /// Home side to entry: the answer to [`Message::Claim`].
    Claimed(Claimed),
    /// Entry to home side: the outcome of a claimed request.
    Settle(Settle),
    /// Between entries: the sharing of limits.
    Share(share::Message),
    /// Between any two: revisions of the configuration.
    Revision(revision::Message),
    /// Between entries: endpoints, plans and work in progress.
    Fleet(fleet::Message),
}

/// One stage of a chain.
#[data]
pub struct Stage {
    /// The endpoint that runs the stage.
    pub endpoint: name::Endpoint,
    /// The host whose side serves the endpoint.
    pub host: name::Host,
    /// Where that side listens.
    pub address: SocketAddr,
    /// First layer, counted from 0.
    pub first: u16,
    /// One past the last layer.
    pub end: u16,
}

/// What a side's records of requests cover: one run of the side and a period within it.
///
/// An entry copies the latest one that the side told it into whatever may run there. When it
/// sends the same message again, or a later attempt of a non-idempotent call, it keeps the term. A side that no longer has the records of
/// that time then knows that it cannot know. See `docs/design/at-most-once.md`.
#[key]
#[derive(Default)]
pub struct Term {
    /// Random number that the side drew when it started; 0 stands for "not known".
    pub boot: u32,
    /// Counts up once each `ledger::EPOCH_MS` while the side runs.
    pub epoch: u32,
}

/// Prepares one stage of a chain for an attempt.
#[data]
pub struct Open {
    /// The request.
    pub request: Id,
    /// The attempt; it fences off earlier ones at the side.
    pub attempt: Attempt,
    /// Index into `chain` of the stage that the receiver serves.
    pub stage: u16,
    /// The whole chain, in layer order.
    pub chain: Vec<Stage>,
    /// The model.
    pub model: name::Model,
    /// The workspace that pays.
    pub workspace: name::Workspace,
    /// Priority of the contract, 0 (lowest) to 7.
    pub priority: u8,
    /// Weight of the contract among equal priorities.
    pub weight: u32,
    /// Milliseconds left until the deadline when this was sent.
    pub deadline_ms: u64,
    /// The position from which the attempt runs; the stage rolls back to it.
    pub resume: Position,
    /// Tokens of prompt and answer that the request may use at most.
    pub tokens: u32,
    /// Seed for sampling, the same in every attempt.
    pub seed: u64,
    /// Number of the roster under which the request was admitted.
    pub roster: u64,
    /// The side's term when this was first sent.
    pub term: Term,
}

/// Runs tokens through the chain.
#[data]
pub struct Feed {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Position of the first token.
    pub position: Position,
    /// The tokens, at least one.
    pub tokens: Vec<u32>,
    /// Whether the last stage samples a token after the last one.
    pub sample: bool,
}

/// The output of one stage for consecutive positions.
#[data]
pub struct Step {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Index of the stage that is to run it.
    pub stage: u16,
    /// Position of the first token.
    pub position: Position,
    /// Number of positions.
    pub count: u32,
    /// Whether the last stage samples a token after the last position.
    pub sample: bool,
    /// The activations, in the engines' own form.
    #[serde(with = "serde_bytes")]
    pub activation: Vec<u8>,
    /// Timings of the stages passed so far.
    pub hops: Vec<Hop>,
}

/// Timing of one stage, for the choice of chains.
#[data]
#[derive(Copy)]
pub struct Hop {
    /// Microseconds in the side's queue.
    pub queue_us: u32,
    /// Microseconds in the engine.
    pub run_us: u32,
    /// Tokens in the engine's batch.
    pub batch: u32,
}

/// Ends an attempt.
#[data]
pub struct Cancel {
    /// The request.
    pub request: Id,
    /// The attempt; it and all earlier ones end.
    pub attempt: Attempt,
}

/// Asks a side to refuse a request that has not started, or to say that it has.
#[data]
pub struct Resolve {
    /// The request.
    pub request: Id,
    /// The attempt; it and all earlier ones are resolved.
    pub attempt: Attempt,
    /// The side's term when this was first sent.
    pub term: Term,
}

/// The stage is prepared.
#[data]
pub struct Opened {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// The stage.
    pub stage: u16,
    /// Positions that the stage holds after rolling back; less than asked if it lost some.
    pub held: Position,
}

/// The attempt is refused at a stage.
#[data]
pub struct Refuse {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// The stage, 0 for calls of plain services.
    pub stage: u16,
    /// Why, and whether it ran.
    pub refused: Refused,
}

/// The outcome of a feed.
#[data]
pub struct Token {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Position after the last one that ran: where the sampled token will stand.
    pub position: Position,
    /// The sampled token, if the feed asked for one.
    pub sampled: Option<Sample>,
    /// Timings of all stages.
    pub hops: Vec<Hop>,
}

/// A sampled token.
#[data]
pub struct Sample {
    /// The token's number.
    pub token: u32,
    /// Its text.
    pub text: String,
    /// Whether it ends the answer; its text is then not part of it.
    pub end: bool,
}

/// The attempt cannot go on.
#[data]
pub struct Broken {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// The stage at fault.
    pub stage: u16,
    /// Why.
    pub fault: Fault,
}

/// What keeps an attempt from going on.
#[data]
#[derive(Copy, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The engine failed or could not be reached.
    Engine,
    /// The next stage's side cannot be reached.
    Link,
    /// The side holds no such attempt.
    Absent,
    /// The step does not follow the positions that the stage holds.
    Gap,
}

/// What a side knows of a request.
#[data]
pub struct Report {
    /// The request.
    pub request: Id,
    /// The attempt that was asked about.
    pub attempt: Attempt,
    /// The state after the question; `Refused` proves that it did not and will not run.
    pub state: State,
}

/// State of a request at a side.
#[data]
#[derive(Copy, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Fenced off before it started.
    Refused,
    /// Started, not finished.
    Started,
    /// Finished; the reply follows if it is still held.
    Done,
    /// The side has started after the request was sent and cannot know.
    Unknown,
}

/// Load and state of one endpoint.
#[data]
pub struct Load {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Whether new work is taken.
    pub open: bool,
    /// Tokens waiting in the side's queue.
    pub queued: u32,
    /// Sequences held.
    pub running: u32,
    /// Microseconds of the engine's last batch.
    pub batch_us: u32,
    /// Tokens of KV cache that are free.
    pub free: u32,
    /// Hashes of prompt prefixes that were recently added to the engine's cache.
    pub prefixes: Vec<u64>,
    /// The side's present term.
    pub term: Term,
}

impl Message {
    /// The request that the message is about, if it is about one.
    pub fn request(&self) -> Option<Id> {
        match self {
            Self::Open(m) => Some(m.request),
            Self::Feed(m) => Some(m.request),
            Self::Step(m) => Some(m.request),
            Self::Cancel(m) => Some(m.request),
            Self::Resolve(m) => Some(m.request),
            Self::Call(m) => Some(m.request),
            Self::Opened(m) => Some(m.request),
            Self::Refuse(m) => Some(m.request),
            Self::Token(m) => Some(m.request),
            Self::Broken(m) => Some(m.request),
            Self::Report(m) => Some(m.request),
            Self::Reply(m) => Some(m.request),
            Self::Claim(m) => Some(m.request),
            Self::Claimed(m) => Some(m.request),
            Self::Settle(m) => Some(m.request),
            Self::Load(_) | Self::Share(_) | Self::Revision(_) | Self::Fleet(_) => None,
        }
    }
}

/// Why a request was refused and that it certainly did not run.
pub fn not_run(reason: Refusal, retry_after_ms: Option<u64>) -> Refused {
    Refused { reason, ran: crate::request::Ran::No, retry_after_ms }
}
