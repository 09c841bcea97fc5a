//! Records of the requests at one endpoint, by which a side runs each of them at most once.
//!
//! A record is kept for as long as messages that were sent under its [`Term`] are accepted, and at
//! least for [`EPOCH_MS`], the longest deadline. A request that was first sent earlier, or to an
//! earlier run of the side, is not covered by the records: the side neither runs it nor claims that
//! it did not run. See `docs/design/at-most-once.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_macros::key;

use crate::message::{Answer, State, Term};
use crate::request::{Attempt, Id, Ran};
use crate::time::Instant;

/// Length of an epoch, and the longest deadline that a side accepts, in milliseconds.
pub const EPOCH_MS: u64 = 300_000;

/// Limits on the memory of one ledger.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of records.
    pub records: usize,
    /// Maximum total size of the stored answers, in bytes.
    pub answer_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { records: 65_536, answer_bytes: 8 * 1024 * 1024 }
    }
}

/// Whether the records cover a term.
#[key]
pub enum Coverage {
    /// Every request that has run since the term is recorded.
    Full,
    /// The sender did not know the side's term.
    Unnamed,
    /// The records of the term have been dropped, or belonged to an earlier run of the side.
    Gone,
}

/// What happens to a call that arrives.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It may run, and is recorded as queued.
    Run,
    /// It is in progress; this attempt gets the answer.
    Attached,
    /// It has run and was answered; `None` if the answer is no longer stored.
    Done(Option<Answer>),
    /// It started and ended without an answer, so whether it took effect is unknown.
    Failed,
    /// A newer attempt or a tombstone fences it off.
    Fenced {
        /// Whether any attempt has started.
        started: bool,
    },
    /// The records do not cover the time at which it was first sent.
    Uncovered,
    /// It did not run, since the sender has to learn the side's term first.
    Unnamed,
    /// The ledger is full.
    Full,
}

/// The records of one endpoint.
pub struct Ledger {
    boot: u32,
    started_at: Instant,
    epoch: u32,
    bounds: Bounds,
    records: BTreeMap<Id, Record>,
    /// Requests and their epochs, in the order in which the epochs were last set.
    by_epoch: VecDeque<(u32, Id)>,
    /// Requests whose answers are stored, oldest first.
    answers: VecDeque<Id>,
    answer_bytes: usize,
}

struct Record {
    attempt: Attempt,
    epoch: u32,
    started: bool,
    progress: Progress,
}

enum Progress {
    Queued,
    Running {
        /// Whether an earlier attempt had started.
        started_before: bool,
    },
    Done(Option<Answer>),
    Failed,
    Refused,
}

impl Ledger {
    /// Creates an empty ledger for a run of the side that starts at `now` and is identified by the
    /// random number `boot`.
    pub fn new(now: Instant, boot: u32, bounds: Bounds) -> Self {
        Self {
            // In a message's term, 0 means that the sender does not know it.
            boot: boot.max(1),
            started_at: now,
            epoch: 1,
            bounds,
            records: BTreeMap::new(),
            by_epoch: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Returns the present term.
    pub fn term(&self) -> Term {
        Term { boot: self.boot, epoch: self.epoch }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is room for one more record besides `reserved` further ones.
    pub fn has_room(&self, reserved: usize) -> bool {
        self.records.len() + reserved < self.bounds.records
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Advances to the epoch of `now` and drops records of epochs whose messages are no longer
    /// accepted, except those in progress.
    pub fn advance_epoch(&mut self, now: Instant) {
        let epochs = now.since(self.started_at).as_millis() / u128::from(EPOCH_MS);
        let epoch = u32::try_from(epochs).unwrap_or(u32::MAX - 1) + 1;
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        let mut kept = VecDeque::new();
        for (epoch, id) in std::mem::take(&mut self.by_epoch) {
            let Some(record) = self.records.get(&id).filter(|r| r.epoch == epoch) else { continue };
            if epoch + 1 >= self.epoch || record.is_in_progress() {
                kept.push_back((epoch, id));
            } else {
                self.remove(id);
            }
        }
        self.by_epoch = kept;
    }

    /// Returns whether the records cover `term`.
    pub fn coverage(&self, term: Term) -> Coverage {
        if term.boot == 0 {
            return Coverage::Unnamed;
        }
        let present = term.epoch <= self.epoch && term.epoch + 1 >= self.epoch;
        if term.boot == self.boot && present { Coverage::Full } else { Coverage::Gone }
    }

    /// Decides what happens to a call that arrives, and records it as queued if it may run.
    pub fn admit(&mut self, id: Id, attempt: Attempt, term: Term, idempotent: bool) -> Verdict {
        let Some(record) = self.records.get_mut(&id) else {
            return match self.coverage(term) {
                Coverage::Gone => Verdict::Uncovered,
                Coverage::Unnamed if !idempotent => Verdict::Unnamed,
                Coverage::Full | Coverage::Unnamed => self.enqueue(id, attempt, false),
            };
        };
        if attempt < record.attempt {
            return Verdict::Fenced { started: record.started };
        }
        let newer = attempt > record.attempt;
        let verdict = match &record.progress {
            Progress::Queued | Progress::Running { .. } => Verdict::Attached,
            Progress::Done(answer) => Verdict::Done(answer.clone()),
            Progress::Failed if newer && idempotent => Verdict::Run,
            Progress::Failed => Verdict::Failed,
            Progress::Refused if newer && (idempotent || !record.started) => Verdict::Run,
            Progress::Refused => Verdict::Fenced { started: record.started },
        };
        let started = record.started;
        match verdict {
            Verdict::Run => return self.enqueue(id, attempt, started),
            Verdict::Attached => self.refresh(id, attempt),
            _ => {}
        }
        verdict
    }

    /// Records that the call is sent to the endpoint. Returns false if it may not be sent, because
    /// it is no longer queued.
    pub fn start(&mut self, id: Id) -> bool {
        let Some(record) = self.records.get_mut(&id) else { return false };
        if !matches!(record.progress, Progress::Queued) {
            return false;
        }
        record.progress = Progress::Running { started_before: record.started };
        record.started = true;
        true
    }

    /// Records the end of a running call: its answer, or whether it may have run. Returns the
    /// attempt that gets the outcome; `None` if the call is not running.
    pub fn finish(&mut self, id: Id, answer: Result<Answer, Ran>) -> Option<Attempt> {
        let record = self.records.get_mut(&id)?;
        let Progress::Running { started_before } = record.progress else { return None };
        let attempt = record.attempt;
        record.progress = match answer {
            Err(Ran::Unknown) => Progress::Failed,
            Err(Ran::No) => {
                record.started = started_before;
                Progress::Refused
            }
            Ok(answer) => {
                self.answer_bytes += answer.body.len();
                self.answers.push_back(id);
                Progress::Done(Some(answer))
            }
        };
        self.refresh(id, attempt);
        self.evict_answers();
        Some(attempt)
    }

    /// Refuses a queued call, which then does not run under its present attempt.
    pub fn refuse(&mut self, id: Id) {
        if let Some(record) = self.records.get_mut(&id) {
            if matches!(record.progress, Progress::Queued) {
                record.progress = Progress::Refused;
            }
        }
    }

    /// Refuses attempts up to `attempt` unless one has started, and returns the state.
    ///
    /// [`State::Refused`] proves that none of them has run here and that none will.
    pub fn resolve(&mut self, id: Id, attempt: Attempt, term: Term) -> State {
        let Some(record) = self.records.get(&id) else {
            if self.coverage(term) != Coverage::Full || !self.tombstone(id, attempt, false) {
                return State::Unknown;
            }
            return State::Refused;
        };
        let state = match &record.progress {
            Progress::Done(_) => State::Done,
            _ if record.started => State::Started,
            _ => State::Refused,
        };
        if state == State::Refused && attempt >= record.attempt {
            self.tombstone(id, attempt, false);
        }
        state
    }

    /// Fences off attempts up to `attempt`; `started` says whether one has started here. Returns
    /// false if there is no room for the record.
    pub fn tombstone(&mut self, id: Id, attempt: Attempt, started: bool) -> bool {
        if !self.records.contains_key(&id) && self.records.len() >= self.bounds.records {
            return false;
        }
        let known = self.records.get(&id);
        let started = started || known.is_some_and(|record| record.started);
        let attempt = known.map_or(attempt, |record| record.attempt.max(attempt));
        self.insert(
            id,
            Record { attempt, epoch: self.epoch, started, progress: Progress::Refused },
        );
        true
    }

    /// Returns the newest recorded attempt of a request, and whether any attempt has started.
    pub fn newest_attempt(&self, id: Id) -> Option<(Attempt, bool)> {
        self.records.get(&id).map(|record| (record.attempt, record.started))
    }

    /// Returns the answer of a call and the attempt that got it, if the answer is still stored.
    pub fn answer(&self, id: Id) -> Option<(Attempt, &Answer)> {
        let record = self.records.get(&id)?;
        match &record.progress {
            Progress::Done(Some(answer)) => Some((record.attempt, answer)),
            _ => None,
        }
    }

    fn enqueue(&mut self, id: Id, attempt: Attempt, started: bool) -> Verdict {
        if !self.records.contains_key(&id) && self.records.len() >= self.bounds.records {
            return Verdict::Full;
        }
        let progress = Progress::Queued;
        self.insert(id, Record { attempt, epoch: self.epoch, started, progress });
        Verdict::Run
    }

    /// Makes `attempt` the one that gets the answer, and moves the record to the present epoch.
    fn refresh(&mut self, id: Id, attempt: Attempt) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.attempt = attempt;
        if record.epoch != self.epoch {
            record.epoch = self.epoch;
            self.by_epoch.push_back((self.epoch, id));
        }
    }

    fn insert(&mut self, id: Id, record: Record) {
        let listed = self.records.get(&id).is_some_and(|old| old.epoch == record.epoch);
        if !listed {
            self.by_epoch.push_back((record.epoch, id));
        }
        self.drop_answer(id);
        self.records.insert(id, record);
    }

    fn remove(&mut self, id: Id) {
        self.drop_answer(id);
        self.records.remove(&id);
    }

    fn drop_answer(&mut self, id: Id) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if let Progress::Done(answer) = &mut record.progress {
            if let Some(answer) = answer.take() {
                self.answer_bytes -= answer.body.len();
            }
        }
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > self.bounds.answer_bytes
            || self.answers.len() > self.bounds.records
        {
            let Some(id) = self.answers.pop_front() else { break };
            self.drop_answer(id);
        }
    }
}

impl Record {
    fn is_in_progress(&self) -> bool {
        matches!(self.progress, Progress::Queued | Progress::Running { .. })
    }
}

/// Returns the deadline of a message that was received at `now` with `deadline_ms` left, limited to
/// the time that the records cover.
pub fn deadline(now: Instant, deadline_ms: u64) -> Instant {
    now + Duration::from_millis(deadline_ms.min(EPOCH_MS))
}
