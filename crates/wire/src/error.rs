//! Errors of connections.

use derive_more::{Display, Error, From};

/// Why a connection could not be opened or has ended.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The network failed.
    #[display("network I/O: {_0}")]
    Io(std::io::Error),
    /// The WebSocket layer failed.
    #[display("WebSocket protocol: {_0}")]
    Socket(Box<tokio_tungstenite::tungstenite::Error>),
    /// A frame is not valid CBOR of the expected type, or has trailing bytes.
    #[display("decoding a frame: not a valid frame, or bytes after its end")]
    #[from(skip)]
    Malformed,
    /// A frame could not be encoded.
    #[display("encoding a frame as CBOR failed")]
    #[from(skip)]
    Unencodable,
    /// A frame is larger than [`crate::frame::MAX_FRAME_BYTES`].
    #[display("frame exceeds the size limit")]
    #[from(skip)]
    Oversized,
    /// The peer sent a frame that the protocol does not allow in the connection's current state.
    #[display("peer sent a frame that the connection's current state does not allow")]
    #[from(skip)]
    UnexpectedFrame,
    /// The peer speaks another version of the protocol.
    #[display("peer speaks protocol version {found}, expected {expected}")]
    #[from(skip)]
    Version {
        /// Version that the peer speaks.
        found: u16,
        /// Version that this process speaks.
        expected: u16,
    },
    /// The peer does not know the shared secret, or is not the host that was dialled.
    #[display("peer failed to authenticate as the expected host")]
    #[from(skip)]
    Unauthenticated,
    /// The peer did not accept the connection, send a frame or read one before the deadline.
    #[display("peer did not respond before the deadline")]
    #[from(skip)]
    Silent,
    /// The peer closed the connection, or this process stops.
    #[display("connection closed")]
    #[from(skip)]
    Closed,
    /// The operating system provided no random bytes for a nonce.
    #[display("generating a nonce: {_0}")]
    Random(getrandom::Error),
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(e: tokio_tungstenite::tungstenite::Error) -> Self {
        use tokio_tungstenite::tungstenite::Error as Socket;
        match e {
            Socket::ConnectionClosed | Socket::AlreadyClosed => Self::Closed,
            Socket::Capacity(_) => Self::Oversized,
            Socket::Io(e) => Self::Io(e),
            other => Self::Socket(Box::new(other)),
        }
    }
}

impl Error {
    /// Returns a short, stable name of the error for metrics and logs.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::Socket(_) => "websocket",
            Self::Malformed => "malformed",
            Self::Unencodable => "unencodable",
            Self::Oversized => "oversized",
            Self::UnexpectedFrame => "out-of-place",
            Self::Version { .. } => "version",
            Self::Unauthenticated => "unproven",
            Self::Silent => "silent",
            Self::Closed => "closed",
            Self::Random(_) => "random",
        }
    }
}
