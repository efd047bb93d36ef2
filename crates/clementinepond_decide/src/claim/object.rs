//! The platform object of one shard.
//!
//! Ended claims are kept as text of fixed width, grouped by the time for
//! which they are still kept: key and fingerprint in hexadecimal and one
//! letter. Lengths of time count from the write; a reader counts them from
//! the start of its read, which keeps records longer, never shorter.

use super::key::{BodyFingerprint, CLAIM_KEY_LENGTH, ClaimKey};
use super::owner::SettledRecord;
use super::record::{RunHolder, VmIncarnation};
use clementinepond_types::{Epoch, LocalTime, TimeSpan, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Hexadecimal digits of a key.
const KEY_DIGITS: usize = 2 * CLAIM_KEY_LENGTH;
/// Hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 8;
/// Characters of one ended claim.
pub(crate) const RECORD_WIDTH: usize = KEY_DIGITS + FINGERPRINT_DIGITS + 1;
/// Upper bound of the characters of one running claim.
pub(crate) const RUNNING_RECORD_MAX_SIZE: usize = 400;
/// Upper bound of the characters of everything else in an object.
pub(crate) const OBJECT_OVERHEAD: usize = 4_096;
/// Number of groups that the retention window is cut into.
const BATCHES_PER_RETENTION: u64 = 16;

/// Process that holds copies of claims which are not in the object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardWitness {
    /// VM.
    pub vm: VmId,
    /// Process on that VM.
    pub incarnation: VmIncarnation,
}

/// One claim whose outcome is open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRecord {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Hash of the request body.
    pub fingerprint: BodyFingerprint,
    /// Whether the key names a moment.
    pub dated: bool,
    /// Call that may run.
    pub holder: RunHolder,
    /// Time left until the outcome counts as unknown.
    pub time_left: TimeSpan,
}

/// Ended claims that are kept equally long.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// Time for which the records are still kept.
    pub time_left: TimeSpan,
    /// Records of fixed width, one after the other.
    pub records: Box<str>,
}

/// Content of a shard's platform object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardObject {
    /// Number of the owner change; grows by one with each.
    pub term: u64,
    /// Roster generation that made the holder the owner.
    pub epoch: Epoch,
    /// VM that wrote the object.
    pub holder: VmId,
    /// Process that wrote the object.
    pub incarnation: VmIncarnation,
    /// Number of the write within that process.
    pub write: u64,
    /// Processes that may hold claims which are not in the object.
    pub witnesses: Vec<ShardWitness>,
    /// Time for which keys of unknown age are refused.
    pub quarantine_left: TimeSpan,
    /// Claims whose outcome is open.
    pub running: Vec<RunningRecord>,
    /// Ended claims.
    pub batches: Vec<RecordBatch>,
}

/// Writes ended claims in groups.
pub(crate) fn encode_batches(
    settled: &BTreeMap<ClaimKey, SettledRecord>,
    retention: TimeSpan,
    now: LocalTime,
) -> Vec<RecordBatch> {
    let width = (retention.micros() / BATCHES_PER_RETENTION).max(1);
    let mut groups: BTreeMap<u64, String> = BTreeMap::new();
    for (key, record) in settled {
        let group = now.until(record.expires_at).micros().div_ceil(width);
        encode_record(groups.entry(group).or_default(), key, record);
    }
    groups
        .into_iter()
        .map(|(group, records)| RecordBatch {
            time_left: TimeSpan::from_micros(group.saturating_mul(width)),
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

/// Reads ended claims; lengths of time count from `read_at`.
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
    for (place, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * place..2 * place + 2)?, 16).ok()?;
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
