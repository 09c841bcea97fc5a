//! The home of idempotency keys: lets a request with a key run once.
//!
//! Verdicts speak about the key: "not run" is said only if no request with it has run.
//!
//! A key is a UUIDv7, whose time of issue tells whether an earlier holder of the shard, or a
//! record that was evicted, could know it. Memory is bounded without a time limit: evicting a
//! record raises the floor below which keys are refused as "outcome unknown". See
//! `docs/design/at-most-once.md` for what pauses and stale rosters can do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use uuid::Uuid;

use crate::message::{Answer, Claim, Settle, Verdict, not_run};
use crate::name;
use crate::request::{Id, Ran, Refusal, Refused};
use crate::time::Instant;

/// How far the clocks of callers, and of our hosts among each other, may differ.
pub const SKEW_MS: u64 = 5_000;

/// Time after which a claim that was not settled counts as unknown.
pub const CLAIM_LIFE_MS: u64 = crate::ledger::EPOCH_MS;

/// Time for which a new home stays silent after it learned a roster, so that every process that
/// can be reached has left the old one.
pub const TAKEOVER_MS: u64 = 20_000;

/// Longest gap between two ticks of a process that is not paused.
pub const PAUSE_MS: u64 = 5_000;

/// Bounds of a home's memory.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Keys held.
    pub keys: usize,
    /// Bytes of answers held.
    pub answer_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { keys: 65_536, answer_bytes: 16 * 1024 * 1024 }
    }
}

/// The present time on the monotonic clock and on the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Monotonic.
    pub now: Instant,
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

type Key = (name::Workspace, u128);

/// Keys of the shards that one side is the home of.
pub struct Home {
    bounds: Bounds,
    roster: u64,
    /// From when claims are answered.
    serves_at: Instant,
    /// Keys issued at or before this wall-clock time are unknown unless held.
    floor_ms: u64,
    ticked: Instant,
    keys: BTreeMap<Key, Record>,
    by_issue: BTreeSet<(u64, Key)>,
    answers: VecDeque<Key>,
    answer_bytes: usize,
}

struct Record {
    digest: u128,
    request: Id,
    state: State,
}

enum State {
    Running { since: Instant },
    Done(Option<Answer>),
    Unknown,
}

impl Home {
    /// A home that starts at `clock` under `roster`. Keys issued before, and within the
    /// tolerance of clocks after, may have run under an earlier home.
    pub fn new(clock: Clock, roster: u64, bounds: Bounds) -> Self {
        Self {
            bounds,
            roster,
            serves_at: clock.now,
            floor_ms: floor(clock.wall_ms),
            ticked: clock.now,
            keys: BTreeMap::new(),
            by_issue: BTreeSet::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Adopts a newer roster. If shards came from another home, keys from before are unknown and
    /// claims wait until the old home has surely stopped.
    pub fn adopt(&mut self, clock: Clock, roster: u64, gained: bool) {
        if roster <= self.roster {
            return;
        }
        self.roster = roster;
        if gained {
            let silence = std::time::Duration::from_millis(TAKEOVER_MS);
            self.serves_at = clock.now + silence;
            self.floor_ms = self.floor_ms.max(floor(clock.wall_ms + TAKEOVER_MS));
        }
    }

    /// The process is alive. After a pause the roster may be superseded: claims are refused until
    /// the roster is confirmed by [`Home::confirm`].
    pub fn tick(&mut self, now: Instant) {
        if self.has_paused(now) {
            self.serves_at = Instant::from_us(u64::MAX);
        }
        self.ticked = now;
    }

    /// A peer, or the key-value service, has the same roster as this home.
    pub fn confirm(&mut self, now: Instant, roster: u64) {
        if roster == self.roster && self.serves_at == Instant::from_us(u64::MAX) {
            self.serves_at = now;
        }
    }

    /// Number of the roster.
    pub fn roster(&self) -> u64 {
        self.roster
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Decides on a claim.
    pub fn claim(&mut self, clock: Clock, claim: &Claim) -> Verdict {
        if claim.roster != self.roster {
            return unknown(Refusal::Superseded);
        }
        if self.has_paused(clock.now) || clock.now < self.serves_at {
            return unknown(Refusal::HomeUnreachable);
        }
        let Some(issued) = issue_ms(claim.key) else { return no(Refusal::Malformed) };
        let key = (claim.workspace.clone(), claim.key);
        if let Some(record) = self.keys.get_mut(&key) {
            return record.answer(clock.now, claim);
        }
        if issued > clock.wall_ms + 2 * SKEW_MS {
            return no(Refusal::Malformed);
        }
        if issued > clock.wall_ms + SKEW_MS {
            // Run here, it could pass a later home's floor and run again.
            return unknown(Refusal::Malformed);
        }
        if issued <= self.floor_ms {
            return unknown(Refusal::OutcomeUnknown);
        }
        let state = State::Running { since: clock.now };
        let record = Record { digest: claim.digest, request: claim.request, state };
        self.by_issue.insert((issued, key.clone()));
        self.keys.insert(key, record);
        self.evict_keys();
        Verdict::Run
    }

    /// Takes in the outcome of a claimed request. Returns whether it held the claim.
    pub fn settle(&mut self, settle: Settle) -> bool {
        let key = (settle.workspace, settle.key);
        let Some(record) = self.keys.get_mut(&key) else { return false };
        let settled = matches!(record.state, State::Done(_));
        if record.request != settle.request || settled {
            return false;
        }
        match settle.outcome {
            Ok(answer) => {
                self.answer_bytes += answer.body.len();
                record.state = State::Done(Some(answer));
                self.answers.push_back(key);
                self.evict_answers();
            }
            Err(Refused { ran: Ran::No, .. }) => self.forget(&key),
            Err(_) => record.state = State::Unknown,
        }
        true
    }

    fn has_paused(&self, now: Instant) -> bool {
        now.since(self.ticked).as_millis() > u128::from(PAUSE_MS)
    }

    /// Forgets the oldest keys; none issued up to then may run again.
    fn evict_keys(&mut self) {
        while self.keys.len() > self.bounds.keys {
            let Some((issued, key)) = self.by_issue.first().cloned() else { break };
            self.floor_ms = self.floor_ms.max(issued);
            self.forget(&key);
        }
    }

    fn forget(&mut self, key: &Key) {
        self.forget_answer(key);
        self.keys.remove(key);
        if let Some(issued) = issue_ms(key.1) {
            self.by_issue.remove(&(issued, key.clone()));
        }
    }

    fn forget_answer(&mut self, key: &Key) {
        let Some(record) = self.keys.get_mut(key) else { return };
        if let State::Done(answer) = &mut record.state {
            if let Some(answer) = answer.take() {
                self.answer_bytes -= answer.body.len();
            }
        }
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > self.bounds.answer_bytes || self.answers.len() > self.bounds.keys
        {
            let Some(key) = self.answers.pop_front() else { break };
            self.forget_answer(&key);
        }
    }
}

impl Record {
    fn answer(&mut self, now: Instant, claim: &Claim) -> Verdict {
        if self.digest != claim.digest {
            return no(Refusal::KeyMismatch);
        }
        if let State::Running { since } = self.state {
            // Its entry has died, or could not reach this home any more.
            if now.since(since).as_millis() > u128::from(CLAIM_LIFE_MS) {
                self.state = State::Unknown;
            }
        }
        match &self.state {
            State::Running { .. } if self.request == claim.request => Verdict::Run,
            State::Running { .. } => unknown(Refusal::KeyInUse),
            State::Done(Some(answer)) => Verdict::Ran(self.request, answer.clone()),
            State::Done(None) | State::Unknown => unknown(Refusal::OutcomeUnknown),
        }
    }
}

/// The latest time of issue, by any caller's clock, of a key that ran under an earlier home.
fn floor(wall_ms: u64) -> u64 {
    // One tolerance for the caller's clock, one for the earlier home's.
    wall_ms + 2 * SKEW_MS
}

/// Time of issue of a UUIDv7, in milliseconds since the Unix epoch.
pub fn issue_ms(key: u128) -> Option<u64> {
    let uuid = Uuid::from_u128(key);
    (uuid.get_version_num() == 7).then(|| u64::try_from(key >> 80).unwrap_or(u64::MAX))
}

fn no(reason: Refusal) -> Verdict {
    Verdict::Refused(not_run(reason, None))
}

fn unknown(reason: Refusal) -> Verdict {
    Verdict::Refused(Refused { reason, ran: Ran::Unknown, retry_after_ms: None })
}
