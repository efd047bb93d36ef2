//! The platform object of one shard.
//!
//! Ended claims are stored as text records of fixed width, batched by their
//! remaining retention: key and fingerprint in hexadecimal, then one letter for
//! the outcome. Durations in the object count from its write. A reader counts
//! them from the start of its read, so records are kept longer, never shorter.

use super::key::{BodyFingerprint, CLAIM_KEY_LENGTH, ClaimKey};
use super::owner::SettledRecord;
use super::record::{RunHolder, VmIncarnation};
use clementinepond_types::{Epoch, LocalTime, TimeSpan, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of hexadecimal digits of a key.
const KEY_DIGITS: usize = 2 * CLAIM_KEY_LENGTH;
/// Number of hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 8;
/// Number of characters of one ended claim.
pub(crate) const RECORD_WIDTH: usize = KEY_DIGITS + FINGERPRINT_DIGITS + 1;
/// Upper bound of the size of one running claim, in characters.
pub(crate) const RUNNING_RECORD_MAX_SIZE: usize = 400;
/// Upper bound of the size of everything else in an object, in characters.
pub(crate) const OBJECT_OVERHEAD: usize = 4_096;
/// Divisor of the retention of undated keys that gives the time covered by one batch.
const BATCHES_PER_RETENTION: u64 = 16;

/// Process that may hold copies of claims which the object lacks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardWitness {
    /// VM of the process.
    pub vm: VmId,
    /// Incarnation of the process on that VM.
    pub incarnation: VmIncarnation,
}

/// Claim that is granted and whose outcome is not known yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRecord {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Hash of the request body.
    pub fingerprint: BodyFingerprint,
    /// Whether the key carries a creation time.
    pub dated: bool,
    /// Call that holds the grant.
    pub holder: RunHolder,
    /// Time left until the outcome counts as unknown.
    pub time_left: TimeSpan,
}

/// Ended claims with the same remaining retention.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// Remaining retention of the records.
    pub time_left: TimeSpan,
    /// Concatenated records of fixed width.
    pub records: Box<str>,
}

/// Content of a shard's object in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardObject {
    /// Number of the ownership term; each takeover increases it by one.
    pub term: u64,
    /// Roster epoch of the holder at the time of the write.
    pub epoch: Epoch,
    /// VM that wrote the object.
    pub holder: VmId,
    /// Incarnation of the process that wrote the object.
    pub incarnation: VmIncarnation,
    /// Number of the write within that process.
    pub write: u64,
    /// Processes that may hold claims which the object lacks; empty if there are none.
    pub witnesses: Vec<ShardWitness>,
    /// Remaining time of the quarantine; zero for none.
    pub quarantine_left: TimeSpan,
    /// Granted claims whose outcome is not known yet.
    pub running: Vec<RunningRecord>,
    /// Ended claims, batched by remaining retention.
    pub batches: Vec<RecordBatch>,
}

/// Encodes ended claims in batches; rounds the remaining retention up to a batch.
pub(crate) fn encode_batches(
    settled: &BTreeMap<ClaimKey, SettledRecord>,
    retention: TimeSpan,
    now: LocalTime,
) -> Vec<RecordBatch> {
    let batch_span = (retention.micros() / BATCHES_PER_RETENTION).max(1);
    let mut groups: BTreeMap<u64, String> = BTreeMap::new();
    for (key, record) in settled {
        let group = now.until(record.expires_at).micros().div_ceil(batch_span);
        encode_record(groups.entry(group).or_default(), key, record);
    }
    groups
        .into_iter()
        .map(|(group, records)| RecordBatch {
            time_left: TimeSpan::from_micros(group.saturating_mul(batch_span)),
            records: records.into(),
        })
        .collect()
}

fn encode_record(text: &mut String, key: &ClaimKey, record: &SettledRecord) {
    for byte in key.bytes() {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    let _ = write!(text, "{:08x}", record.fingerprint.number());
    text.push(match (record.answered, record.dated) {
        (true, false) => 'a',
        (true, true) => 'A',
        (false, false) => 'u',
        (false, true) => 'U',
    });
}

/// Decodes ended claims; durations count from `read_at`. Skips malformed records.
pub(crate) fn decode_batches(
    batches: &[RecordBatch],
    read_at: LocalTime,
) -> BTreeMap<ClaimKey, SettledRecord> {
    let mut settled = BTreeMap::new();
    for batch in batches {
        let expires_at = read_at + batch.time_left;
        let records = batch.records.as_bytes().chunks_exact(RECORD_WIDTH);
        settled.extend(records.filter_map(|record| decode_record(record, expires_at)));
    }
    settled
}

fn decode_record(record: &[u8], expires_at: LocalTime) -> Option<(ClaimKey, SettledRecord)> {
    let text = str::from_utf8(record).ok()?;
    let mut bytes = [0; CLAIM_KEY_LENGTH];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    let fingerprint = text.get(KEY_DIGITS..KEY_DIGITS + FINGERPRINT_DIGITS)?;
    let (answered, dated) = match text.get(RECORD_WIDTH - 1..)? {
        "a" => (true, false),
        "A" => (true, true),
        "u" => (false, false),
        "U" => (false, true),
        _ => return None,
    };
    let record = SettledRecord {
        fingerprint: BodyFingerprint::from_number(u32::from_str_radix(fingerprint, 16).ok()?),
        dated,
        answered,
        expires_at,
    };
    Some((ClaimKey::from_bytes(bytes), record))
}
