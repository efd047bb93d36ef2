//! Frames with a code that only VMs of the fleet can make.

use clementinepond_decide::node::PeerMessage;
use clementinepond_types::VmId;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Context that keeps frame keys apart from other hashes.
const FRAME_CONTEXT: &str = "clementinepond peer frame v1";
/// Length of the code before the content, in bytes.
const MAC_LENGTH: usize = 16;

/// One message with its sender and receiver.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PeerEnvelope {
    pub(super) from: VmId,
    /// Receiver; none when only its address is known.
    pub(super) to: Option<VmId>,
    pub(super) message: PeerMessage,
}

/// Reason for which a frame was dropped.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub(super) enum FrameError {
    /// The frame is shorter than its mac.
    #[display("frame is too short; check that only VMs send to the peer address")]
    TooShort,
    /// The code is wrong.
    #[display("frame code is wrong; set the same peer.secret on every VM")]
    InvalidMac,
    /// The content cannot be read or written.
    #[display("frame content is malformed; run the same version on every VM")]
    Malformed,
}

/// Key of all frames of one fleet.
#[derive(Debug, Clone)]
pub(super) struct FrameKey([u8; 32]);

impl FrameKey {
    pub(super) fn new(secret: &str) -> Self {
        Self(blake3::derive_key(FRAME_CONTEXT, secret.as_bytes()))
    }

    pub(super) fn seal(&self, envelope: &PeerEnvelope) -> Result<Vec<u8>, FrameError> {
        let content = postcard::to_stdvec(envelope).map_err(|_| FrameError::Malformed)?;
        let mac = blake3::keyed_hash(&self.0, &content);
        let mut frame = Vec::with_capacity(MAC_LENGTH + content.len());
        frame.extend_from_slice(&mac.as_bytes()[..MAC_LENGTH]);
        frame.extend_from_slice(&content);
        Ok(frame)
    }

    pub(super) fn open(&self, frame: &[u8]) -> Result<PeerEnvelope, FrameError> {
        let (mac, content) = frame
            .split_at_checked(MAC_LENGTH)
            .ok_or(FrameError::TooShort)?;
        let expected = blake3::keyed_hash(&self.0, content);
        if !bool::from(expected.as_bytes()[..MAC_LENGTH].ct_eq(mac)) {
            return Err(FrameError::InvalidMac);
        }
        postcard::from_bytes(content).map_err(|_| FrameError::Malformed)
    }
}
