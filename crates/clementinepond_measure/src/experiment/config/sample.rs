//! Sample configuration texts of realistic size.

use clementinepond_types::KeyDigest;
use std::fmt::Write;

/// Returns the digest of the key with the given number.
pub(super) fn sample_key(number: usize) -> KeyDigest {
    let mut bytes = [0x5a; 32];
    for (byte, source) in bytes.iter_mut().zip(number.to_le_bytes()) {
        *byte = source;
    }
    KeyDigest::new(bytes)
}

/// Returns a configuration of `keys` keys, in which the rate of key
/// `number % 97`, if present, depends on `number`.
pub(super) fn sample_text(number: u64, keys: usize) -> String {
    let mut text = String::from("{\"keys\":{");
    for key in 0..keys {
        let rate = if key as u64 == number % 97 {
            1_000 + number
        } else {
            1_000
        };
        let separator = if key == 0 { "" } else { "," };
        // Writing to a `String` never fails.
        let _ = write!(
            text,
            "{separator}\"{}\":{{\"rate\":{rate}}}",
            sample_key(key)
        );
    }
    text.push_str("}}");
    text
}
