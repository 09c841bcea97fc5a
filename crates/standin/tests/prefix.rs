//! Engines name cached prefixes by the hashes that entries look up.

use oriole_core::token;
use oriole_standin::engine::prefix;

#[test]
fn entries_and_engines_agree_on_the_hashes() {
    let tokens: Vec<u32> = (0..200).map(|n| n * 7919).collect();
    let known = prefix::block_hashes(&tokens);
    for (hash, length) in token::prefixes(&tokens) {
        assert_eq!(known[(length / prefix::BLOCK_TOKENS) as usize - 1], hash);
    }
}
