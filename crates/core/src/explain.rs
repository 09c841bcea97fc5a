//! Keeps records of decisions, which explain why a request ran where it did, waited or was refused.
//!
//! A record holds the inputs that each decision used, as they were when it was made; none are
//! reconstructed later. The store is bounded: new records replace the oldest ones.

use std::collections::{BTreeMap, VecDeque};

use oriole_macros::data;

use crate::message::Hop;
use crate::name;
use crate::plan::{Choice, Unplanned};
use crate::recover;
use crate::request::{Attempt, Id, Position, Refused};
use crate::retry;
use crate::time::{Instant, as_us};

/// Limit on the number of records in a [`Store`].
const MAX_RECORDS: usize = 2048;

/// Limit on the number of facts in one record. Further facts displace those in the middle.
const MAX_FACTS_PER_RECORD: usize = 48;

/// The kind of work that a request asks for.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// Generation of text by a model.
    Model(name::Model),
    /// Call of a plain service.
    Service(name::Service),
}

/// A decision about a request, or an event that led to one.
#[data]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Fact {
    /// The request was admitted by its contract.
    Admitted {
        /// Estimated number of tokens, which was charged.
        tokens: u32,
        /// Number of the roster under which the request was admitted.
        roster: u64,
        /// Milliseconds until the deadline.
        deadline_ms: u64,
    },
    /// The request waits for a loan of its contract's limits from another entry. Without a loan, it
    /// gets this refusal.
    WaitsForLoan(Refused),
    /// Endpoints were chosen for an attempt.
    Planned {
        /// The attempt.
        attempt: Attempt,
        /// The endpoints that were chosen, and the candidates.
        choice: Choice,
        /// Links that were known to be degraded at that time.
        degraded: Vec<Link>,
    },
    /// No endpoints could be chosen.
    Unplanned(Unplanned),
    /// The side that records the idempotency key (its home) was asked whether the request may run.
    Claimed {
        /// Host of that side.
        home: name::Host,
    },
    /// The home of the idempotency key answered.
    Verdict(Verdict),
    /// A message was sent again, because no outcome arrived.
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
        /// Why the attempt failed.
        reason: retry::Reason,
        /// The refusal, if the attempt was refused.
        refused: Option<Refused>,
        /// The endpoint to which the failure is attributed, if it is known.
        endpoint: Option<name::Endpoint>,
    },
    /// The request waits before its next attempt.
    WaitsForRetry {
        /// Length of the wait in milliseconds.
        ms: u64,
    },
    /// The next attempt recovers the positions that had run.
    Recovers {
        /// The attempt.
        attempt: Attempt,
        /// The chosen strategy, and the estimates that were compared.
        plan: recover::Plan,
    },
    /// An attempt returned its first token.
    Token {
        /// The attempt.
        attempt: Attempt,
        /// Position of the token in the sequence.
        position: Position,
        /// Microseconds since the fault from which the attempt recovers, if there was one.
        recovery_us: Option<u64>,
        /// Timings of the stages, in the order of the chain.
        hops: Vec<Hop>,
    },
    /// A side was asked whether a call ran.
    Resolving {
        /// The attempt.
        attempt: Attempt,
    },
    /// A side answered whether the call ran.
    Resolved(crate::message::State),
    /// The request was answered completely.
    Answered {
        /// Number of tokens in the answer, 0 for calls of plain services.
        tokens: u32,
    },
    /// The request was refused.
    Refused(Refused),
}

/// The answer of an idempotency key's home, without the body of a repeated answer.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request may run.
    Run,
    /// Another request with the same key has run, and its answer was repeated.
    Ran(Id),
    /// The request may not run.
    Refused(Refused),
}

/// A link with more than its configured latency.
#[data]
pub struct Link {
    /// Sending host.
    pub from: name::Host,
    /// Receiving host.
    pub to: name::Host,
    /// Latency beyond the configured one, in microseconds.
    pub excess_us: u64,
}

/// A fact with its time.
#[data]
pub struct Entry {
    /// Microseconds since the request arrived.
    pub at_us: u64,
    /// The fact.
    pub fact: Fact,
}

/// The record of one request.
#[data]
pub struct Record {
    /// Id of the request.
    pub request: Id,
    /// Id of the request in its text form.
    pub name: String,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The kind of work that the request asked for.
    pub subject: Subject,
    /// Number of the configuration's revision in force when the request arrived.
    pub revision: u64,
    /// The facts, oldest first.
    pub facts: Vec<Entry>,
    /// Number of facts that were dropped to limit the size of the record.
    pub omitted: u32,
    #[serde(skip)]
    arrived_at: Instant,
}

/// The decision records of one entry process.
#[derive(Debug, Default)]
pub struct Store {
    records: BTreeMap<Id, Record>,
    order: VecDeque<Id>,
}

impl Store {
    /// Adds an empty record for a request, and drops the oldest records if there are too many.
    pub fn open(
        &mut self,
        now: Instant,
        request: Id,
        workspace: &name::Workspace,
        subject: Subject,
        revision: u64,
    ) {
        while self.order.len() >= MAX_RECORDS {
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
            arrived_at: now,
        };
        self.order.push_back(request);
        self.records.insert(request, record);
    }

    /// Adds a fact to the record of a request. Does nothing if there is no such record.
    pub fn add(&mut self, now: Instant, request: Id, fact: Fact) {
        let Some(record) = self.records.get_mut(&request) else { return };
        if record.facts.len() >= MAX_FACTS_PER_RECORD {
            // The first facts show why the request ran where it did, the last ones how it ended.
            record.facts.remove(MAX_FACTS_PER_RECORD / 2);
            record.omitted += 1;
        }
        let at_us = as_us(now.since(record.arrived_at));
        record.facts.push(Entry { at_us, fact });
    }

    /// Returns the record of a request, or `None` if it does not exist or was dropped.
    pub fn get(&self, request: Id) -> Option<&Record> {
        self.records.get(&request)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
