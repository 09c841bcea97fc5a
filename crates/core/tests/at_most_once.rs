//! Execution at most once: the ledger of a side and the home of idempotency keys, under random
//! sequences of operations.

use std::collections::BTreeMap;

use oriole_core::home::{self, Clock, Home};
use oriole_core::ledger::{Bounds, EPOCH_MS, Ledger, Verdict};
use oriole_core::message::{self, Answer, Claim, Settle, State, Term, not_run};
use oriole_core::request::{Id, Ran, Refusal, Refused};
use oriole_core::time::Instant;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: 512,
        ..ProptestConfig::default()
    }
}

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(ms * 1000)
}

fn id(seq: u64) -> Id {
    Id { host: 1, boot: 1, seq }
}

fn answer() -> Answer {
    Answer { status: 200, content_type: "text/plain".into(), body: vec![0; 64] }
}

proptest! {
    #![proptest_config(config())]

    /// A non-idempotent call starts at most once, whatever restarts, epochs, duplicates and
    /// evictions occur. A call that was reported as not run neither has run nor runs later.
    #[test]
    fn a_call_starts_at_most_once(
        ops in prop::collection::vec((0u8..10, 0u64..4, 1u32..3, 0usize..8), 1..120),
    ) {
        let bounds = Bounds { records: 3, answer_bytes: 100 };
        let (mut now, mut boot) = (0, 1);
        let mut ledger = Ledger::new(at_ms(now), boot, bounds);
        // The term under which each request was first sent; duplicates and later attempts keep it.
        let mut sent: BTreeMap<u64, Term> = BTreeMap::new();
        let mut started: BTreeMap<u64, u32> = BTreeMap::new();
        let mut proven_not_run: BTreeMap<u64, u32> = BTreeMap::new();
        for (op, seq, attempt, step) in ops {
            let request = id(seq);
            match op {
                0..=3 => {
                    let first = if step == 0 { Term::default() } else { ledger.term() };
                    let term = *sent.entry(seq).or_insert(first);
                    let verdict = ledger.admit(request, attempt, term, false);
                    if matches!(verdict, Verdict::Fenced { started: false }) {
                        let up_to = proven_not_run.entry(seq).or_default();
                        *up_to = attempt.max(*up_to);
                    }
                }
                4 | 5 => {
                    if ledger.start(request) {
                        prop_assert!(started.insert(seq, attempt).is_none(), "a second start");
                        let newest =
                            ledger.newest_attempt(request).map_or(0, |(attempt, _)| attempt);
                        let fenced = proven_not_run.get(&seq).copied().unwrap_or(0);
                        prop_assert!(newest > fenced, "started after 'not run'");
                    }
                }
                6 => {
                    let ended = [Ok(answer()), Err(Ran::Unknown), Err(Ran::No)];
                    let not_run = step % 3 == 2;
                    let ended = ended.into_iter().nth(step % 3).unwrap();
                    if ledger.finish(request, ended).is_some() && not_run {
                        started.remove(&seq);
                    }
                }
                7 => {
                    let term = *sent.entry(seq).or_insert(ledger.term());
                    if ledger.resolve(request, attempt, term) == State::Refused {
                        prop_assert!(!started.contains_key(&seq), "started before 'not run'");
                        let up_to = proven_not_run.entry(seq).or_default();
                        *up_to = attempt.max(*up_to);
                    }
                }
                8 => {
                    now += EPOCH_MS * step as u64 / 3;
                    ledger.advance_epoch(at_ms(now));
                }
                _ if step == 0 => {
                    boot += 1;
                    ledger = Ledger::new(at_ms(now), boot, bounds);
                }
                _ => ledger.refuse(request),
            }
            prop_assert!(ledger.len() <= 3);
        }
    }

    /// A key runs again only after a proof that it did not run, whatever takeovers by other homes,
    /// clock skew within the tolerance, evictions and settled outcomes occur.
    #[test]
    fn a_key_runs_at_most_once(
        ops in prop::collection::vec((0u8..8, 0usize..4, 0u64..5, 0u64..9_000), 1..120),
    ) {
        let bounds =
            home::Bounds { skew_ms: 500, takeover_ms: 10, keys: 2, answer_bytes: 100 };
        let all = (0..home::SHARDS).collect();
        let mut wall_ms: u64 = 10_000_000;
        // The home's wall clock is 500 ms behind at 0, and 500 ms ahead at 1000.
        let mut skew: u64 = 500;
        let clock = |wall_ms: u64, skew| {
            Clock { now: at_ms(wall_ms), wall_ms: wall_ms + skew - 500 }
        };
        let mut home = Home::new(at_ms(wall_ms), bounds);
        home.adopt(clock(wall_ms, skew), 1, &all);
        let mut keys: Vec<u128> = Vec::new();
        // The request that may be running, by key.
        let mut running: BTreeMap<u128, Id> = BTreeMap::new();
        let mut seq = 0;
        for (op, index, roster, step) in ops {
            home.tick(at_ms(wall_ms));
            seq += 1;
            match op {
                0 => {
                    let issued = wall_ms + step % 1_000 - 500;
                    keys.push(u128::from(issued) << 80 | 7 << 76 | 2 << 62 | u128::from(seq));
                }
                1..=3 => {
                    let Some(&key) = keys.get(index) else { continue };
                    let claim = Claim {
                        request: id(seq),
                        workspace: "desk".into(),
                        key,
                        digest: 1,
                        roster: 0,
                    };
                    let verdict = home.claim(clock(wall_ms, skew), &claim);
                    if verdict == message::Verdict::Run {
                        prop_assert!(running.insert(key, id(seq)).is_none(), "a second start");
                    }
                    if let message::Verdict::Refused(Refused { ran: Ran::No, .. }) = verdict {
                        prop_assert!(!running.contains_key(&key), "started before 'not run'");
                    }
                }
                4 => {
                    let Some(&key) = keys.get(index) else { continue };
                    let Some(&request) = running.get(&key) else { continue };
                    let free = step % 2 == 0;
                    let refused = not_run(Refusal::QueueFull, None);
                    let outcome = if free { Err(refused) } else { Ok(answer()) };
                    let workspace = "desk".into();
                    if home.settle(Settle { request, workspace, key, outcome }) && free {
                        running.remove(&key);
                    }
                }
                5 => wall_ms += step,
                6 => wall_ms += 300,
                _ if step % 2 == 0 => {
                    // Another host takes over, whose clock differs within the tolerance.
                    skew = step % 1_000;
                    home = Home::new(at_ms(wall_ms), bounds);
                    home.adopt(clock(wall_ms, skew), roster + 2, &all);
                }
                _ => home.confirm_revision(home.revision()),
            }
            prop_assert!(home.len() <= 2);
        }
    }
}

#[test]
fn a_paused_or_superseded_home_grants_no_claims() {
    let bounds = home::Bounds { skew_ms: 0, takeover_ms: 0, ..home::Bounds::default() };
    let mut home = Home::new(at_ms(1_000), bounds);
    let all = (0..home::SHARDS).collect();
    home.adopt(Clock { now: at_ms(1_000), wall_ms: 50_000 }, 1, &all);
    let key = 50_001 << 80 | 7 << 76 | 2 << 62;
    let workspace = "desk".into();
    let mut claim = Claim { request: id(1), workspace, key, digest: 1, roster: 1 };
    let claim_at = |home: &mut Home, ms: u64, claim: &Claim| {
        home.claim(Clock { now: at_ms(ms), wall_ms: ms + 49_000 }, claim)
    };
    let refused = |verdict: &message::Verdict| match verdict {
        message::Verdict::Refused(refused) => Some((refused.reason, refused.ran)),
        _ => None,
    };
    assert_eq!(claim_at(&mut home, 1_001, &claim), message::Verdict::Run);
    let paused = claim_at(&mut home, 1_000 + home::MAX_TICK_GAP_MS + 1, &claim);
    assert_eq!(refused(&paused), Some((Refusal::HomeUnreachable, Ran::Unknown)));
    home.tick(at_ms(9_000));
    let unconfirmed = claim_at(&mut home, 9_000, &claim);
    assert_eq!(refused(&unconfirmed), Some((Refusal::HomeUnreachable, Ran::Unknown)));
    home.confirm_revision(1);
    assert_eq!(claim_at(&mut home, 9_001, &claim), message::Verdict::Run);
    claim.request = id(2);
    let busy = claim_at(&mut home, 9_002, &claim);
    assert_eq!(refused(&busy), Some((Refusal::KeyInUse, Ran::Unknown)));
    claim.digest = 2;
    let other = claim_at(&mut home, 9_003, &claim);
    assert_eq!(refused(&other), Some((Refusal::KeyMismatch, Ran::No)));
    home.adopt(Clock { now: at_ms(9_004), wall_ms: 58_004 }, 2, &Default::default());
    let superseded = claim_at(&mut home, 9_005, &claim);
    assert_eq!(refused(&superseded), Some((Refusal::Superseded, Ran::Unknown)));
}
