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
