//! Guards against an answer that accepts a token twice, out of order or from an earlier attempt.

use oriole_core::answer::{Answer, Verdict};
use oriole_core::message::{Sample, Token};
use oriole_core::request::Id;
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

/// Returns a token whose number encodes its attempt and position, so that a wrong one shows.
fn token(attempt: u32, position: u32, sampled: bool) -> Token {
    let number = attempt * 1000 + position;
    let sample = Sample { token: number, text: String::new(), end: false };
    let sampled = sampled.then_some(sample);
    let request = Id { host: 0, boot: 0, seq: 1 };
    Token { request, attempt, position, sampled, hops: Vec::new() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn only_the_next_position_of_the_current_attempt_is_accepted(
        prompt in 1_u32..20,
        chunk in 1_u32..8,
        arrivals in prop::collection::vec((1_u32..4, 0_u32..30, any::<bool>()), 1..200),
        restarts in prop::collection::btree_map(0_usize..200, 0_u32..30, 0..3),
    ) {
        let mut answer = Answer::new((0..prompt).collect());
        answer.restart(1, 0);
        let mut attempt = 1;
        let mut expected: Vec<u32> = Vec::new();
        for (index, (token_attempt, position, sampled)) in arrivals.into_iter().enumerate() {
            if let Some(resume) = restarts.get(&index) {
                attempt += 1;
                answer.restart(attempt, (*resume).min(answer.length() - 1));
            }
            let (at, tokens, sample) = answer.next_feed(chunk).unwrap();
            let count = tokens.len() as u32;
            let end = at + count;
            prop_assert!(count <= chunk);
            prop_assert_eq!(at, answer.positions_run());
            prop_assert_eq!(sample, end == answer.length());
            let is_expected = token_attempt == attempt && position == end && sampled == sample;
            let verdict = answer.accept(&token(token_attempt, position, sampled));
            prop_assert_eq!(verdict == Verdict::Taken, is_expected);
            if is_expected && sampled {
                expected.push(token_attempt * 1000 + position);
            }
            prop_assert_eq!(answer.answer_tokens() as usize, expected.len());
            prop_assert!(answer.positions_run() <= answer.length());
        }
    }
}
