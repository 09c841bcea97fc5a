//! The home of idempotency keys: the side that lets at most one request with a key run.
//!
//! Keys are divided into shards, and the configuration assigns each shard to one home. Entries
//! claim a key at its home before they run the request. A verdict is about the key: "not run" means
//! that no request with the key has run.
//!
//! A key is a UUIDv7. Its time of issue shows whether an earlier home of the shard, or a record
//! that was evicted since, may have known it. Records are evicted by number, not by age: each
//! eviction raises the time of issue up to which unknown keys are refused as "outcome unknown".
//! `docs/design/at-most-once.md` describes the effects of paused processes and stale rosters.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::config::Config;
use crate::message::{Answer, Claim, Settle, Verdict, not_run};
use crate::name;
use crate::request::{Id, Ran, Refusal, Refused};
use crate::time::Instant;

/// Number of shards into which keys are divided.
pub const SHARDS: u16 = 256;

/// Time after which the outcome of a claim that was not settled counts as unknown, in milliseconds.
pub const CLAIM_TTL_MS: u64 = crate::ledger::EPOCH_MS;

/// Longest gap between two ticks of a process that does not count as paused, in milliseconds.
pub const MAX_TICK_GAP_MS: u64 = 5_000;

/// Limits on the memory of a home, and the tolerances within which it is safe.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest difference between the wall clocks of callers and hosts, and between those of two
    /// hosts, in milliseconds.
    pub skew_ms: u64,
    /// Time for which a new home of a shard refuses claims, in milliseconds, so that every
    /// reachable process stops using the old home first.
    pub takeover_ms: u64,
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum total size of the stored answers, in bytes.
    pub answer_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { skew_ms: 5_000, takeover_ms: 20_000, keys: 65_536, answer_bytes: 16 * 1024 * 1024 }
    }
}

/// The present time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time on the monotonic clock.
    pub now: Instant,
    /// Time on the wall clock, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

type Key = (name::Workspace, u128);

/// The claimed keys of the shards that a side is the home of.
pub struct Home {
    bounds: Bounds,
    /// Number of the revision of the configuration in force.
    revision: u64,
    /// The shards that this side is the home of.
    shards: BTreeMap<u16, Ownership>,
    /// Keys issued at or before this wall-clock time may have been evicted, in milliseconds since
    /// the Unix epoch.
    evicted_ms: u64,
    /// Time of the last tick.
    ticked_at: Instant,
    /// Whether claims are refused until the revision is confirmed after a pause.
    unconfirmed: bool,
    records: BTreeMap<Key, Record>,
    /// Keys by their time of issue in milliseconds since the Unix epoch, for eviction.
    by_issue_time: BTreeSet<(u64, Key)>,
    /// Keys whose answers are stored, oldest first.
    answers: VecDeque<Key>,
    answer_bytes: usize,
}

/// The state of one shard.
#[derive(Clone, Copy)]
struct Ownership {
    /// Time from which claims are granted.
    serves_at: Instant,
    /// Keys issued at or before this wall-clock time may have run under an earlier home, in
    /// milliseconds since the Unix epoch.
    floor_ms: u64,
}

struct Record {
    digest: u128,
    request: Id,
    state: State,
}

enum State {
    /// Claimed at `since` and not settled.
    Running { since: Instant },
    /// Answered; `None` if the answer is no longer stored.
    Done(Option<Answer>),
    /// The outcome is unknown.
    Unknown,
}

impl Home {
    /// Creates a home without shards at `now`.
    pub fn new(now: Instant, bounds: Bounds) -> Self {
        Self {
            bounds,
            revision: 0,
            shards: BTreeMap::new(),
            evicted_ms: 0,
            ticked_at: now,
            unconfirmed: false,
            records: BTreeMap::new(),
            by_issue_time: BTreeSet::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Applies a revision of the configuration that assigns `shards` to this home.
    ///
    /// Keys of a newly assigned shard may have run under another home or an earlier process of this
    /// host. Claims of its keys are therefore refused for the takeover time, and the outcome of
    /// keys issued before counts as unknown.
    pub fn adopt(&mut self, clock: Clock, revision: u64, shards: &BTreeSet<u16>) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.shards.retain(|shard, _| shards.contains(shard));
        let takeover = Duration::from_millis(self.bounds.takeover_ms);
        // The clock skew counts twice: once for the caller's clock, once for the earlier home's.
        let margin_ms = self.bounds.takeover_ms + 2 * self.bounds.skew_ms;
        let gained =
            Ownership { serves_at: clock.now + takeover, floor_ms: clock.wall_ms + margin_ms };
        for shard in shards {
            self.shards.entry(*shard).or_insert(gained);
        }
        let held = |key: &Key| self.shards.contains_key(&shard(&key.0, key.1));
        let lost: Vec<Key> = self.records.keys().filter(|key| !held(key)).cloned().collect();
        for key in lost {
            self.remove(&key);
        }
    }

    /// Records that the process is running. If it was paused, another home may have taken over, so
    /// claims are refused until [`Home::confirm_revision`].
    pub fn tick(&mut self, now: Instant) {
        self.unconfirmed |= self.has_paused(now);
        self.ticked_at = now;
    }

    /// Records that another process has just reported `revision` as in force. If it is this home's
    /// revision too, claims are accepted again after a pause.
    pub fn confirm_revision(&mut self, revision: u64) {
        self.unconfirmed &= revision != self.revision;
    }

    /// Returns the number of the revision of the configuration in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides whether the request of a claim may run.
    pub fn claim(&mut self, clock: Clock, claim: &Claim) -> Verdict {
        let shard = shard(&claim.workspace, claim.key);
        // The claim's roster is not checked: an entry with another configuration does no harm as
        // long as this side is the home of the shard.
        let Some(ownership) = self.shards.get(&shard) else {
            return refuse_unknown(Refusal::Superseded);
        };
        if self.unconfirmed || self.has_paused(clock.now) || clock.now < ownership.serves_at {
            return refuse_unknown(Refusal::HomeUnreachable);
        }
        let floor_ms = ownership.floor_ms.max(self.evicted_ms);
        let Some(issued) = issue_ms(claim.key) else { return refuse_not_run(Refusal::Malformed) };
        let key = (claim.workspace.clone(), claim.key);
        if let Some(record) = self.records.get_mut(&key) {
            return record.verdict(clock.now, claim);
        }
        if issued > clock.wall_ms + 2 * self.bounds.skew_ms {
            return refuse_not_run(Refusal::Malformed);
        }
        if issued > clock.wall_ms + self.bounds.skew_ms {
            // A key from so far in the future could lie above a later home's floor and run again
            // there.
            return refuse_unknown(Refusal::Malformed);
        }
        if issued <= floor_ms {
            return refuse_unknown(Refusal::OutcomeUnknown);
        }
        let state = State::Running { since: clock.now };
        let record = Record { digest: claim.digest, request: claim.request, state };
        self.by_issue_time.insert((issued, key.clone()));
        self.records.insert(key, record);
        self.evict_keys();
        Verdict::Run
    }

    /// Records the outcome of a claimed request. Returns false if the request does not hold the
    /// claim or is settled already.
    pub fn settle(&mut self, settle: Settle) -> bool {
        let key = (settle.workspace, settle.key);
        let Some(record) = self.records.get_mut(&key) else { return false };
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
            Err(Refused { ran: Ran::No, .. }) => self.remove(&key),
            Err(_) => record.state = State::Unknown,
        }
        true
    }

    fn has_paused(&self, now: Instant) -> bool {
        now.since(self.ticked_at).as_millis() > u128::from(MAX_TICK_GAP_MS)
    }

    /// Evicts the keys issued first, and raises the time of issue up to which unknown keys are
    /// refused, so that an evicted key cannot run again.
    fn evict_keys(&mut self) {
        while self.records.len() > self.bounds.keys {
            let Some((issued, key)) = self.by_issue_time.first().cloned() else { break };
            self.evicted_ms = self.evicted_ms.max(issued);
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) {
        self.drop_answer(key);
        self.records.remove(key);
        if let Some(issued) = issue_ms(key.1) {
            self.by_issue_time.remove(&(issued, key.clone()));
        }
    }

    fn drop_answer(&mut self, key: &Key) {
        let Some(record) = self.records.get_mut(key) else { return };
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
            self.drop_answer(&key);
        }
    }
}

impl Record {
    fn verdict(&mut self, now: Instant, claim: &Claim) -> Verdict {
        if self.digest != claim.digest {
            return refuse_not_run(Refusal::KeyMismatch);
        }
        if let State::Running { since } = self.state {
            // The entry has failed, or could no longer reach this home.
            if now.since(since).as_millis() > u128::from(CLAIM_TTL_MS) {
                self.state = State::Unknown;
            }
        }
        match &self.state {
            State::Running { .. } if self.request == claim.request => Verdict::Run,
            State::Running { .. } => refuse_unknown(Refusal::KeyInUse),
            State::Done(Some(answer)) => Verdict::Ran(self.request, answer.clone()),
            State::Done(None) | State::Unknown => refuse_unknown(Refusal::OutcomeUnknown),
        }
    }
}

/// Returns the shard of a key.
pub fn shard(workspace: &name::Workspace, key: u128) -> u16 {
    let digest = Sha256::new_with_prefix(key.to_be_bytes()).chain_update(workspace.as_str());
    let digest = digest.finalize();
    u16::from_be_bytes([digest[0], digest[1]]) % SHARDS
}

/// Returns the home of each shard: the host with the highest weight for the shard among the hosts
/// that `config` keeps in service (rendezvous hashing), so that adding or removing a host moves
/// only the shards of that host. Empty if no host is in service.
pub fn shard_hosts(config: &Config) -> Vec<name::Host> {
    let seeds = host_seeds(config);
    (0..SHARDS).filter_map(|shard| highest_weight_host(&seeds, shard).cloned()).collect()
}

/// Returns the shards whose home is `own`.
pub fn own_shards(config: &Config, own: &name::Host) -> BTreeSet<u16> {
    let seeds = host_seeds(config);
    (0..SHARDS).filter(|shard| highest_weight_host(&seeds, *shard) == Some(own)).collect()
}

fn host_seeds(config: &Config) -> Vec<(u64, &name::Host)> {
    let in_service = config.endpoints.values().filter(|endpoint| !endpoint.drain);
    let names: BTreeSet<&name::Host> = in_service.map(|endpoint| &endpoint.host).collect();
    names.into_iter().map(|name| (host_seed(name), name)).collect()
}

fn highest_weight_host<'a>(seeds: &[(u64, &'a name::Host)], shard: u16) -> Option<&'a name::Host> {
    seeds.iter().max_by_key(|(seed, _)| weight(*seed, shard)).map(|(_, name)| *name)
}

fn host_seed(host: &name::Host) -> u64 {
    let digest = <[u8; 32]>::from(Sha256::digest(host.as_str()));
    let (first, _) = digest.split_at(8);
    first.iter().fold(0, |seed, byte| seed << 8 | u64::from(*byte))
}

/// Returns the weight of a host for a shard, by the finalizer of SplitMix64.
fn weight(seed: u64, shard: u16) -> u64 {
    let mut x = seed ^ u64::from(shard).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the time of issue of a UUIDv7 in milliseconds since the Unix epoch; `None` for a key
/// that is not a UUIDv7.
pub fn issue_ms(key: u128) -> Option<u64> {
    let uuid = Uuid::from_u128(key);
    (uuid.get_version_num() == 7).then(|| u64::try_from(key >> 80).unwrap_or(u64::MAX))
}

fn refuse_not_run(reason: Refusal) -> Verdict {
    Verdict::Refused(not_run(reason, None))
}

fn refuse_unknown(reason: Refusal) -> Verdict {
    Verdict::Refused(Refused { reason, ran: Ran::Unknown, retry_after_ms: None })
}
