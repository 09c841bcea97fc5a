//! Tokens and prefix hashes.

use oriole_core::token::{BLOCK, prefixes};

#[test]
fn prefixes_are_those_of_whole_blocks_longest_first() {
    let tokens: Vec<u32> = (0..BLOCK * 100 + 3).collect();
    assert!(prefixes(&tokens[..BLOCK as usize - 1]).is_empty());
    let all = prefixes(&tokens);
    assert_eq!(all[0].1, BLOCK * 100);
    assert!(all.len() <= 16 && all.windows(2).all(|pair| pair[0].1 > pair[1].1));
    for (hash, length) in all {
        assert_eq!(prefixes(&tokens[..length as usize])[0], (hash, length));
        // The last token of the prefix counts.
        let mut other = tokens[..length as usize].to_vec();
        other[length as usize - 1] += 1;
        assert_ne!(prefixes(&other)[0].0, hash);
    }
}
