//! Frames and their encoding.

use oriole_core::message::Message;
use oriole_core::name;
use oriole_macros::data;

use crate::Error;

/// Version of the frames; both ends must speak the same.
pub const VERSION: u16 = 1;

/// Largest frame that is accepted or sent, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A random number that is used once, to make each handshake different.
pub type Nonce = [u8; 16];

/// HMAC-SHA256 that proves knowledge of the secret.
pub type Proof = [u8; 32];

/// One WebSocket message.
#[data]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// First frame, from the end that dialled.
    Hello(Hello),
    /// Answer to [`Frame::Hello`].
    Welcome(Welcome),
    /// Answer to [`Frame::Welcome`]; the connection is then open.
    Proof(Proof),
    /// Says that the sender is alive.
    Heartbeat,
    /// Messages in order.
    Batch(Vec<Message>),
}

/// Opens a handshake.
#[data]
pub struct Hello {
    /// Version of the sender.
    pub version: u16,
    /// The sender's host.
    pub host: name::Host,
    /// The sender's nonce.
    pub nonce: Nonce,
}

/// The accepting end's half of the handshake.
#[data]
pub struct Welcome {
    /// Version of the sender.
    pub version: u16,
    /// The sender's host.
    pub host: name::Host,
    /// The sender's nonce.
    pub nonce: Nonce,
    /// Proves that the sender knows the secret.
    pub proof: Proof,
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut bytes).map_err(|_| Error::Unencodable)?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::Oversized);
    }
    Ok(bytes)
}

/// Decodes a frame. Trailing bytes are an error.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::Oversized);
    }
    let mut rest = bytes;
    let frame = ciborium::from_reader(&mut rest).map_err(|_| Error::Malformed)?;
    if rest.is_empty() { Ok(frame) } else { Err(Error::Malformed) }
}
