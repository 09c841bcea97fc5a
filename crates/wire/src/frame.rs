//! Frames and their CBOR encoding.

use oriole_core::message::Message;
use oriole_core::name;
use oriole_macros::data;

use crate::Error;

/// Version of the frame format; both ends of a connection must speak the same.
pub const VERSION: u16 = 1;

/// Limit on the size of frames that are sent or accepted.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Random bytes that make each handshake unique, so that a recorded proof cannot be replayed.
pub type Nonce = [u8; 16];

/// HMAC-SHA256 that proves knowledge of the shared secret.
pub type Proof = [u8; 32];

/// One WebSocket message.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// First frame, sent by the dialling end.
    Hello(Hello),
    /// Response to [`Frame::Hello`].
    Welcome(Welcome),
    /// Response to [`Frame::Welcome`]; the connection is open afterwards.
    Proof(Proof),
    /// Shows that the sender is alive when there is nothing else to send.
    Heartbeat,
    /// Messages, in the order in which they were sent.
    Batch(Vec<Message>),
}

/// The dialling end's first frame of a handshake.
#[data]
pub struct Hello {
    /// Version of the sender.
    pub version: u16,
    /// The sender's host.
    pub host: name::Host,
    /// The sender's nonce.
    pub nonce: Nonce,
}

/// The accepting end's frame of a handshake.
#[data]
pub struct Welcome {
    /// Version of the sender.
    pub version: u16,
    /// The sender's host.
    pub host: name::Host,
    /// The sender's nonce.
    pub nonce: Nonce,
    /// Proof that the sender knows the shared secret.
    pub proof: Proof,
}

/// Encodes a frame. Fails if it exceeds [`MAX_FRAME_BYTES`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut bytes).map_err(|_| Error::Unencodable)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::Oversized);
    }
    Ok(bytes)
}

/// Decodes a frame. Trailing bytes and frames over [`MAX_FRAME_BYTES`] are errors.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::Oversized);
    }
    let mut rest = bytes;
    let frame = ciborium::from_reader(&mut rest).map_err(|_| Error::Malformed)?;
    if rest.is_empty() { Ok(frame) } else { Err(Error::Malformed) }
}
