//! The tokens of a prompt.

/// Bytes of UTF-8 text that make up one token.
const BYTES_PER_TOKEN: usize = 4;

/// Splits a text into tokens: each stands for up to four bytes of UTF-8, first byte lowest.
pub fn encode(text: &str) -> Vec<u32> {
    text.as_bytes().chunks(BYTES_PER_TOKEN).map(pack).collect()
}

fn pack(chunk: &[u8]) -> u32 {
    chunk.iter().rev().fold(0, |token, byte| token << 8 | u32::from(*byte))
}

/// Tokens of one block of engines' prefix caches.
pub const BLOCK: u32 = 16;

/// First value of a prefix's hash (FNV-1a).
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Prefixes that are looked up for one prompt.
const MOST_PREFIXES: usize = 16;

/// Hashes of prefixes of `tokens` that end with a whole block, with their lengths, longest first;
/// they are the ones by which engines with the first layer name what they have cached. Of a long
/// prompt's prefixes, only some are given.
pub fn prefixes(tokens: &[u32]) -> Vec<(u64, u32)> {
    let byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let (mut hash, mut length) = (FNV_OFFSET, 0);
    let mut found = Vec::new();
    for block in tokens.chunks_exact(BLOCK as usize) {
        hash = block.iter().flat_map(|token| token.to_le_bytes()).fold(hash, byte);
        length += BLOCK;
        found.push((hash, length));
    }
    let step = found.len().div_ceil(MOST_PREFIXES).max(1);
    found.into_iter().rev().step_by(step).collect()
}
