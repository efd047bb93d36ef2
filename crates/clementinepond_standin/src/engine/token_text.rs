//! Deterministic tokens, derived from the model, the version and the prompt.

/// Number of prompt bytes that form the cached prefix.
const PREFIX_BYTES: usize = 256;
/// Number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of the first 256 bytes of a prompt.
#[must_use]
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    fnv(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Returns the first `count` tokens of the answer to a prompt; `model` is the
/// requested name, of a model or an adapter.
#[must_use]
pub fn expected_tokens(model: &str, version: &str, prompt: &str, count: u32) -> Vec<String> {
    let seed = answer_seed(model, version, prompt);
    (0..count).map(|index| token_text(seed, index)).collect()
}

/// Returns the first `count` tokens of the answer to a prompt, joined.
#[must_use]
pub fn expected_text(model: &str, version: &str, prompt: &str, count: u32) -> String {
    expected_tokens(model, version, prompt, count).concat()
}

/// Returns the number of tokens of a prompt: one per 4 bytes, rounded up, and
/// at least one.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns the length of an answer before `max_tokens` applies, in tokens;
/// derived from the seed and the prompt, between `shortest` and `longest`.
#[must_use]
pub fn answer_length(seed: u64, prompt: &str, shortest: u32, longest: u32) -> u32 {
    let range = u64::from(longest.saturating_sub(shortest)) + 1;
    let drawn = mix(seed ^ fnv(prompt.as_bytes())) % range;
    shortest.saturating_add(u32::try_from(drawn).unwrap_or_default())
}

pub(super) fn answer_seed(model: &str, version: &str, prompt: &str) -> u64 {
    let parts = [model, version, prompt];
    parts
        .iter()
        .fold(0, |seed, part| mix(seed ^ fnv(part.as_bytes())))
}

pub(super) fn token_text(seed: u64, index: u32) -> String {
    let word = mix(seed ^ u64::from(index)) & 0x00ff_ffff;
    format!(" {word:06x}")
}

/// Returns the 64-bit FNV-1a hash.
fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Mixes the bits of a value with the SplitMix64 generator step.
fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
