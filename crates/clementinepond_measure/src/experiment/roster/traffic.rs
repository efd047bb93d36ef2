//! Counts the bytes that VMs send and receive.

use super::process::PeerMessage;

/// Header bytes added to the content of each message.
const HEADER_BYTES: u64 = 60;

/// Bytes sent and received, by slot.
#[derive(Debug, Default, Clone)]
pub(crate) struct TrafficCounter {
    bytes: Vec<u64>,
}

impl TrafficCounter {
    /// Creates a counter for a number of VMs, with all counts at zero.
    pub(crate) fn new(vms: usize) -> Self {
        Self {
            bytes: vec![0; vms],
        }
    }

    /// Adds a message to the counts of its sender and, if known, its receiver.
    pub(crate) fn record(&mut self, sender: usize, receiver: Option<usize>, message: &PeerMessage) {
        let length = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
        let bytes = HEADER_BYTES + u64::try_from(length).unwrap_or(u64::MAX);
        for slot in std::iter::once(sender).chain(receiver) {
            if let Some(count) = self.bytes.get_mut(slot) {
                *count += bytes;
            }
        }
    }

    /// Resets all counts to zero.
    pub(crate) fn clear(&mut self) {
        self.bytes.fill(0);
    }

    /// Returns the mean and the largest count over all VMs.
    pub(crate) fn mean_and_largest(&self) -> (f64, f64) {
        let sum: u64 = self.bytes.iter().sum();
        let largest = self.bytes.iter().copied().max().unwrap_or(0);
        (ratio(sum, self.bytes.len() as u64), largest as f64)
    }
}

/// Divides two counts; a denominator of 0 counts as 1.
pub(crate) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
