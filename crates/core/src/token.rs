//! Splits prompts into tokens and hashes their prefixes.

/// Bytes of UTF-8 text that make up one token.
const BYTES_PER_TOKEN: usize = 4;

/// Splits a text into tokens. Each holds up to four bytes of UTF-8, the first in the lowest byte.
pub fn encode(text: &str) -> Vec<u32> {
    text.as_bytes().chunks(BYTES_PER_TOKEN).map(pack).collect()
}

fn pack(chunk: &[u8]) -> u32 {
    chunk.iter().rev().fold(0, |token, byte| token << 8 | u32::from(*byte))
}

/// Number of tokens in one block of the engines' prefix caches.
pub const BLOCK_TOKENS: u32 = 16;

/// Offset basis of the 64-bit FNV-1a hash, with which prefix hashes start.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Limit on the number of prefixes that are looked up for one prompt.
const MAX_PREFIXES: usize = 16;

/// Returns the hashes of the prefixes of `tokens` that end with a whole block, with their lengths
/// in tokens, longest first.
///
/// Engines that hold the first layer identify cached prefixes by the same hashes. For a long
/// prompt, only evenly spaced prefixes are returned, at most 16.
pub fn prefix_hashes(tokens: &[u32]) -> Vec<(u64, u32)> {
    let byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    let (mut hash, mut length) = (FNV_OFFSET, 0);
    let mut found = Vec::new();
    for block in tokens.chunks_exact(BLOCK_TOKENS as usize) {
        hash = block.iter().flat_map(|token| token.to_le_bytes()).fold(hash, byte);
        length += BLOCK_TOKENS;
        found.push((hash, length));
    }
    let step = found.len().div_ceil(MAX_PREFIXES).max(1);
    found.into_iter().rev().step_by(step).collect()
}
