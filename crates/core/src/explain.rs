//! Records of decisions, kept to answer why a request ran where it did, waited or was refused.
//!
//! A record holds what the decisions really used, at the moment at which they were made; nothing
//! in it is worked out later. The store is bounded: the oldest records make room for new ones.

use std::collections::{BTreeMap, VecDeque};

use oriole_macros::data;

use crate::message::Hop;
use crate::name;
use crate::plan::{Choice, Unplanned};
use crate::recover;
use crate::request::{Attempt, Id, Position, Refused};
use crate::retry;
use crate::time::{Instant, as_us};

/// Records kept at most.
const RECORDS: usize = 2048;

/// Facts kept of one request at most; a request that has more lacks those in the middle.
const FACTS: usize = 48;

/// What a request asked for.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A generation by a model.
    Model(name::Model),
    /// A call of a plain service.
    Service(name::Service),
}

/// Something that was decided about a request, or that led to a decision.
#[data]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Fact {
    /// Admitted by its contract.
    Admitted {
        /// Tokens that were charged as an estimate.
        tokens: u32,
        /// Number of the roster under which it was admitted.
        roster: u64,
        /// Milliseconds until its deadline.
        deadline_ms: u64,
    },
    /// Waits for a loan of its contract's limits.
    WaitsForLoan(Refused),
    /// Endpoints were chosen.
    Planned {
        /// The attempt.
        attempt: Attempt,
        /// What was chosen, and from what.
        choice: Choice,
        /// Links that were known to be degraded.
        degraded: Vec<Link>,
    },
    /// No endpoints could be chosen.
    Unplanned(Unplanned),
    /// Asked the home of its idempotency key.
    Claimed {
        /// The home.
        home: name::Host,
    },
    /// The home of its idempotency key answered.
    Verdict(Verdict),
    /// A message was sent again, because no outcome came.
    Retransmitted {
        /// The attempt.
        attempt: Attempt,
        /// Microseconds without an outcome.
        silent_us: u64,
    },
    /// An attempt ended without an answer.
    Failed {
        /// The attempt.
        attempt: Attempt,
        /// Why.
        reason: retry::Reason,
        /// The refusal, if it was one.
        refused: Option<Refused>,
        /// The endpoint that is held to be at fault.
        endpoint: Option<name::Endpoint>,
    },
    /// Waits before the next attempt.
    WaitsForRetry {
        /// Milliseconds.
        ms: u64,
    },
    /// How the next attempt goes on from the positions that had run.
    Recovers {
        /// The attempt.
        attempt: Attempt,
        /// The ways that were weighed.
        plan: recover::Plan,
    },
    /// An attempt brought its first token.
    Token {
        /// The attempt.
        attempt: Attempt,
        /// Where the token stands.
        position: Position,
        /// Microseconds since the fault that the attempt recovers from, if there was one.
        recovery_us: Option<u64>,
        /// Timings of the stages.
        hops: Vec<Hop>,
    },
    /// A side was asked whether a call ran.
    Resolving {
        /// The attempt.
        attempt: Attempt,
    },
    /// A side's answer to that.
    Resolved(crate::message::State),
    /// Answered as a whole.
    Answered {
        /// Tokens of the answer, 0 for calls.
        tokens: u32,
    },
    /// Refused.
    Refused(Refused),
}

/// A home's answer, as it is recorded.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It may run.
    Run,
    /// Another request with the key had run; its answer was repeated.
    Ran(Id),
    /// It may not run.
    Refused(Refused),
}

/// A degraded link.
#[data]
pub struct Link {
    /// Sending host.
    pub from: name::Host,
    /// Receiving host.
    pub to: name::Host,
    /// Microseconds over its configured latency.
    pub excess_us: u64,
}

/// A fact and when it was recorded.
#[data]
pub struct Entry {
    /// Microseconds since the request arrived.
    pub at_us: u64,
    /// The fact.
    pub fact: Fact,
}

/// All that is recorded of one request.
#[data]
pub struct Record {
    /// The request.
    pub request: Id,
    /// The request as text.
    pub name: String,
    /// The workspace.
    pub workspace: name::Workspace,
    /// What it asked for.
    pub subject: Subject,
    /// Number of the configuration's revision when it arrived.
    pub revision: u64,
    /// What was decided, in order.
    pub facts: Vec<Entry>,
    /// Facts that were left out to bound the record.
    pub omitted: u32,
    #[serde(skip)]
    arrived: Instant,
}

/// The records of one entry.
#[derive(Debug, Default)]
pub struct Store {
    records: BTreeMap<Id, Record>,
    order: VecDeque<Id>,
}

impl Store {
    /// Opens the record of a request.
    pub fn open(
        &mut self,
        now: Instant,
        request: Id,
        workspace: &name::Workspace,
        subject: Subject,
        revision: u64,
    ) {
        while self.order.len() >= RECORDS {
            let oldest = self.order.pop_front();
            oldest.and_then(|id| self.records.remove(&id));
        }
        let record = Record {
            request,
            name: request.to_string(),
            workspace: workspace.clone(),
            subject,
            revision,
            facts: Vec::new(),
            omitted: 0,
            arrived: now,
        };
        self.order.push_back(request);
        self.records.insert(request, record);
    }

    /// Adds a fact to a request's record.
    pub fn add(&mut self, now: Instant, request: Id, fact: Fact) {
        let Some(record) = self.records.get_mut(&request) else { return };
        if record.facts.len() >= FACTS {
            // The first facts tell why it ran where it did, the last ones how it ended.
            record.facts.remove(FACTS / 2);
            record.omitted += 1;
        }
        let at_us = as_us(now.since(record.arrived));
        record.facts.push(Entry { at_us, fact });
    }

    /// The record of a request, if it is still kept.
    pub fn get(&self, request: Id) -> Option<&Record> {
        self.records.get(&request)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
