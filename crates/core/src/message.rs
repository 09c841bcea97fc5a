//! Messages between entries and sides.
//!
//! The `wire` crate encodes and transports them; the state machines of this crate produce and
//! consume them.

mod service;

use std::net::SocketAddr;

use oriole_macros::{data, key};

use crate::request::{Attempt, Id, Position, Refusal, Refused};
use crate::{fleet, name, revision, share};

pub use service::{Answer, Call, Claim, Claimed, Reply, Settle, Verdict};

/// A message between two processes of the system.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// Entry to side: prepare one stage of a chain.
    Open(Open),
    /// Entry to the first side: run tokens through the chain.
    Feed(Feed),
    /// Side to the next side: run the output of the previous stage.
    Step(Step),
    /// Entry to side: end an attempt and free its resources.
    Cancel(Cancel),
    /// Entry to side: refuse the request if it has not started, and report its state.
    Resolve(Resolve),
    /// Entry to side: call a plain service.
    Call(Call),
    /// Side to entry: the stage is prepared.
    Opened(Opened),
    /// Side to entry: the attempt is refused at this stage and did not run there.
    Refuse(Refuse),
    /// Last side to entry: a generated token, or the end of a prompt chunk.
    Token(Token),
    /// Side to entry: the attempt cannot continue at this stage.
    Broken(Broken),
    /// Side to entry: the answer to [`Message::Resolve`].
    Report(Report),
    /// Side to entry: the answer to [`Message::Call`].
    Reply(Reply),
    /// Side to entry: the load of one endpoint.
    Load(Load),
    /// Entry to the side that records an idempotency key (its home): may this request run?
    Claim(Claim),
    /// Home side to entry: the answer to [`Message::Claim`].
    Claimed(Claimed),
    /// Entry to home side: the outcome of a claimed request.
    Settle(Settle),
    /// Between entries: sharing of limits.
    Share(share::Message),
    /// Between any two processes: revisions of the configuration.
    Revision(revision::Message),
    /// Between entries: state of endpoints, plans and work in progress.
    Fleet(fleet::Message),
}

/// One stage of a chain.
#[data]
pub struct Stage {
    /// The endpoint that runs the stage.
    pub endpoint: name::Endpoint,
    /// The host whose side serves the endpoint.
    pub host: name::Host,
    /// Address on which that side listens.
    pub address: SocketAddr,
    /// First layer, counted from 0.
    pub first: u16,
    /// One past the last layer.
    pub end: u16,
}

/// A period that a side's records of requests cover: one run of the side and an epoch within it.
///
/// An entry copies the latest term that a side reported into each message that may start work
/// there. When it sends the message again, or a later attempt of a non-idempotent call, it keeps
/// the first term. A side that no longer has the records of that term therefore detects that it
/// cannot know whether the request ran. See `docs/design/at-most-once.md`.
#[key]
#[derive(Default)]
pub struct Term {
    /// Random number that the side chose at its start, or 0 if the term is not known.
    pub boot: u32,
    /// Number of the epoch. It increases by one every `ledger::EPOCH_MS` while the side runs.
    pub epoch: u32,
}

/// Prepares one stage of a chain for an attempt.
#[data]
pub struct Open {
    /// The request.
    pub request: Id,
    /// The attempt. It fences off earlier attempts at the side.
    pub attempt: Attempt,
    /// Index into `chain` of the stage that the receiver serves.
    pub stage: u16,
    /// The whole chain, in layer order.
    pub chain: Vec<Stage>,
    /// The model.
    pub model: name::Model,
    /// The workspace that is charged.
    pub workspace: name::Workspace,
    /// Priority of the contract, 0 (lowest) to 7.
    pub priority: u8,
    /// Weight of the contract among equal priorities.
    pub weight: u32,
    /// Milliseconds left until the deadline when this was sent.
    pub deadline_ms: u64,
    /// Position from which the attempt runs. The stage rolls back to it.
    pub resume: Position,
    /// Maximum number of tokens of prompt and answer together.
    pub tokens: u32,
    /// Seed for sampling, the same in all attempts.
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
    /// Whether the last stage samples a token after the last of these.
    pub sample: bool,
}

/// The output of one stage for consecutive positions.
#[data]
pub struct Step {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Index of the stage that runs this step.
    pub stage: u16,
    /// Position of the first token.
    pub position: Position,
    /// Number of positions.
    pub count: u32,
    /// Whether the last stage samples a token after the last position.
    pub sample: bool,
    /// The activations, in the engines' format.
    #[serde(with = "serde_bytes")]
    pub activation: Vec<u8>,
    /// Timings of the stages that have run so far.
    pub hops: Vec<Hop>,
}

/// Timing of one stage. The entry uses it to choose chains.
#[data]
#[derive(Copy)]
pub struct Hop {
    /// Time in the side's queue, in microseconds.
    pub queue_us: u32,
    /// Time in the engine, in microseconds.
    pub run_us: u32,
    /// Number of tokens in the engine's batch.
    pub batch: u32,
}

/// Ends an attempt.
#[data]
pub struct Cancel {
    /// The request.
    pub request: Id,
    /// The attempt. It and all earlier attempts end.
    pub attempt: Attempt,
}

/// Asks a side to refuse a request that has not started, or to report that it has started.
#[data]
pub struct Resolve {
    /// The request.
    pub request: Id,
    /// The attempt. It and all earlier attempts are resolved.
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
    /// Index of the stage in the chain.
    pub stage: u16,
    /// Number of positions that the stage holds after rolling back. It is less than requested if
    /// the stage has lost some.
    pub held: Position,
}

/// The attempt is refused at a stage.
#[data]
pub struct Refuse {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Index of the stage in the chain, 0 for calls of plain services.
    pub stage: u16,
    /// Why the attempt is refused, and whether it ran.
    pub refused: Refused,
}

/// The outcome of a feed.
#[data]
pub struct Token {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Position after the last one that ran, which is the position of the sampled token.
    pub position: Position,
    /// The sampled token, if the feed asked for one.
    pub sampled: Option<Sample>,
    /// Timings of all stages.
    pub hops: Vec<Hop>,
}

/// A sampled token.
#[data]
pub struct Sample {
    /// Number of the token in the model's vocabulary.
    pub token: u32,
    /// Text of the token.
    pub text: String,
    /// Whether the token ends the answer. Its text is then not part of the answer.
    pub end: bool,
}

/// The attempt cannot continue at a stage.
#[data]
pub struct Broken {
    /// The request.
    pub request: Id,
    /// The attempt.
    pub attempt: Attempt,
    /// Index of the stage at fault.
    pub stage: u16,
    /// What went wrong.
    pub fault: Fault,
}

/// Why an attempt cannot continue.
#[data]
#[derive(Copy, Eq, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The engine failed or could not be reached.
    Engine,
    /// The next stage's side cannot be reached.
    Link,
    /// The side does not know the attempt.
    Absent,
    /// The step does not follow the positions that the stage holds.
    Gap,
}

/// The state of a request at a side, in reply to [`Resolve`].
#[data]
pub struct Report {
    /// The request.
    pub request: Id,
    /// The attempt that was to be resolved.
    pub attempt: Attempt,
    /// State after resolving. `Refused` proves that the request did not run and will not.
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
    /// Finished. The reply follows if the side still has it.
    Done,
    /// The side restarted after the request was sent, so it does not know.
    Unknown,
}

/// Load of one endpoint.
#[data]
pub struct Load {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Whether the endpoint accepts new work.
    pub open: bool,
    /// Number of tokens in the side's queue.
    pub queued: u32,
    /// Number of sequences that the endpoint holds.
    pub running: u32,
    /// Duration of the engine's last batch, in microseconds.
    pub batch_us: u32,
    /// Free KV cache, in tokens.
    pub free: u32,
    /// Hashes of prompt prefixes that were recently added to the engine's cache.
    pub prefixes: Vec<u64>,
    /// The side's current term.
    pub term: Term,
}

impl Message {
    /// Returns the request that the message is about, or `None` if it is not about a request.
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

/// Creates the refusal of a request that certainly did not run.
pub fn not_run(reason: Refusal, retry_after_ms: Option<u64>) -> Refused {
    Refused { reason, ran: crate::request::Ran::No, retry_after_ms }
}
