//! Guards against prefix hashes of partial blocks, in the wrong order or of the wrong tokens.

use oriole_core::token::{BLOCK_TOKENS, prefix_hashes};

#[test]
fn prefix_hashes_cover_whole_blocks_longest_first() {
    let tokens: Vec<u32> = (0..BLOCK_TOKENS * 100 + 3).collect();
    assert!(prefix_hashes(&tokens[..BLOCK_TOKENS as usize - 1]).is_empty());
    let all = prefix_hashes(&tokens);
    assert_eq!(all[0].1, BLOCK_TOKENS * 100);
    assert!(all.len() <= 16 && all.windows(2).all(|pair| pair[0].1 > pair[1].1));
    for (hash, length) in all {
        assert_eq!(prefix_hashes(&tokens[..length as usize])[0], (hash, length));
        // The hash depends on the last token of the prefix.
        let mut other = tokens[..length as usize].to_vec();
        other[length as usize - 1] += 1;
        assert_ne!(prefix_hashes(&other)[0].0, hash);
    }
}
