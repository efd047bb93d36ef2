//! Frames with a message authentication code (MAC) keyed by the secret of the fleet.

use clementinepond_decide::node::PeerMessage;
use clementinepond_types::VmId;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Key derivation context that separates frame keys from other uses of the hash.
const FRAME_CONTEXT: &str = "clementinepond peer frame v1";
/// Length of the code before the content, in bytes.
const MAC_LENGTH: usize = 16;

/// Message with its sender and receiver.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct PeerEnvelope {
    pub(super) from: VmId,
    /// VM that receives the message; none when only its address is known.
    pub(super) to: Option<VmId>,
    pub(super) message: PeerMessage,
}

/// Reason why a frame was dropped.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub(super) enum FrameError {
    /// The frame is shorter than its mac.
    #[display(
        "frame is shorter than its authentication code; check that only VMs send to the peer address"
    )]
    TooShort,
    /// The MAC does not match the content.
    #[display("frame authentication code does not match; set the same peer.secret on every VM")]
    InvalidMac,
    /// The content cannot be encoded or decoded.
    #[display("frame content cannot be encoded or decoded; run the same version on every VM")]
    Malformed,
}

/// MAC key for the frames of one fleet.
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
