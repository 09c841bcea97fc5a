//! The home of idempotency keys: lets a request with a key run once.
//!
//! Verdicts speak about the key: "not run" is said only if no request with it has run.
//!
//! A key is a UUIDv7, whose time of issue tells whether an earlier holder of the shard, or a
//! record that was evicted, could know it. Memory is bounded without a time limit: evicting a
//! record raises the floor below which keys are refused as "outcome unknown". See
//! `docs/design/at-most-once.md` for what pauses and stale rosters can do.

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

/// Time after which a claim that was not settled counts as unknown.
pub const CLAIM_TTL_MS: u64 = crate::ledger::EPOCH_MS;

/// Longest gap between two ticks of a process that is not paused.
pub const MAX_TICK_GAP_MS: u64 = 5_000;

/// Bounds of a home's memory, and the tolerances that it is safe within.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Milliseconds by which the clocks of callers, and of our hosts among each other, may differ.
    pub skew_ms: u64,
    /// Milliseconds for which a new home stays silent, so that every process that can be reached
    /// has left the old one.
    pub takeover_ms: u64,
    /// Keys held.
    pub keys: usize,
    /// Bytes of answers held.
    pub answer_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { skew_ms: 5_000, takeover_ms: 20_000, keys: 65_536, answer_bytes: 16 * 1024 * 1024 }
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
    /// Number of the configuration's revision.
    revision: u64,
    /// Shards held.
    shards: BTreeMap<u16, Ownership>,
    /// Keys issued at or before this wall-clock time may have been evicted.
    evicted_ms: u64,
    /// When the process was last known to be running.
    ticked_at: Instant,
    /// Whether the revision must be confirmed after a pause.
    unconfirmed: bool,
    records: BTreeMap<Key, Record>,
    by_issue_time: BTreeSet<(u64, Key)>,
    answers: VecDeque<Key>,
    answer_bytes: usize,
}

/// The holding of one shard.
#[derive(Clone, Copy)]
struct Ownership {
    /// From when claims are answered.
    serves_at: Instant,
    /// Keys issued at or before this wall-clock time may have run under an earlier home.
    floor_ms: u64,
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
    /// A home without shards that starts at `now`.
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

    /// Adopts a revision of the configuration that gives `shards` to this home.
    ///
    /// Shards that it did not hold may have run keys under another home, or under this host's
    /// former process: they stay silent for a while, and keys from before are unknown.
    pub fn adopt(&mut self, clock: Clock, revision: u64, shards: &BTreeSet<u16>) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.shards.retain(|shard, _| shards.contains(shard));
        let silence = Duration::from_millis(self.bounds.takeover_ms);
        // One tolerance for the caller's clock, one for the earlier home's.
        let margin_ms = self.bounds.takeover_ms + 2 * self.bounds.skew_ms;
        let gained =
            Ownership { serves_at: clock.now + silence, floor_ms: clock.wall_ms + margin_ms };
        for shard in shards {
            self.shards.entry(*shard).or_insert(gained);
        }
        let held = |key: &Key| self.shards.contains_key(&shard(&key.0, key.1));
        let lost: Vec<Key> = self.records.keys().filter(|key| !held(key)).cloned().collect();
        for key in lost {
            self.remove(&key);
        }
    }

    /// The process is running. After a pause it may be superseded, and claims are refused until
    /// [`Home::confirm`].
    pub fn tick(&mut self, now: Instant) {
        self.unconfirmed |= self.has_paused(now);
        self.ticked_at = now;
    }

    /// Another process has this revision in force, as of now.
    pub fn confirm_revision(&mut self, revision: u64) {
        self.unconfirmed &= revision != self.revision;
    }

    /// Number of the configuration's revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides on a claim.
    pub fn claim(&mut self, clock: Clock, claim: &Claim) -> Verdict {
        let shard = shard(&claim.workspace, claim.key);
        // Holding the shard is what counts: an entry with another configuration that comes to the
        // present home does no harm.
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
            // Run here, it could pass a later home's floor and run again.
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

    /// Takes in the outcome of a claimed request. Returns whether it held the claim.
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

    /// Forgets the oldest keys; none issued up to then may run again.
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
            // Its entry has died, or could not reach this home any more.
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

/// The shard of a key.
pub fn shard(workspace: &name::Workspace, key: u128) -> u16 {
    let digest = Sha256::new_with_prefix(key.to_be_bytes()).chain_update(workspace.as_str());
    let digest = digest.finalize();
    u16::from_be_bytes([digest[0], digest[1]]) % SHARDS
}

/// The home of each shard: the host with the highest weight for it among those that `config`
/// keeps in service (rendezvous hashing), so that a change of hosts moves only the shards of those
/// that come or go. Empty if no host is in service.
pub fn shard_hosts(config: &Config) -> Vec<name::Host> {
    let seeds = host_seeds(config);
    (0..SHARDS).filter_map(|shard| highest_weight_host(&seeds, shard).cloned()).collect()
}

/// The shards whose home is `own`.
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

/// Weight of a host for a shard (the finalizer of SplitMix64).
fn weight(seed: u64, shard: u16) -> u64 {
    let mut x = seed ^ u64::from(shard).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Time of issue of a UUIDv7, in milliseconds since the Unix epoch.
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
