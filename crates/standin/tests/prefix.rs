//! Guards against a prefix hash that differs between the router's core and engines: entries would
//! find none of the prefixes that engines report as cached.

use oriole_core::token;
use oriole_standin::engine::prefix;

#[test]
fn core_and_engine_hash_prefixes_alike() {
    let tokens: Vec<u32> = (0..200).map(|n| n * 7919).collect();
    let known = prefix::block_hashes(&tokens);
    for (hash, length) in token::prefix_hashes(&tokens) {
        assert_eq!(known[(length / prefix::BLOCK_TOKENS) as usize - 1], hash);
    }
}
