//! Bytes between VMs.

use super::process::PeerMessage;

/// Bytes of headers that one message costs besides its content.
const HEADER_BYTES: u64 = 60;

/// Bytes that each VM sent and received.
#[derive(Debug, Default, Clone)]
pub(crate) struct TrafficCount {
    bytes: Vec<u64>,
}

impl TrafficCount {
    /// Starts at zero.
    pub(crate) fn new(vms: usize) -> Self {
        Self {
            bytes: vec![0; vms],
        }
    }

    /// Counts one message for its sender and receiver.
    pub(crate) fn note(&mut self, sender: usize, receiver: Option<usize>, message: &PeerMessage) {
        let length = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
        let bytes = HEADER_BYTES + u64::try_from(length).unwrap_or(u64::MAX);
        for slot in std::iter::once(sender).chain(receiver) {
            if let Some(count) = self.bytes.get_mut(slot) {
                *count += bytes;
            }
        }
    }

    /// Starts counting anew.
    pub(crate) fn clear(&mut self) {
        self.bytes.fill(0);
    }

    /// Returns the mean and the largest count of one VM.
    pub(crate) fn mean_and_largest(&self) -> (f64, f64) {
        let sum: u64 = self.bytes.iter().sum();
        let largest = self.bytes.iter().copied().max().unwrap_or(0);
        (ratio(sum, self.bytes.len() as u64), largest as f64)
    }
}

/// Divides two counts.
pub(crate) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
